package escrow

import (
	"context"
	"sync"
	"time"
)

// A share whose home is another process lives on what that gives it.

const (
	// memberTime is how long what a holder asks its home for ahead of need should
	// last at the demand of late. Its home is near, and what lies with many holders
	// pays for nothing.
	memberTime = time.Second
	// tidyTime is the least time between two gifts of what a holder does not need.
	tidyTime = time.Second
	// outliveTime is how long a share that was drawn here is kept after its last
	// draw once another holder is its home.
	outliveTime = 5 * time.Second
)

// tidyAll brings the shares that live on their homes near their targets, and returns
// those that this process draws by itself.
func (h *Holder) tidyAll(ctx context.Context, shares []*Share, now time.Time) []*Share {
	mates := h.mates()
	var own []*Share
	var work sync.WaitGroup
	for _, s := range shares {
		process := h.home(s.budget, mates, now)
		s.muster(process != h.process, len(mates))
		if process == h.process {
			own = append(own, s)
			continue
		}
		work.Go(func() { h.tidy(ctx, s, process, now) })
	}
	work.Wait()
	return own
}

// muster notes who draws, and for how many holders.
func (s *Share) muster(member bool, mates int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sync.member, s.sync.mates = member, mates
}

// tidy brings a share that its home draws for near its target. One that was drawn
// here before goes back to the platform whole: its row would count among those
// that draw.
func (h *Holder) tidy(ctx context.Context, s *Share, process string, now time.Time) {
	if s.outlived(now) {
		h.retire(s)
		return
	}
	var err error
	if s.low() {
		_, err = h.ask(ctx, s, process, Plea{Want: s.wanted()})
	} else if amount := s.unneeded(now); amount > 0 {
		err = h.giveTo(ctx, s, process, amount)
	}
	if err != nil {
		h.passOver(process, now)
	}
}

// outlived reports whether the share was drawn here, and not of late.
func (s *Share) outlived(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sync.written && !s.closing && now.Sub(s.sync.startAt) > outliveTime
}

// leaveToHome gives what is left of a share that never had a row to its home.
func (h *Holder) leaveToHome(ctx context.Context, s *Share) {
	process := h.home(s.budget, h.mates(), time.Now())
	amount := s.spareAll()
	if process == h.process || amount == 0 {
		return
	}
	if err := h.giveTo(ctx, s, process, amount); err != nil {
		h.passOver(process, time.Now())
	}
}

// silentOnBook reports whether the book knows nothing of the share and needs not to:
// it has no row, and all that it got is used or given on.
func (s *Share) silentOnBook() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.granted > 0 || s.sync.seq > 0 || s.idle() > 0 || s.reserved > 0 {
		return false
	}
	for to, sum := range s.sentTo {
		if sum > s.acked[to] {
			return false
		}
	}
	return true
}

// unneeded returns what the share is to give back to its home now.
func (s *Share) unneeded(now time.Time) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing || len(s.waiters) > 0 || now.Sub(s.sync.tidyAt) < tidyTime {
		return 0
	}
	amount := max(s.room()-s.target(), 0)
	if amount > 0 {
		s.sync.tidyAt = now
	}
	return amount
}

// giveTo gives amount to a process's share of the same budget. An empty plea
// brings the share's ID if the two have not dealt with each other before.
func (h *Holder) giveTo(ctx context.Context, s *Share, process string, amount int64) error {
	to := s.dealtWith(process)
	if to == "" {
		r, err := h.ask(ctx, s, process, Plea{})
		if err != nil || r.Gift.From == "" {
			return err
		}
		to = r.Gift.From
	}
	if g := s.give(to, amount, 0); g.Total > 0 {
		return h.deliver(ctx, s, g)
	}
	return nil
}
