package escrow

import "time"

// When the ledger of a budget has nothing free, a holder asks its peers. Some of
// them may be unreachable for it, although they and the holder reach the store.
// The holder then writes what it lacks into its row as its shortfall. Holders
// with at least twice their floor left read the ledger every shortfallInterval
// and return a part of what they have to it for the shortfalls of others.

// unreachableIdle returns the total that the open shares of silent peers have
// idle according to the ledger.
func (h *Holder) unreachableIdle(l *Ledger) int64 {
	var sum int64
	for id, r := range l.rows {
		if r.fields.State == Open && ProcessOf(id) != h.process && h.silent(ProcessOf(id)) {
			sum += max(r.Idle(), 0)
		}
	}
	return sum
}

// updateShortfall sets the share's shortfall to what it lacks to its target, at
// most unreachable, if it is below its floor, the ledger has nothing free and
// unreachable peers have something left. Otherwise it sets 0.
func (s *Share) updateShortfall(free, unreachable int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sync.shortfall = 0
	if free <= 0 && unreachable > 0 && s.idle() < s.floor() {
		s.sync.shortfall = min(s.target()-s.idle(), unreachable)
	}
}

// shortfalls returns the sum of the shortfalls of the open rows other than that
// of share id, less what the ledger has free, at least 0.
func (l *Ledger) shortfalls(id string) int64 {
	var sum int64
	for other, r := range l.rows {
		if other != id && r.fields.State == Open {
			sum = min(sum+max(r.fields.Shortfall, 0), MaxPaid)
		}
	}
	return max(sum-max(l.Free(), 0), 0)
}

// returnFor returns to the ledger the amount that others lack, up to half of
// what the share has available, unless the share would fall below its floor.
// The caller holds the lock.
func (s *Share) returnFor(shortfall int64) {
	amount := min(shortfall, s.available()/2)
	if s.closing || amount <= 0 || s.available()-amount < s.floor() {
		return
	}
	s.returned += amount
	s.checkInvariant()
}

// shortfallCheckDue reports whether it is time to read the ledger for the
// shortfalls of others. If so, it records the read as done at now. It is never
// due for a share with less than twice its floor idle.
func (s *Share) shortfallCheckDue(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing || s.idle() < 2*s.floor() || s.idle() == 0 || now.Sub(s.sync.shortfallCheckedAt) < shortfallInterval {
		return false
	}
	s.sync.shortfallCheckedAt = now
	return true
}
