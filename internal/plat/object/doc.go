// Package object is a client of the platform's Object API. The platform stores all state
// of the fleet that must be durable or agreed on.
//
// An object has a kind, a name, a value of up to 1 MB and a version. Every write of any
// object gets a higher version than all writes before. A write is conditional: it
// succeeds only if the object still has the version that the caller read. The response
// can be lost after the write took effect. Such a write fails with ErrUnknownOutcome, and
// the caller must read the object again to learn the outcome. A Store is a set of
// functions, so that another platform or a fake can replace it.
package object
