// Package memory bounds what callers can make a process hold.
//
// A process has one Bound, of bytes and of open files. Whoever keeps something for a caller
// opens a Reservation and grows it before the bytes are there: a connection with what the kernel may
// receive for it, a head, a body, a response that is not relayed yet, a tunnel. If there is no room,
// the reservations that have waited for their callers are ended, those first that have kept the most bytes for
// the longest time. A reservation that does not wait for its caller, such as that of a request that
// runs, is never ended. If that makes no room, the newcomer is refused.
//
// Large reservations together get only a part of the bound, so that there is always room for ordinary
// requests beside them.
package memory
