package escrow

import "time"

// A holder that the platform has nothing for asks its peers. Some may be out of
// reach, though both sides reach the platform. It then writes what it lacks into
// its row, as a wish. Holders with much left read the book now and then, and
// return a part of it for the wishes that they find.

// beyondReach returns what the shares of silent peers have left, as far as the
// book knows.
func (h *Holder) beyondReach(b *Book) int64 {
	var sum int64
	for id, r := range b.rows {
		if r.raw.State == Open && ProcessOf(id) != h.process && h.silent(ProcessOf(id)) {
			sum += max(r.Idle(), 0)
		}
	}
	return sum
}

// wishFor sets the share's wish: what it lacks to its target, if the platform
// has nothing and peers out of reach have something.
func (s *Share) wishFor(free, beyond int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sync.wish = 0
	if free <= 0 && beyond > 0 && s.idle() < s.floor() {
		s.sync.wish = min(s.target()-s.idle(), beyond)
	}
}

// wishes returns what the open rows other than id wish for, beyond what is free.
func (b *Book) wishes(id string) int64 {
	var sum int64
	for other, r := range b.rows {
		if other != id && r.raw.State == Open {
			sum = min(sum+max(r.raw.Wish, 0), MaxPaid)
		}
	}
	return max(sum-max(b.Free(), 0), 0)
}

// spare gives back what others wish for, up to half of what is left, as long as
// that is well above the floor, with the lock held.
func (s *Share) spare(wished int64) {
	amount := min(wished, s.room()/2)
	if s.closing || amount <= 0 || s.room()-amount < s.floor() {
		return
	}
	s.returned += amount
	s.check()
}

// due reports whether it is time to look for wishes, and notes that it is done.
func (s *Share) due(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing || s.idle() < 2*s.floor() || s.idle() == 0 || now.Sub(s.sync.lookAt) < lookTime {
		return false
	}
	s.sync.lookAt = now
	return true
}
