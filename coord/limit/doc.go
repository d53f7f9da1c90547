// Package limit enforces rate and concurrency limits that many processes share.
//
// Each process measures the demand that reaches it and reports it to its peers.
// It admits a fraction of the limit: its own demand as a fraction of all demand
// that was reported. The fractions add up to the limit while all processes know
// the same demands. Each process admits at least one request at a time, so a
// concurrency limit below the number of processes can be exceeded.
//
// During a partition a process keeps counting the last demand reported from the
// other side, for DemandTTL. Apart from that one request per process, a limit is
// therefore not exceeded during a partition that is shorter than DemandTTL. The
// cost is that the fraction of a process that ends without leaving stays unused
// for the same time.
package limit
