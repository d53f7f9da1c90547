// Package choose picks the endpoint for a call.
//
// The Picker counts the requests that this instance has open at each endpoint. It
// estimates the open requests of other instances from the number of those instances
// and from the endpoint's last load report, which counts for less the older it is.
//
// For model services, the Picker prefers endpoints that probably have the prompt's
// prefix cached, if their load is within a bound. Otherwise it picks the endpoint
// with the lowest cost, which is its load per slot, increased for slow endpoints. It
// prefers its own zone unless an endpoint in another zone costs clearly less.
//
// Endpoints that fail repeatedly are ejected and then probed with one request at a
// time. Endpoints that are leaving get no requests. A call that would wait for its
// first token for longer than its priority allows is refused at once.
package choose
