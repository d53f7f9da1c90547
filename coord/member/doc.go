// Package member tracks which processes of a fleet are alive, by heartbeats that
// spread by gossip.
//
// Each process counts its own heartbeats. Processes exchange the counters with a few
// peers at a time, with a bounded number of members in each message. Of two counters
// of the same process, the higher one is the newer one. A process whose counter has
// not risen for a number of intervals is suspected of having failed.
//
// Suspicion is only a hint: a suspected process may be paused, partitioned or dead,
// and a live process may be suspected. Use suspicion to choose peers to contact. A
// safety rule must not depend on it.
package member
