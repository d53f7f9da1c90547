// Package store is an in-memory stand-in for the platform: its Object API and its
// instance list.
//
// It refuses calls beyond the platform's rate limits. A test can also make it fail as
// the real platform does: refuse every call, be slow, lose the response to a write
// that took effect, leave the calls of a zone without a response, or return an
// outdated instance list. Faults are set through SetFaults, or over HTTP at
// /v1/faults.
package store
