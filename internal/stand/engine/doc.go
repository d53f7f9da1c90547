// Package engine is a stand-in for a model engine.
//
// It serves the chat completions protocol with a batch of limited size, a
// priority queue and a bounded prefix cache. A stream has an ID, can be resumed
// at an offset and can be canceled. The load report lags. The generated text
// depends only on the request, so that a test can check that a caller received
// the complete response to its own request. A test can make the engine stall its
// open streams, crash, restart and announce that it is leaving.
package engine
