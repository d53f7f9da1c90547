package load

import "sync"

// Ledger is an ideal central ledger: it sees every change immediately and never fails.
// A refusal by the fleet counts as false if this ledger could have paid for the request.
// All amounts are in micro-units. The zero value is empty. The methods are safe for
// concurrent use.
type Ledger struct {
	mu       sync.Mutex
	accounts map[string]*balance // by client account
}

// balance holds three amounts of one client account, in micro-units: the amount paid, the
// cost of the answered requests, and the amount reserved for the open requests.
type balance struct{ paid, used, reserved int64 }

// Pay adds an amount in micro-units to the paid amount of a client account.
func (l *Ledger) Pay(account string, amount int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.balanceOf(account).paid += amount
}

// balanceOf returns the balance of a client account and creates it if absent. The
// caller must hold l.mu.
func (l *Ledger) balanceOf(account string) *balance {
	if l.accounts == nil {
		l.accounts = map[string]*balance{}
	}
	b := l.accounts[account]
	if b == nil {
		b = &balance{}
		l.accounts[account] = b
	}
	return b
}

// Reserve reserves the maximum cost of a request that is about to be sent, whether or
// not the account can pay it.
func (l *Ledger) Reserve(account string, maxCost int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.balanceOf(account).reserved += maxCost
}

// Settle ends the reservation of maxCost for an answered request and charges its cost
// instead.
func (l *Ledger) Settle(account string, maxCost, cost int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.balanceOf(account)
	b.reserved -= maxCost
	b.used += cost
}

// Release ends the reservation of maxCost for a request that was refused or failed. It
// reports whether the account could have paid maxCost in addition to all that it has
// used and reserved for other open requests.
func (l *Ledger) Release(account string, maxCost int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.balanceOf(account)
	b.reserved -= maxCost
	return b.used+b.reserved+maxCost <= b.paid
}
