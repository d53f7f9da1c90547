// Package limit enforces rate and concurrency limits that many processes share.
//
// Each process measures the demand that reaches it and reports it to its peers. It
// admits a fraction of the limit, by the ratio of its own demand to the total demand
// that it knows of. The part minFraction of the limit is divided equally instead.
// The fractions of all processes add up to 1 while all know the same demands. Each
// process admits at least one request at a time, so a concurrency limit below the
// number of processes can be exceeded.
//
// During a partition a process keeps counting the last demand reported from the
// other side, for DemandTTL. Apart from that one request per process, a limit is
// therefore not exceeded during a partition that is shorter than DemandTTL. The cost
// is that the fraction that a process had stays unused for the same time if the
// process ends without leaving the fleet first.
package limit
