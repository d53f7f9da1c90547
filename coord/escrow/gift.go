package escrow

import "time"

// Transfer tells a receiver how much a sender has given it in all. Totals only
// rise, so a gift that is lost, repeated or late does no harm: the next one
// says it all again.
type Transfer struct {
	Budget string
	From   string // share ID of the sender
	To     string // share ID of the receiver
	Total  int64  // micro-units since the sender's share began
}

// TransferAck answers a gift.
type TransferAck struct {
	Credited int64 // micro-units credited from this sender in all
	Final    bool  // the receiving share is closed and will credit no more
}

// TransferRequest asks a peer for a part of its share.
type TransferRequest struct {
	Budget   string
	From     string        // share ID of the asker
	Need     int64         // micro-units that the asker lacks
	Want     int64         // micro-units that it would take
	Wait     time.Duration // how long the peer may take to gather Need; 0 for what it has
	Priority int           // priority of the request that waits
}

// TransferReply answers a plea.
type TransferReply struct {
	Transfer  Transfer // what the peer has given in all
	Available int64    // micro-units that the peer has left
	Reserved  int64    // micro-units in open reservations at the peer
	MayFree   bool     // with a Wait, open reservations at the peer may yet do
	Err       error    // with a Wait, why Need could not be gathered: ErrExhausted or ErrCutOff
}

// transfer sets amount aside for the share to, and returns the gift that says so.
// It gives need as far as there is room, and more, up to want, only as far as
// half of the room goes.
func (s *Share) transfer(to string, need, want int64) Transfer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.violation == nil && !s.closing && to != s.id {
		room := s.available()
		amount := min(max(need, min(want, room/2)), room)
		if amount > 0 {
			s.countDemand(amount)
			s.sentTo[to] += amount
			s.sent += amount
			s.checkInvariant()
		}
	}
	return Transfer{Budget: s.budget, From: s.id, To: to, Total: s.sentTo[to]}
}

// transferHold turns an open reservation into a gift to the share to, and adds up
// to more while that leaves the share well above its floor.
func (s *Share) transferHold(h Hold, to string, more int64) Transfer {
	s.mu.Lock()
	defer s.mu.Unlock()
	amount := h.amount + max(min(more, s.available()/2-s.floor()), 0)
	s.reserved -= h.amount
	s.countDemand(amount)
	s.sentTo[to] += amount
	s.sent += amount
	s.checkInvariant()
	return Transfer{Budget: s.budget, From: s.id, To: to, Total: s.sentTo[to]}
}

// countDemand counts what the home of a budget gives to its mates, or gets back, as
// demand, with the lock held.
func (s *Share) countDemand(amount int64) {
	if s.sync.zoneSize > 0 && !s.sync.viaHome {
		s.meter.add(amount)
	}
}

// credit takes a gift in.
func (s *Share) credit(g Transfer) TransferAck {
	s.mu.Lock()
	defer s.mu.Unlock()
	if g.To != s.id {
		return TransferAck{}
	}
	fresh := g.Total - s.receivedFrom[g.From]
	if fresh > 0 && !s.closing {
		s.receivedFrom[g.From] = g.Total
		s.received += fresh
		if s.sentTo[g.From] > 0 {
			s.countDemand(-fresh)
		}
		s.checkInvariant()
		s.admitWaiters()
	}
	return TransferAck{Credited: s.receivedFrom[g.From], Final: s.closing}
}

// applyAck takes in what the receiver of gifts says it has credited. What a
// closed receiver did not credit comes back.
func (s *Share) applyAck(to string, r TransferAck) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acked[to] = min(max(s.acked[to], r.Credited), s.sentTo[to])
	if r.Final && r.Credited < s.sentTo[to] {
		s.sent -= s.sentTo[to] - r.Credited
		s.sentTo[to] = r.Credited
		s.checkInvariant()
		s.admitWaiters()
	}
}

// receivedFromProcess reports whether a share of the process has given to this one.
func (s *Share) receivedFromProcess(process string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return shareOfProcess(s.receivedFrom, process) != ""
}

// unacked returns the gifts that their receivers have not acknowledged.
func (s *Share) unacked() []Transfer {
	s.mu.Lock()
	defer s.mu.Unlock()
	var gifts []Transfer
	for to, sum := range s.sentTo {
		if sum > s.acked[to] {
			gifts = append(gifts, Transfer{Budget: s.budget, From: s.id, To: to, Total: sum})
		}
	}
	return gifts
}
