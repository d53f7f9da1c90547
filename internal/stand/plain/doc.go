// Package plain is a stand-in for a plain service: an HTTP service that is not a
// model, such as a custody ledger or an order desk.
//
// It counts how often each request runs, so that a test can check that none runs
// twice. A test can make the service slow, make it break a connection before or after
// the request runs, leave a request without a response, and announce that it is leaving.
package plain
