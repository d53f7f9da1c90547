// Package retry limits the load that retries may add.
//
// A Throttle limits retries by credit. Each request earns a fraction of a retry as
// credit for its service. A retry spends a credit of 1 and is not made if the credit
// is less. So while a service fails, retries add at most that fraction to its load,
// once the credit saved before is spent. Between attempts there is a jittered
// exponential backoff.
//
// A Window limits the retries in every span of time of a given length instead. It
// has no backoff.
package retry
