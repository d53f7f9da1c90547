// Package engine is a stand-in for a model engine.
//
// It serves chat completions over HTTP and always streams the response. A limited
// number of requests run at the same time; the others wait in a queue, those with
// a higher priority first. A cache of limited size remembers the first messages of
// prompts, whose tokens then need no prefill. A stream has an ID, by which a caller
// can resume it at an offset or cancel it. The load report lags behind the load.
//
// The generated text depends only on the request, so that a test can check that a
// caller received the complete response to its own request. A test can make the
// engine stall its open streams, crash, restart and announce that it is leaving.
package engine
