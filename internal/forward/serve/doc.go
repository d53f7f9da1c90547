// Package serve takes forwarded requests from callers to endpoints and the
// answers back.
//
// The idea. A request passes the stages in order: read, match, reserve, choose,
// send, relay, settle. What the caller sent goes on unchanged, and what the
// endpoint answered comes back whole or plainly broken off. Nothing leaves before
// it is reserved for. A request that may have left is not sent again unless its
// route says that it may run twice, and a refusal that says that nothing ran is
// only given when that is certain.
package serve
