// Package dedup finds, for a request key, the one attempt that a fleet makes at
// it.
//
// The members rank themselves for each key by rendezvous hashing. The first of
// the ranking, and the first in another zone, keep a Registry entry for the
// key: which process makes the attempt, under which request ID, and where it
// runs. A retry that reaches any member finds the attempt there and follows its
// answer. When the process that made it is gone, another takes the attempt over,
// and with it the right to bill.
//
// A Registry is memory, and members may see different rankings. So it makes a
// second run of an idempotent request unlikely, not impossible; what must not
// run twice needs a durable claim besides.
package dedup
