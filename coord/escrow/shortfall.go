package escrow

import "time"

// When the ledger of a budget has nothing free, a holder asks its peers for
// parts of their shares. It may be unable to reach some peers although they and
// it reach the store. The holder then writes the amount that its share lacks
// into the share's row as its shortfall. Holders whose share has at least twice
// its floor idle read the ledger every shortfallInterval. They return a part of
// their available amount to the ledger for the shortfalls of other shares.

// unreachableIdle returns the total idle amount of the open shares of silent
// peers according to the ledger, in micro-units.
func (h *Holder) unreachableIdle(l *Ledger) int64 {
	var sum int64
	for id, r := range l.rows {
		if r.fields.State == Open && ProcessOf(id) != h.process && h.silent(ProcessOf(id)) {
			sum += max(r.Idle(), 0)
		}
	}
	return sum
}

// updateShortfall sets the share's shortfall to the amount that it lacks to its
// target, at most unreachable. It does so if the share is below its floor, the
// ledger has nothing free and unreachable is positive. Otherwise it sets 0.
// free is the free amount of the ledger; unreachable is the idle amount of the
// shares of unreachable peers.
func (s *Share) updateShortfall(free, unreachable int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sync.shortfall = 0
	if free <= 0 && unreachable > 0 && s.idle() < s.floor() {
		s.sync.shortfall = min(s.target()-s.idle(), unreachable)
	}
}

// shortfalls returns the sum of the shortfalls of the open rows other than the
// row of share id, less the free amount of the ledger, at least 0.
func (l *Ledger) shortfalls(id string) int64 {
	var sum int64
	for other, r := range l.rows {
		if other != id && r.fields.State == Open {
			sum = min(sum+max(r.fields.Shortfall, 0), MaxPaid)
		}
	}
	return max(sum-max(l.Free(), 0), 0)
}

// returnFor counts an amount as returned to the ledger for the shortfall of
// other shares: at most shortfall and at most half of the share's available
// amount. It returns nothing if the share would fall below its floor. The
// caller holds the lock.
func (s *Share) returnFor(shortfall int64) {
	amount := min(shortfall, s.available()/2)
	if s.closing || amount <= 0 || s.available()-amount < s.floor() {
		return
	}
	s.returned += amount
	s.checkInvariant()
}

// shortfallCheckDue reports whether it is time to read the ledger for the
// shortfalls of other shares. If so, it records the read as done at now. A read
// is never due for a share with less than twice its floor idle.
func (s *Share) shortfallCheckDue(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing || s.idle() < 2*s.floor() || s.idle() == 0 || now.Sub(s.sync.shortfallCheckedAt) < shortfallInterval {
		return false
	}
	s.sync.shortfallCheckedAt = now
	return true
}
