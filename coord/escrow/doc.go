// Package escrow lets many processes spend one prepaid budget without ever
// spending more than was paid, despite network partitions, crashes, pauses and
// lost responses.
//
// Each budget has a Ledger, kept in a store that offers conditional updates. A
// process draws a part of the budget, its Share, by one such update, and then
// spends from the share without further coordination. Two invariants keep the
// spend within the total paid in:
//
//	S1  in every Ledger: the sum over rows of granted - returned, plus spent <= paid
//	S2  in every Share: used + reserved <= granted + received - sent - returned
//
// All counters only increase. An update whose response was lost can therefore
// be written again, and a message that arrives late, twice or out of order
// changes nothing. Both invariants are checked on every change; a share that
// would violate one refuses all further reservations.
//
// A Holder keeps the shares of one process. It draws ahead of need, sizes
// shares by demand, and borrows from peers when the ledger has nothing free or
// the store is unreachable. Before it refuses a reservation, it waits for open
// reservations to settle. Peers and Store are structs of functions that the
// caller supplies.
//
// Where a zone has at least MinZoneMembers holders, one of them is the home of a
// budget. In that zone only the home draws from the ledger of the budget; the
// other holders request amounts from the home. See home.go.
//
// A share can have witnesses: peers that record a mark, an upper bound of the
// share's outflow. The outflow is what the share has used, reserved and
// transferred. The holder raises the mark before the outflow reaches it. To
// reclaim the share of a silent holder, a peer seals the share at its witnesses,
// which then refuse all further marks of that share. The peer then returns the
// drawn amount of the share to the ledger, less the highest recorded mark and
// less the amount that the holder may spend unwitnessed (Policy.Unwitnessed).
// Safety depends neither on clocks nor on which processes are believed to be
// alive.
//
// The package starts no goroutine in the background: the caller runs
// Holder.Run.
package escrow
