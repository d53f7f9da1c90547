// Package hold reserves the maximum cost of a call on the escrow shares of the
// budgets that the service document assigns to its client account.
package hold
