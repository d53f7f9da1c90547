// Package conns pools connections to endpoints and exchanges one request at a time
// on each.
//
// A request that may have been sent must not be sent again without the caller of
// this package knowing, so the package never retries: Get returns an open
// connection, Send writes one request, and ReadResponse reads the header of one
// response. An idle connection is checked before reuse. If the endpoint has closed
// the connection, or has sent bytes outside of a response, Get closes the connection
// before anything is written to it.
package conns
