// Package store is an in-memory stand-in for the platform: its Object API and its
// instance list.
//
// A test can make it fail as the real platform does: it refuses calls, is slow,
// exceeds its rate limits, loses the response to a write that took effect, or
// returns an outdated instance list. Faults are set through SetFaults, or over HTTP
// at /v1/faults.
package store
