package escrow

import "time"

// A holder for which the store has nothing free asks its peers. Some of them
// may be unreachable, although both sides reach the store. The holder then
// writes what it lacks into its row as its shortfall. Holders with much left
// read the ledger every shortfallInterval and return a part of what they have
// for the shortfalls of others.

// unreachableIdle returns what the shares of silent peers have left according
// to the ledger.
func (h *Holder) unreachableIdle(l *Ledger) int64 {
	var sum int64
	for id, r := range l.rows {
		if r.fields.State == Open && ProcessOf(id) != h.process && h.silent(ProcessOf(id)) {
			sum += max(r.Idle(), 0)
		}
	}
	return sum
}

// updateShortfall sets the share's shortfall: what it lacks to its target, if
// the store has nothing free and unreachable peers have something left.
func (s *Share) updateShortfall(free, unreachable int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sync.shortfall = 0
	if free <= 0 && unreachable > 0 && s.idle() < s.floor() {
		s.sync.shortfall = min(s.target()-s.idle(), unreachable)
	}
}

// shortfalls returns the sum of the shortfalls of the open rows other than id,
// less what is free.
func (l *Ledger) shortfalls(id string) int64 {
	var sum int64
	for other, r := range l.rows {
		if other != id && r.fields.State == Open {
			sum = min(sum+max(r.fields.Shortfall, 0), MaxPaid)
		}
	}
	return max(sum-max(l.Free(), 0), 0)
}

// returnFor returns what others lack to the ledger, up to half of what is
// available, as long as the share does not fall below its floor. The caller
// holds the lock.
func (s *Share) returnFor(shortfall int64) {
	amount := min(shortfall, s.available()/2)
	if s.closing || amount <= 0 || s.available()-amount < s.floor() {
		return
	}
	s.returned += amount
	s.checkInvariant()
}

// shortfallCheckDue reports whether it is time to read the ledger for the
// shortfalls of others, and records that as done. It never is for a share with
// less than twice its floor idle.
func (s *Share) shortfallCheckDue(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing || s.idle() < 2*s.floor() || s.idle() == 0 || now.Sub(s.sync.shortfallCheckedAt) < shortfallInterval {
		return false
	}
	s.sync.shortfallCheckedAt = now
	return true
}
