// Package escrow lets many processes spend one prepaid budget without ever
// spending more than was paid, through partitions, crashes, pauses and lost
// answers.
//
// The idea. A budget is a Book, kept on a platform that offers conditional
// updates. Each process draws a part of the budget, its Share, by one such
// update, and then spends from the share on its own. Two rules keep spend
// within what was paid:
//
//	S1  in every Book: the sum over rows of granted - returned, plus spent <= paid
//	S2  in every Share: used + reserved <= granted + received - sent - returned
//
// All counters only rise, so that an update whose answer was lost can be
// written again, and a message that arrives late, twice or out of order changes
// nothing. Both rules are checked on every change; a share that would break one
// refuses from then on.
//
// A Holder keeps the shares of one process. It draws ahead of need, sizes
// shares by demand, borrows from peers when the platform has nothing left or
// can't be reached, and waits for open reservations to settle before it
// refuses. Peers and platform are sets of functions that the caller supplies.
//
// Where many holders stand in one zone, one of them is the home of a budget: it
// draws for all, and the others ask it. See home.go.
//
// A share can be watched by witnesses. A holder then tells them ahead how far
// its outflow may go, its mark. To win back what a silent holder left, a peer
// seals a witness, which refuses that holder's marks from then on, and takes
// back all but the last mark and the part that the holder may spend alone.
// Nothing here rests on clocks or on who is believed to be alive.
//
// The package starts no goroutine of its own: the caller runs Holder.Run.
package escrow
