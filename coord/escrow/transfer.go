package escrow

import "time"

// Transfer tells a receiver how much a sender has given it in total. Totals
// only increase, so it is harmless if a transfer is lost, repeated or late: the
// next one includes it.
type Transfer struct {
	Budget string
	From   string // share ID of the sender
	To     string // share ID of the receiver
	Total  int64  // micro-units since the sender's share was created
}

// TransferAck acknowledges a transfer.
type TransferAck struct {
	Credited int64 // total credited from this sender, in micro-units
	Final    bool  // the receiving share is closed and credits no more
}

// TransferRequest asks a peer for a part of its share.
type TransferRequest struct {
	Budget   string
	From     string        // share ID of the requester
	Need     int64         // micro-units that the requester lacks
	Want     int64         // micro-units that the requester would like
	Wait     time.Duration // how long the peer may take to collect Need; with 0 it gives only what it has
	Priority int           // priority of the request that waits
}

// TransferReply answers a transfer request.
type TransferReply struct {
	// Transfer is the total transferred by the peer so far.
	Transfer Transfer
	// Available is what the peer has available, in micro-units. With Wait it
	// includes what the ledger had free when the peer last read it.
	Available int64
	// Reserved is what open reservations at the peer hold, in micro-units. It is
	// not set with Wait.
	Reserved int64
	// MayFree reports, with Wait, that open reservations at the peer could still
	// free enough.
	MayFree bool
	// Err says, with Wait, why Need was not collected: ErrExhausted or
	// ErrUnreachable. It is ErrUnreachable also if the peer has no share.
	Err error
}

// transfer sets amount aside for the share to and returns the resulting
// transfer. It gives need if that is available, else all that is available. It
// gives more than need, up to want, only if the amount is at most half of what is
// available.
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

// transferHold turns an open reservation into a transfer to the share to, and
// adds up to extra, as long as the share keeps its floor and half of what it has
// available.
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

// countDemand counts what the home of a budget transfers to other members of
// its zone, or gets back, as demand. The caller holds the lock.
func (s *Share) countDemand(amount int64) {
	if s.sync.zoneSize > 0 && !s.sync.viaHome {
		s.meter.add(amount)
	}
}

// credit applies a received transfer.
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

// applyAck applies what the receiver of transfers reports as credited. What a
// closed receiver did not credit comes back.
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

// receivedFromProcess reports whether a share of the process has transferred to
// this one.
func (s *Share) receivedFromProcess(process string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return shareOfProcess(s.receivedFrom, process) != ""
}

// unacked returns the transfers that their receivers have not acknowledged.
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
