// Package limit enforces rate and concurrency limits that many processes share.
//
// Each process measures the demand that reaches it and reports it to its peers.
// It admits a fraction of the limit: its own demand as a fraction of all demand
// that was reported. The fractions add up to the limit while all processes know
// the same demands.
//
// During a partition a process keeps counting the last demand reported from the
// other side, for DemandTTL. A limit is therefore not exceeded during a partition
// that is shorter than DemandTTL. The cost is that the fraction of a process that
// ends without leaving stays unused for the same time.
package limit
