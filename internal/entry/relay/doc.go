// Package relay delivers an engine's stream to the reader of the response.
//
// Each chunk of the stream has an offset. A chunk that was delivered before is
// skipped. A gap between two offsets is treated as a broken connection. A connection
// that breaks or stalls is replaced by a new connection to the same stream, which
// starts at the next offset.
//
// If the engine has lost the stream, the call may run again at another engine. The new
// run must then start with exactly the chunks that were delivered. Otherwise the
// response fails with ErrDiverged.
package relay
