// Package engine is a stand-in for a model engine.
//
// It serves the chat completions protocol from a batch of finite size, with a
// queue by priority, a bounded prefix cache, and streams that have an id, can
// be resumed at an offset and can be cancelled. Its load report lags. Its text
// is a function of the request alone, so that a test can tell whether a caller
// got the whole answer to its own request. It can fall silent on open
// connections, crash, restart and announce that it is leaving.
package engine
