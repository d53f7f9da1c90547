package escrow

import "time"

// Transfer tells a receiving share how much a sending share has given it in
// total. Totals only increase, so it is harmless if a transfer is lost,
// repeated or late: the next one includes it.
type Transfer struct {
	Budget string
	From   string // share ID of the sender
	To     string // share ID of the receiver
	Total  int64  // micro-units given by From to To since From was created
}

// TransferAck acknowledges a transfer on behalf of the receiving share.
type TransferAck struct {
	Credited int64 // total credited from this sender, in micro-units
	Final    bool  // the receiving share is closed and credits no more
}

// TransferRequest asks a peer for a part of its share of a budget.
type TransferRequest struct {
	Budget   string
	From     string        // share ID of the requester
	Need     int64         // micro-units that the requester lacks
	Want     int64         // micro-units that the requester would like, if that is more than Need
	Wait     time.Duration // how long the peer may take to collect Need; with 0 it gives only what it has
	Priority int           // priority of the reservation that waits for Need
}

// TransferReply answers a transfer request.
type TransferReply struct {
	// Transfer states the total that the peer's share has given to the
	// requester's.
	Transfer Transfer
	// Available is what the peer has available after the transfer, in
	// micro-units. If the request has a Wait, it includes what the ledger had
	// free when the peer last read it.
	Available int64
	// Reserved is what open reservations at the peer hold, in micro-units. It
	// is not set if the request has a Wait.
	Reserved int64
	// MayFree reports that open reservations at the peer could still free
	// enough. It is set only if the request has a Wait and failed.
	MayFree bool
	// Err is the reason why Need was not collected, if the request has a Wait:
	// ErrExhausted or ErrUnreachable. It is ErrUnreachable also if the peer has
	// no share of the budget.
	Err error
}

// transfer moves an amount to the share with the ID to and returns the
// resulting transfer. The amount is need if that is available, else all that is
// available. It exceeds need, up to want, only as far as it is at most half of
// what is available.
func (s *Share) transfer(to string, need, want int64) Transfer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.violation == nil && !s.closing && to != s.id {
		available := s.available()
		amount := min(max(need, min(want, available/2)), available)
		if amount > 0 {
			s.countDemand(amount)
			s.sentTo[to] += amount
			s.sent += amount
			s.checkInvariant()
		}
	}
	return Transfer{Budget: s.budget, From: s.id, To: to, Total: s.sentTo[to]}
}

// transferHold turns an open reservation into a transfer to the share with the
// ID to. It adds up to extra, as long as the share keeps its floor and half of
// what it has available.
func (s *Share) transferHold(h Hold, to string, extra int64) Transfer {
	s.mu.Lock()
	defer s.mu.Unlock()
	amount := h.amount + max(min(extra, s.available()/2-s.floor()), 0)
	s.reserved -= h.amount
	s.countDemand(amount)
	s.sentTo[to] += amount
	s.sent += amount
	s.checkInvariant()
	return Transfer{Budget: s.budget, From: s.id, To: to, Total: s.sentTo[to]}
}

// countDemand counts an amount that the home of a budget transfers to other
// members of its zone as demand; an amount that it gets back is negative. It
// does nothing for a share that is not a home's. The caller holds the lock.
func (s *Share) countDemand(amount int64) {
	if s.sync.zoneSize > 0 && !s.sync.viaHome {
		s.meter.add(amount)
	}
}

// credit adds a received transfer to the share, as far as it was not credited
// before, and returns the acknowledgement. A closing share credits nothing. For
// a transfer to another share the acknowledgement is the zero value.
func (s *Share) credit(t Transfer) TransferAck {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.To != s.id {
		return TransferAck{}
	}
	added := t.Total - s.receivedFrom[t.From]
	if added > 0 && !s.closing {
		s.receivedFrom[t.From] = t.Total
		s.received += added
		if s.sentTo[t.From] > 0 {
			s.countDemand(-added)
		}
		s.checkInvariant()
		s.admitWaiters()
	}
	return TransferAck{Credited: s.receivedFrom[t.From], Final: s.closing}
}

// applyAck records how much of this share's transfers the share with the ID to
// has credited. What a closed receiver did not credit comes back to this share.
func (s *Share) applyAck(to string, ack TransferAck) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acked[to] = min(max(s.acked[to], ack.Credited), s.sentTo[to])
	if ack.Final && ack.Credited < s.sentTo[to] {
		s.sent -= s.sentTo[to] - ack.Credited
		s.sentTo[to] = ack.Credited
		s.checkInvariant()
		s.admitWaiters()
	}
}

// receivedFromProcess reports whether a share of the process has made a
// transfer to this one.
func (s *Share) receivedFromProcess(process string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return shareOfProcess(s.receivedFrom, process) != ""
}

// unacked returns one transfer for each receiver that has not acknowledged the
// total given to it.
func (s *Share) unacked() []Transfer {
	s.mu.Lock()
	defer s.mu.Unlock()
	var transfers []Transfer
	for to, sum := range s.sentTo {
		if sum > s.acked[to] {
			transfers = append(transfers, Transfer{Budget: s.budget, From: s.id, To: to, Total: sum})
		}
	}
	return transfers
}
