package escrow

import (
	"cmp"
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// When the store has nothing free, the rest of a budget is spread over the
// shares, and reservations that each collected it for themselves would take
// parts from one another. So one holder, the collector, collects for all; every
// holder that sees the same peers chooses the same one. The others hand over
// what they don't need and ask it for whole amounts, which it queues like its
// own reservations. If two holders both act as collector, each collects less;
// no other harm results.

// errNoAnswer means that a home or collector did not reply.
var errNoAnswer = errors.New("escrow: home or collector did not reply")

// collector returns the process that collects what is left of a budget, this
// one if it knows no other.
func (h *Holder) collector(budget string) string {
	if h.peers.Live == nil || h.peers.Request == nil {
		return h.process
	}
	return h.topRanked(budget, append(h.peers.Live(), h.process))
}

// delegate asks another process for what the share lacks, which it may take up
// to maxWait to collect, and reserves.
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
		return Hold{}, true, ErrExhausted // another reservation here was faster
	case isAny(reply.Err, ErrExhausted):
		if !reply.MayFree {
			s.noteDenial(req.Amount, time.Now())
		}
		return Hold{}, reply.MayFree, ErrExhausted
	default:
		return Hold{}, false, ErrUnreachable
	}
}

// collectFor serves a transfer request with a wait like a reservation of this
// holder's own. While the share has plenty left the requester gets more than it
// needs, so that it need not send a transfer request for each reservation.
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

// noteReply records what the home reports as available, in place of a reading of
// the ledger, which the holder of this share does not read itself.
func (s *Share) noteReply(reply TransferReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sync.viaHome && (reply.Err == nil || isAny(reply.Err, ErrExhausted)) {
		s.sync.free, s.sync.readAt = reply.Available, time.Now()
	}
}

// readAge returns the age of the last reading of the ledger.
func (s *Share) readAge() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.sync.readAt)
}

// potential returns what a requester may still get: what the share has
// available and what the ledger had free.
func (s *Share) potential() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.available(), 0) + max(s.sync.free, 0)
}

// mayFree reports whether open reservations could still free amount.
func (s *Share) mayFree(amount int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.idle()+s.reserved >= amount
}

// handOver transfers what the share does not need to the collector of its
// budget. It reports false if this holder is the collector.
func (h *Holder) handOver(ctx context.Context, s *Share) bool {
	process := h.collector(s.budget)
	if process == h.process {
		return false
	}
	if amount := s.surplus(); amount > 0 {
		if err := h.transferTo(ctx, s, process, amount); err != nil {
			return true // the transfer stays set aside and is sent again
		}
	}
	return true
}

// peerShare returns the ID of the process's share if the two shares have made
// transfers before, else the empty string.
func (s *Share) peerShare(process string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return cmp.Or(shareOfProcess(s.sentTo, process), shareOfProcess(s.receivedFrom, process))
}

// shareOfProcess returns the share ID in totals that belongs to the process,
// empty if there is none.
func shareOfProcess(totals map[string]int64, process string) string {
	for id := range totals {
		if ProcessOf(id) == process {
			return id
		}
	}
	return ""
}

// surplus returns all that the share has available, 0 while reservations wait
// for it.
func (s *Share) surplus() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiters) > 0 {
		return 0
	}
	return max(s.available(), 0)
}
