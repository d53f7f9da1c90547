package escrow

import "time"

// Gift tells a receiver how much a sender has given it in all. Totals only
// rise, so a gift that is lost, repeated or late does no harm: the next one
// says it all again.
type Gift struct {
	Budget string
	From   string // share ID of the sender
	To     string // share ID of the receiver
	Total  int64  // micro-units since the sender's share began
}

// Receipt answers a gift.
type Receipt struct {
	Credited int64 // micro-units credited from this sender in all
	Final    bool  // the receiving share is closed and will credit no more
}

// Plea asks a peer for a part of its share.
type Plea struct {
	Budget string
	From   string        // share ID of the asker
	Need   int64         // micro-units that the asker lacks
	Want   int64         // micro-units that it would take
	Wait   time.Duration // how long the peer may take to gather Need; 0 for what it has
	Rank   int           // priority of the request that waits
}

// Reply answers a plea.
type Reply struct {
	Gift   Gift  // what the peer has given in all
	Room   int64 // micro-units that the peer has left
	Opened int64 // micro-units in open reservations at the peer
	Waits  bool  // with a Wait, open reservations at the peer may yet do
	Why    error // with a Wait, why Need could not be gathered: ErrExhausted or ErrCutOff
}

// give sets amount aside for the share to, and returns the gift that says so.
// It gives need as far as there is room, and more, up to want, only as far as
// half of the room goes.
func (s *Share) give(to string, need, want int64) Gift {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.broken == nil && !s.closing && to != s.id {
		room := s.room()
		amount := min(max(need, min(want, room/2)), room)
		if amount > 0 {
			s.dealt(amount)
			s.sentTo[to] += amount
			s.sent += amount
			s.check()
		}
	}
	return Gift{Budget: s.budget, From: s.id, To: to, Total: s.sentTo[to]}
}

// turnOver turns an open reservation into a gift to the share to, and adds up
// to more while that leaves the share well above its floor.
func (s *Share) turnOver(h Hold, to string, more int64) Gift {
	s.mu.Lock()
	defer s.mu.Unlock()
	amount := h.amount + max(min(more, s.room()/2-s.floor()), 0)
	s.reserved -= h.amount
	s.dealt(amount)
	s.sentTo[to] += amount
	s.sent += amount
	s.check()
	return Gift{Budget: s.budget, From: s.id, To: to, Total: s.sentTo[to]}
}

// dealt counts what the home of a budget gives to its mates, or gets back, as
// demand, with the lock held.
func (s *Share) dealt(amount int64) {
	if s.sync.mates > 0 && !s.sync.member {
		s.flow.add(amount)
	}
}

// credit takes a gift in.
func (s *Share) credit(g Gift) Receipt {
	s.mu.Lock()
	defer s.mu.Unlock()
	if g.To != s.id {
		return Receipt{}
	}
	fresh := g.Total - s.gotFrom[g.From]
	if fresh > 0 && !s.closing {
		s.gotFrom[g.From] = g.Total
		s.received += fresh
		if s.sentTo[g.From] > 0 {
			s.dealt(-fresh)
		}
		s.check()
		s.wake()
	}
	return Receipt{Credited: s.gotFrom[g.From], Final: s.closing}
}

// settleGift takes in what the receiver of gifts says it has credited. What a
// closed receiver did not credit comes back.
func (s *Share) settleGift(to string, r Receipt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acked[to] = min(max(s.acked[to], r.Credited), s.sentTo[to])
	if r.Final && r.Credited < s.sentTo[to] {
		s.sent -= s.sentTo[to] - r.Credited
		s.sentTo[to] = r.Credited
		s.check()
		s.wake()
	}
}

// gotFromAny reports whether a share of the process has given to this one.
func (s *Share) gotFromAny(process string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return shareOf(s.gotFrom, process) != ""
}

// unacked returns the gifts that their receivers have not acknowledged.
func (s *Share) unacked() []Gift {
	s.mu.Lock()
	defer s.mu.Unlock()
	var gifts []Gift
	for to, sum := range s.sentTo {
		if sum > s.acked[to] {
			gifts = append(gifts, Gift{Budget: s.budget, From: s.id, To: to, Total: sum})
		}
	}
	return gifts
}
