package load

import "sync"

// Ledger is the central ledger that the fleet is compared with. It sees every
// change immediately and never fails. The zero value is empty. Its methods are safe
// for concurrent use.
type Ledger struct {
	mu       sync.Mutex
	accounts map[string]*balance
}

// balance holds the amounts of one account in micro-units.
type balance struct{ paid, used, reserved int64 }

// Pay adds an amount in micro-units to what an account may spend.
func (l *Ledger) Pay(account string, amount int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.balanceOf(account).paid += amount
}

// balanceOf returns the balance of an account and creates it if absent. The caller
// must hold mu.
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

// Reserve reserves the maximum cost of a request that is about to be sent.
func (l *Ledger) Reserve(account string, maxCost int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.balanceOf(account).reserved += maxCost
}

// Settle replaces the reservation of an answered request by its cost.
func (l *Ledger) Settle(account string, maxCost, cost int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.balanceOf(account)
	b.reserved -= maxCost
	b.used += cost
}

// Release ends the reservation of a request that was refused or failed. It reports
// whether the ledger could have paid for it in addition to all other open requests.
func (l *Ledger) Release(account string, maxCost int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.balanceOf(account)
	b.reserved -= maxCost
	return b.used+b.reserved+maxCost <= b.paid
}
