// Package caller keeps what the connections of callers hold within the memory.Bound of the
// process.
//
// Each connection has a reservation from its acceptance to its end: for the server's buffers and for what the
// kernel may receive before the server reads it, which the listener limits. The reservation grows by the
// head of a request while it is read, and by its body before it is read, and whoever serves the
// request takes from it what is kept of the response. While a connection waits for its caller, to send or to read,
// it may be ended for others. A request that runs is never ended.
package caller
