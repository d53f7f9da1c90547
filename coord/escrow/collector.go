package escrow

import (
	"cmp"
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// When the ledger of a budget has nothing free, the rest of the budget is
// spread over the shares. If each reservation collected that rest for itself,
// reservations would take parts from one another. So one holder, the collector,
// collects the rest for all. Every holder that sees the same peers chooses the
// same collector.
//
// The other holders transfer their surplus to the collector and request whole
// amounts from it. The collector queues these requests like its own
// reservations. If two holders both act as collector, each collects less; no
// other harm results.

// errNoAnswer means that the process that delegate asked did not reply to the
// transfer request. In reserveViaHome and reserveViaNextHome that process is a
// home of the budget, in trySources it is the collector.
var errNoAnswer = errors.New("escrow: home or collector did not reply")

// collector returns the ID of the process that collects the rest of an
// exhausted budget, this process if it knows no other.
func (h *Holder) collector(budget string) string {
	if h.peers.Live == nil || h.peers.Request == nil {
		return h.process
	}
	return h.topRanked(budget, append(h.peers.Live(), h.process))
}

// delegate requests from another process the amount that the share lacks, and
// then makes the reservation. The other process may take up to maxWait, at most
// until deadline, to collect the amount. After a failure, the returned bool
// reports whether a later attempt could succeed, and the error is errNoAnswer,
// ErrExhausted or ErrUnreachable.
func (h *Holder) delegate(ctx context.Context, s *Share, process string, req ReserveRequest, deadline time.Time, maxWait time.Duration) (Hold, bool, error) {
	left := min(max(time.Until(deadline), time.Millisecond), maxWait)
	reply, err := h.request(ctx, s, process, TransferRequest{Need: s.missing(req.Amount), Want: s.wanted(), Wait: left, Priority: req.Priority})
	if err != nil {
		return Hold{}, false, errNoAnswer
	}
	s.noteReply(reply)
	if hold, ok := s.Reserve(req.Amount); ok {
		return hold, false, nil
	}
	switch {
	case reply.Err == nil:
		return Hold{}, true, ErrExhausted // another reservation of this process took the amount
	case isAny(reply.Err, ErrExhausted):
		if !reply.MayFree {
			s.noteDenial(req.Amount, time.Now())
		}
		return Hold{}, reply.MayFree, ErrExhausted
	default:
		return Hold{}, false, ErrUnreachable
	}
}

// collectFor serves a transfer request that has a Wait. It makes a reservation
// on this holder's share, which it then turns into a transfer. While the share
// has plenty available, the transfer exceeds Need, so that the requester need
// not send a request for each reservation.
//
// A failure is reported as ErrUnreachable, not ErrExhausted, if the last
// reading of the ledger is older than maxReadAge.
func (h *Holder) collectFor(ctx context.Context, s *Share, req TransferRequest) TransferReply {
	hold, ok := s.Reserve(req.Need)
	if !ok {
		var err error
		if hold, err = h.reserveSlow(ctx, s.budget, s.currentPolicy(), h.peerRequest(req)); err != nil {
			if !isAny(err, ErrExhausted) || s.readAge() > maxReadAge {
				err = ErrUnreachable
			}
			if h.RequestDenied != nil {
				h.RequestDenied(req, err, s.Stats())
			}
			return TransferReply{Err: err, MayFree: s.mayFree(req.Need)}
		}
	}
	t := hold.share.transferHold(hold, req.From, req.Want-req.Need)
	return TransferReply{Transfer: t, Available: hold.share.potential()}
}

// noteReply records the available amount that the home of the budget reports,
// in place of a reading of the ledger. The holder of a share that has its home
// in another process does not read the ledger itself.
func (s *Share) noteReply(reply TransferReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sync.viaHome && (reply.Err == nil || isAny(reply.Err, ErrExhausted)) {
		s.sync.free, s.sync.readAt = reply.Available, time.Now()
	}
}

// readAge returns the time since the ledger was last read for this share, or
// since the home of the budget last reported in its place.
func (s *Share) readAge() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.sync.readAt)
}

// potential returns the amount that a requester may still get through this
// share: the share's available amount and the amount that the ledger had free
// when last read.
func (s *Share) potential() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.available(), 0) + max(s.sync.free, 0)
}

// mayFree reports whether the share would have amount idle if its open
// reservations were settled at no cost.
func (s *Share) mayFree(amount int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.idle()+s.reserved >= amount
}

// handOver transfers the available amount of the share to the collector of its
// budget, unless reservations wait for it. It reports whether another process
// is the collector, also if the transfer failed.
func (h *Holder) handOver(ctx context.Context, s *Share) bool {
	process := h.collector(s.budget)
	if process == h.process {
		return false
	}
	if amount := s.surplus(); amount > 0 {
		if err := h.transferTo(ctx, s, process, amount); err != nil {
			return true // the amount stays deducted, and resend sends the transfer again
		}
	}
	return true
}

// peerShare returns the ID of that share of the process with which this share
// has made transfers, in either direction. It returns the empty string if there
// is none.
func (s *Share) peerShare(process string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return cmp.Or(shareOfProcess(s.sentTo, process), shareOfProcess(s.receivedFrom, process))
}

// shareOfProcess returns the share ID among the keys of totals that belongs to
// the process, the empty string if there is none. totals maps share IDs to
// transferred amounts.
func shareOfProcess(totals map[string]int64, process string) string {
	for id := range totals {
		if ProcessOf(id) == process {
			return id
		}
	}
	return ""
}

// surplus returns the available amount of the share, 0 while reservations wait
// in its queue.
func (s *Share) surplus() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiters) > 0 {
		return 0
	}
	return max(s.available(), 0)
}
