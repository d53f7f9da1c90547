// Package ledger stores the ledgers of budgets on the platform, behind the store
// interface of package escrow.
//
// NewStore keeps one ledger in each object. Shards keeps many ledgers in each
// object and batches the reads and writes of one object.
package ledger
