// Package retry bounds how much load retries may add.
//
// Each request earns a fraction of a retry for its service. A retry spends a
// whole one, and there is none when the fund is empty. So while a service
// fails, retries add at most that fraction to its load. Between tries there is
// a jittered pause that grows.
package retry
