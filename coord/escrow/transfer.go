package escrow

import "time"

// Transfer is a message that tells a receiving share the total that a sending
// share has given it. Totals only increase, so it is harmless if a transfer is
// lost, repeated or late: the next one includes its amount.
type Transfer struct {
	Budget string
	From   string // share ID of the sender
	To     string // share ID of the receiver
	Total  int64  // micro-units given by From to To since From was created
}

// TransferAck acknowledges a Transfer on behalf of the receiving share.
type TransferAck struct {
	Credited int64 // total that the receiving share has credited from the sending share, in micro-units
	Final    bool  // the receiving share is closed and credits no more
}

// TransferRequest is a message that asks a peer to transfer a part of its share
// of a budget to the share From.
type TransferRequest struct {
	Budget   string
	From     string        // share ID of the requester
	Need     int64         // micro-units that the requester lacks
	Want     int64         // micro-units that the requester would like, used if larger than Need
	Wait     time.Duration // how long the peer may take to collect Need; with 0 it gives only what its share has available
	Priority int           // ReserveRequest.Priority of the reservation that waits for Need
}

// TransferReply is a peer's reply to a TransferRequest.
type TransferReply struct {
	// Transfer states the total that the peer's share has given to the requester's
	// share, including the amount given for this request.
	Transfer Transfer
	// Available is the amount that the peer's share still has available after the
	// transfer, in micro-units. If the request has a Wait, it includes the amount
	// that the ledger had free when the peer last read it.
	Available int64
	// Reserved is the total of the open reservations of the peer's share, in
	// micro-units. It is not set if the request has a Wait.
	Reserved int64
	// MayFree reports that open reservations at the peer could still free Need. It
	// is set only if the request has a Wait and failed.
	MayFree bool
	// Err is the reason why Need was not collected, if the request has a Wait:
	// ErrExhausted or ErrUnreachable. It is ErrUnreachable also if the peer has
	// no share of the budget.
	Err error
}

// transfer deducts an amount from the share s for the share with the ID to, and
// returns the transfer that tells the receiver the new total. The amount is
// need, or all that s has available if that is less. It exceeds need, up to
// want, only as far as it is at most half of the available amount. A closing
// share gives nothing.
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

// transferHold turns the open reservation h of the share into a transfer to the
// share with the ID to, and returns that transfer. It adds up to extra
// micro-units, at most the amount by which half of the share's available amount
// exceeds its floor.
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

// countDemand counts amount as spending in the rate of a home's share, when the
// home transfers amount to another member of its zone. An amount that the home
// gets back is negative. For a share of a process that is not the home of the
// budget it does nothing. The caller holds the lock.
func (s *Share) countDemand(amount int64) {
	if s.sync.zoneSize > 0 && !s.sync.viaHome {
		s.meter.add(amount)
	}
}

// credit adds a received transfer to the share, as far as the share has not
// credited it before, and returns the acknowledgement. A closing share credits
// nothing. For a transfer to another share, the acknowledgement is the zero
// value.
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

// applyAck records the acknowledgement of the share with the ID to: the total
// that it has credited of this share's transfers. If the receiver is closed,
// the amount that it did not credit comes back to this share.
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

// receivedFromProcess reports whether this share has credited a transfer from a
// share of the process.
func (s *Share) receivedFromProcess(process string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return shareOfProcess(s.receivedFrom, process) != ""
}

// unacked returns one transfer for each receiving share that has not yet
// acknowledged the total transferred to it.
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
