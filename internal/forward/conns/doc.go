// Package conns keeps connections to endpoints and exchanges one request at a
// time on each.
//
// The idea. A request that may have left must never be sent again unseen. So
// nothing here repeats anything: Get returns an open connection, Send writes one
// request, Answer reads what comes back. A connection that was idle is checked
// before use; one that was closed at the other end, or brought bytes that nobody
// asked for, is dropped before anything is written to it.
package conns
