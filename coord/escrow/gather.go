package escrow

import (
	"cmp"
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// When the platform has nothing free, what is left of a budget lies scattered
// over the shares, and requests that each gather it for themselves would take
// the parts from under one another. So one holder, the same for all who see the
// same peers, gathers for all: the others hand in what they don't need, and ask
// it for whole amounts. It queues them as it does its own requests. Should two
// think that they are the one, each gathers less, and nothing worse.

// errNoAnswer means that the gatherer gave no answer.
var errNoAnswer = errors.New("escrow: gatherer is out of reach")

// collector returns the process that gathers what is left of a budget, this one
// if it knows no other.
func (h *Holder) collector(budget string) string {
	if h.peers.Live == nil || h.peers.Request == nil {
		return h.process
	}
	return h.topRanked(budget, append(h.peers.Live(), h.process))
}

// delegate asks another process, which may take up to patience, for what the share
// lacks, and reserves.
func (h *Holder) delegate(ctx context.Context, s *Share, process string, n ReserveRequest, deadline time.Time, patience time.Duration) (Hold, bool, error) {
	left := min(max(time.Until(deadline), time.Millisecond), patience)
	r, err := h.request(ctx, s, process, TransferRequest{Need: s.shortfallFor(n.Amount), Want: s.wanted(), Wait: left, Priority: n.Priority})
	if err != nil {
		return Hold{}, false, errNoAnswer
	}
	s.noteReply(r)
	if hold, ok := s.Reserve(n.Amount); ok {
		return hold, false, nil
	}
	switch {
	case r.Err == nil:
		return Hold{}, true, ErrExhausted // someone here was faster
	case isAny(r.Err, ErrExhausted):
		if !r.MayFree {
			s.noteDenial(n.Amount, time.Now())
		}
		return Hold{}, r.MayFree, ErrExhausted
	default:
		return Hold{}, false, ErrUnreachable
	}
}

// collectFor serves a plea with a wait as a request of this holder's own. While the
// share is far from its end the asker gets more, so that it need not ask for
// each request.
func (h *Holder) collectFor(ctx context.Context, s *Share, p TransferRequest) TransferReply {
	hold, ok := s.Reserve(p.Need)
	if !ok {
		var err error
		if hold, err = h.reserveSlow(ctx, s.budget, s.currentPolicy(), h.peerRequest(p)); err != nil {
			if !isAny(err, ErrExhausted) || s.readAge() > maxReadAge {
				err = ErrUnreachable
			}
			if h.RequestDenied != nil {
				h.RequestDenied(p, err, s.Stats())
			}
			return TransferReply{Err: err, MayFree: s.mayFree(p.Need)}
		}
	}
	g := hold.share.transferHold(hold, p.From, p.Want-p.Need)
	return TransferReply{Transfer: g, Available: hold.share.potential()}
}

// noteReply takes in what its home says of a book that the share's holder does not read.
func (s *Share) noteReply(r TransferReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sync.viaHome && (r.Err == nil || isAny(r.Err, ErrExhausted)) {
		s.sync.free, s.sync.readAt = r.Available, time.Now()
	}
}

// readAge returns how old the last reading of the book is.
func (s *Share) readAge() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.sync.readAt)
}

// potential returns what an asker may still hope for: the share's room, and what the
// book had free.
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

// handOver gives what the share does not need to the gatherer of its budget. It
// reports false if this holder is the one.
func (h *Holder) handOver(ctx context.Context, s *Share) bool {
	process := h.collector(s.budget)
	if process == h.process {
		return false
	}
	if amount := s.surplus(); amount > 0 {
		if err := h.transferTo(ctx, s, process, amount); err != nil {
			return true // the gift stays set aside, and is repeated
		}
	}
	return true
}

// peerShare returns the ID of the process's share, if it has dealt with this
// one before.
func (s *Share) peerShare(process string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return cmp.Or(shareOfProcess(s.sentTo, process), shareOfProcess(s.receivedFrom, process))
}

// shareOfProcess returns the ID of a process's share among those dealt with, empty if it has
// none.
func shareOfProcess(dealt map[string]int64, process string) string {
	for id := range dealt {
		if ProcessOf(id) == process {
			return id
		}
	}
	return ""
}

// surplus returns all that the share has room for, 0 while requests wait for it.
func (s *Share) surplus() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiters) > 0 {
		return 0
	}
	return max(s.available(), 0)
}
