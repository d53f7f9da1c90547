package escrow

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"jacinthladder.dev/coord/subset"
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
	best, top := h.process, subset.Score(budget, h.process)
	for _, p := range h.peers.Near() {
		if score := subset.Score(budget, p); score > top {
			best, top = p, score
		}
	}
	return best
}

// delegate asks the gatherer for what the share lacks, and reserves.
func (h *Holder) delegate(ctx context.Context, s *Share, process string, n Need, deadline time.Time) (Hold, bool, error) {
	left := min(max(time.Until(deadline), time.Millisecond), turnTime)
	r, err := h.ask(ctx, s, process, Plea{Need: s.lack(n.Amount), Want: s.wanted(), Wait: left, Rank: n.Rank})
	if err != nil {
		return Hold{}, false, errUnreached
	}
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
		return Hold{}, false, errUnreached
	}
}

// gather serves a plea with a wait as a request of this holder's own. While the
// share is far from its end the asker gets more, so that it need not ask for
// each request.
func (h *Holder) gather(ctx context.Context, s *Share, p Plea) Reply {
	n := Need{Amount: p.Need, Rank: p.Rank, Wait: p.Wait, gathered: true}
	hold, ok := s.Reserve(p.Need)
	if !ok {
		var err error
		if hold, err = h.insist(ctx, s.budget, s.treatment(), n); err != nil {
			if !is(err, ErrExhausted) {
				err = ErrCutOff
			}
			return Reply{Why: err, Waits: s.waits(p.Need)}
		}
	}
	return Reply{Gift: hold.share.turnOver(hold, p.From, p.Want-p.Need)}
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
	// An empty plea brings the gatherer's share ID, to which gifts go.
	to := s.gathererID(process)
	if to == "" {
		r, err := h.ask(ctx, s, process, Plea{})
		if err != nil || r.Gift.From == "" {
			return true
		}
		to = r.Gift.From
	}
	if g := s.giveIdle(to); g.Total > 0 {
		h.deliver(ctx, s, g)
	}
	return true
}

// gathererID returns the ID of the process's share, if it has dealt with this
// one before.
func (s *Share) gathererID(process string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, ids := range []map[string]int64{s.sentTo, s.gotFrom} {
		for id := range ids {
			if ProcessOf(id) == process {
				return id
			}
		}
	}
	return ""
}

// giveIdle gives all that the share has room for.
func (s *Share) giveIdle(to string) Gift {
	s.mu.Lock()
	room := s.room()
	waiting := len(s.waiters) > 0
	s.mu.Unlock()
	if room <= 0 || waiting {
		return Gift{}
	}
	return s.give(to, room, 0)
}
