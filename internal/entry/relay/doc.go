// Package relay carries an engine's stream to whoever takes the answer.
//
// Each piece has an offset; a piece that was delivered before is dropped, and a
// gap is never passed on. A connection that breaks or falls silent is replaced
// by a new one to the same stream, at the offset that is due. If the engine has
// lost the stream, the call may run again elsewhere: the new run must then
// begin with exactly what was delivered, or the answer fails.
package relay
