// Package ledger keeps budgets on the platform, as the escrow package wants
// them.
package ledger
