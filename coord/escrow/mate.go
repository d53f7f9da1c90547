package escrow

import (
	"context"
	"sync"
	"time"
)

// A share whose home is another process lives on what that gives it.

const (
	// viaHomeHorizon is how long what a holder asks its home for ahead of need should
	// last at the demand of late. Its home is near, and what lies with many holders
	// pays for nothing.
	viaHomeHorizon = time.Second
	// returnInterval is the least time between two gifts of what a holder does not need.
	returnInterval = time.Second
	// retireDelay is how long a share that was drawn here is kept after its last
	// draw once another holder is its home.
	retireDelay = 5 * time.Second
)

// balanceAll brings the shares that live on their homes near their targets, and returns
// those that this process draws by itself.
func (h *Holder) balanceAll(ctx context.Context, shares []*Share, now time.Time) []*Share {
	mates := h.zoneMembers()
	var own []*Share
	var work sync.WaitGroup
	for _, s := range shares {
		process := h.home(s.budget, mates, now)
		s.setHome(process != h.process, len(mates))
		if process == h.process {
			own = append(own, s)
			continue
		}
		work.Go(func() { h.balance(ctx, s, process, now) })
	}
	work.Wait()
	return own
}

// setHome notes who draws, and for how many holders.
func (s *Share) setHome(member bool, mates int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sync.viaHome, s.sync.zoneSize = member, mates
}

// balance brings a share that its home draws for near its target. One that was drawn
// here before goes back to the platform whole: its row would count among those
// that draw.
func (h *Holder) balance(ctx context.Context, s *Share, process string, now time.Time) {
	if s.retirable(now) {
		h.retire(s)
		return
	}
	var err error
	if s.needsRefill() {
		_, err = h.request(ctx, s, process, TransferRequest{Want: s.wanted()})
	} else if amount := s.returnable(now); amount > 0 {
		err = h.transferTo(ctx, s, process, amount)
	}
	if err != nil {
		h.markUnresponsive(process, now)
	}
}

// retirable reports whether the share was drawn here, and not of late.
func (s *Share) retirable(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sync.written && !s.closing && now.Sub(s.sync.readStartedAt) > retireDelay
}

// returnToHome gives what is left of a share that never had a row to its home.
func (h *Holder) returnToHome(ctx context.Context, s *Share) {
	process := h.home(s.budget, h.zoneMembers(), time.Now())
	amount := s.surplus()
	if process == h.process || amount == 0 {
		return
	}
	if err := h.transferTo(ctx, s, process, amount); err != nil {
		h.markUnresponsive(process, time.Now())
	}
}

// nothingToWrite reports whether the book knows nothing of the share and needs not to:
// it has no row, and all that it got is used or given on.
func (s *Share) nothingToWrite() bool {
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

// returnable returns what the share is to give back to its home now.
func (s *Share) returnable(now time.Time) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing || len(s.waiters) > 0 || now.Sub(s.sync.returnedAt) < returnInterval {
		return 0
	}
	amount := max(s.available()-s.target(), 0)
	if amount > 0 {
		s.sync.returnedAt = now
	}
	return amount
}

// transferTo gives amount to a process's share of the same budget. An empty plea
// brings the share's ID if the two have not dealt with each other before.
func (h *Holder) transferTo(ctx context.Context, s *Share, process string, amount int64) error {
	to := s.peerShare(process)
	if to == "" {
		r, err := h.request(ctx, s, process, TransferRequest{})
		if err != nil || r.Transfer.From == "" {
			return err
		}
		to = r.Transfer.From
	}
	if g := s.transfer(to, amount, 0); g.Total > 0 {
		return h.deliver(ctx, s, g)
	}
	return nil
}
