// Package store is a stand-in for the platform: its Object API and its
// instance list, held in memory.
//
// It can be made to fail as the real platform does: out of service, slow, over
// its rate, silent after a write took effect, and late in its instance list.
// Faults are set through Set, or over HTTP at /v1/faults.
package store
