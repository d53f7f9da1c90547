package load

import "sync"

// Ledger is the naive central ledger that the fleet is compared with. The zero
// value is empty.
type Ledger struct {
	mu       sync.Mutex
	accounts map[string]*balance
}

type balance struct{ paid, used, reserved int64 }

// Pay adds to what an account may spend, in micro-units.
func (l *Ledger) Pay(account string, amount int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.of(account).paid += amount
}

func (l *Ledger) of(account string) *balance {
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

// Open sets the bound of a request that is sent aside.
func (l *Ledger) Open(account string, bound int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.of(account).reserved += bound
}

// Settle ends a request that was answered.
func (l *Ledger) Settle(account string, bound, cost int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.of(account)
	b.reserved -= bound
	b.used += cost
}

// Refuse ends a request that was refused, and reports whether the ledger could
// have paid for it beside all others that are open.
func (l *Ledger) Refuse(account string, bound int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.of(account)
	b.reserved -= bound
	return b.used+b.reserved+bound <= b.paid
}
