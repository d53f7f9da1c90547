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

// errUnreached means that the gatherer gave no answer.
var errUnreached = errors.New("escrow: gatherer is out of reach")

// gatherer returns the process that gathers what is left of a budget, this one
// if it knows no other.
func (h *Holder) gatherer(budget string) string {
	if h.peers.Near == nil || h.peers.Ask == nil {
		return h.process
	}
	return h.best(budget, append(h.peers.Near(), h.process))
}

// delegate asks another process, which may take up to patience, for what the share
// lacks, and reserves.
func (h *Holder) delegate(ctx context.Context, s *Share, process string, n Need, deadline time.Time, patience time.Duration) (Hold, bool, error) {
	left := min(max(time.Until(deadline), time.Millisecond), patience)
	r, err := h.ask(ctx, s, process, Plea{Need: s.lack(n.Amount), Want: s.wanted(), Wait: left, Rank: n.Rank})
	if err != nil {
		return Hold{}, false, errUnreached
	}
	s.hear(r)
	if hold, ok := s.Reserve(n.Amount); ok {
		return hold, false, nil
	}
	switch {
	case r.Why == nil:
		return Hold{}, true, ErrExhausted // someone here was faster
	case is(r.Why, ErrExhausted):
		if !r.Waits {
			s.deny(n.Amount, time.Now())
		}
		return Hold{}, r.Waits, ErrExhausted
	default:
		return Hold{}, false, ErrCutOff
	}
}

// gather serves a plea with a wait as a request of this holder's own. While the
// share is far from its end the asker gets more, so that it need not ask for
// each request.
func (h *Holder) gather(ctx context.Context, s *Share, p Plea) Reply {
	hold, ok := s.Reserve(p.Need)
	if !ok {
		var err error
		if hold, err = h.insist(ctx, s.budget, s.treatment(), h.asker(p)); err != nil {
			if !is(err, ErrExhausted) || s.readAge() > wordTime {
				err = ErrCutOff
			}
			if h.Denied != nil {
				h.Denied(p, err, s.Figures())
			}
			return Reply{Why: err, Waits: s.waits(p.Need)}
		}
	}
	g := hold.share.turnOver(hold, p.From, p.Want-p.Need)
	return Reply{Gift: g, Room: hold.share.beyond()}
}

// hear takes in what its home says of a book that the share's holder does not read.
func (s *Share) hear(r Reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sync.member && (r.Why == nil || is(r.Why, ErrExhausted)) {
		s.sync.free, s.sync.readAt = r.Room, time.Now()
	}
}

// readAge returns how old the last reading of the book is.
func (s *Share) readAge() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.sync.readAt)
}

// beyond returns what an asker may still hope for: the share's room, and what the
// book had free.
func (s *Share) beyond() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.room(), 0) + max(s.sync.free, 0)
}

// waits reports whether open reservations could still free amount.
func (s *Share) waits(amount int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.idle()+s.reserved >= amount
}

// handIn gives what the share does not need to the gatherer of its budget. It
// reports false if this holder is the one.
func (h *Holder) handIn(ctx context.Context, s *Share) bool {
	process := h.gatherer(s.budget)
	if process == h.process {
		return false
	}
	if amount := s.spareAll(); amount > 0 {
		if err := h.giveTo(ctx, s, process, amount); err != nil {
			return true // the gift stays set aside, and is repeated
		}
	}
	return true
}

// dealtWith returns the ID of the process's share, if it has dealt with this
// one before.
func (s *Share) dealtWith(process string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return cmp.Or(shareOf(s.sentTo, process), shareOf(s.gotFrom, process))
}

// shareOf returns the ID of a process's share among those dealt with, empty if it has
// none.
func shareOf(dealt map[string]int64, process string) string {
	for id := range dealt {
		if ProcessOf(id) == process {
			return id
		}
	}
	return ""
}

// spareAll returns all that the share has room for, 0 while requests wait for it.
func (s *Share) spareAll() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiters) > 0 {
		return 0
	}
	return max(s.room(), 0)
}
