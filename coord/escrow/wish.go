package escrow

import "time"

// A holder that the platform has nothing for asks its peers. Some may be out of
// reach, though both sides reach the platform. It then writes what it lacks into
// its row, as a wish. Holders with much left read the book now and then, and
// return a part of it for the wishes that they find.

// unreachableIdle returns what the shares of silent peers have left, as far as the
// book knows.
func (h *Holder) unreachableIdle(b *Ledger) int64 {
	var sum int64
	for id, r := range b.rows {
		if r.fields.State == Open && ProcessOf(id) != h.process && h.silent(ProcessOf(id)) {
			sum += max(r.Idle(), 0)
		}
	}
	return sum
}

// updateShortfall sets the share's wish: what it lacks to its target, if the platform
// has nothing and peers out of reach have something.
func (s *Share) updateShortfall(free, beyond int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sync.shortfall = 0
	if free <= 0 && beyond > 0 && s.idle() < s.floor() {
		s.sync.shortfall = min(s.target()-s.idle(), beyond)
	}
}

// shortfalls returns what the open rows other than id wish for, beyond what is free.
func (b *Ledger) shortfalls(id string) int64 {
	var sum int64
	for other, r := range b.rows {
		if other != id && r.fields.State == Open {
			sum = min(sum+max(r.fields.Shortfall, 0), MaxPaid)
		}
	}
	return max(sum-max(b.Free(), 0), 0)
}

// returnFor gives back what others wish for, up to half of what is left, as long as
// that is well above the floor, with the lock held.
func (s *Share) returnFor(wished int64) {
	amount := min(wished, s.available()/2)
	if s.closing || amount <= 0 || s.available()-amount < s.floor() {
		return
	}
	s.returned += amount
	s.checkInvariant()
}

// shortfallCheckDue reports whether it is time to look for wishes, and notes that it is done.
func (s *Share) shortfallCheckDue(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing || s.idle() < 2*s.floor() || s.idle() == 0 || now.Sub(s.sync.shortfallCheckedAt) < shortfallInterval {
		return false
	}
	s.sync.shortfallCheckedAt = now
	return true
}
