// Package plain is a stand-in for a plain service, such as a custody ledger or
// an order desk.
//
// It counts how often each request ran, so that a test can prove that none ran
// twice. It can be slow, break a connection before or after a run, fall silent
// and announce that it is leaving.
package plain
