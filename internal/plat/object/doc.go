// Package object is the client of the platform's Object API, where everything
// that must last or be agreed on is kept.
//
// An object has a kind, a name, a value of up to 1 MB and a version that rises
// with every write of any object. Writes are conditional on the version read.
// An answer can be lost after the write took effect: such a write fails with
// ErrUnknown, and the caller reads again to see what happened. A Store is a
// set of functions, so that another platform, or a fake, can take its place.
package object
