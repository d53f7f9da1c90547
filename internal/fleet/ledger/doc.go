// Package ledger stores the ledgers of budgets on the platform. A ledger is the accounting
// record of one budget: what was paid in, what is spent, and one row for each share of the
// budget. The package supplies the functions of an escrow.Store.
//
// NewStore keeps one ledger in each platform object. Shards keeps many ledgers in each
// platform object, and batches the reads and the writes of each object.
package ledger
