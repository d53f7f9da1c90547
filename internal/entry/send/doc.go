// Package send speaks to endpoints: it starts, resumes and cancels streams at
// model engines, and makes calls of plain services.
//
// It tells apart what the safety of a retry hangs on: an endpoint that
// provably did not take a request (ErrNotTaken) and one that may have
// (ErrBroken, ErrSilent). A call that must not run twice goes out on a
// connection of its own: a fresh connection can't have been forgotten by
// something on the way, and the HTTP library does not repeat a request on it.
package send
