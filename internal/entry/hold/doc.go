// Package hold reserves a call's upper bound against the escrow shares of the
// budgets that the service document attaches for its client account.
package hold
