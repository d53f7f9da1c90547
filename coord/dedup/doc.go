// Package dedup deduplicates requests by key: it records the one attempt that a
// fleet makes at the request with each key.
//
// Rendezvous hashing ranks the members for each key. The first member of the
// ranking, and the first member in another zone, own the key. Each owner stores in
// its Registry which process makes the attempt at the request, under which request
// ID, and at which endpoint the request runs. A retry that reaches any member finds
// the attempt through the owners and follows its response. When the process that
// makes an attempt is gone, another process takes over the attempt and the right to
// bill it.
//
// A Registry is held in memory, and members may compute different rankings.
// Therefore a second run of an idempotent request is unlikely but possible. A
// request that must not run twice also needs a durable claim.
package dedup
