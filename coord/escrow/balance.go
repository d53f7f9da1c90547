package escrow

import (
	"context"
	"sync"
	"time"
)

// If the home of a budget is another process, the share sends transfer requests
// to that home, which supplies the amounts to be spent from the share. The
// share returns the amount above its target to the home.

const (
	// viaHomeHorizon is how long the target of a share whose home is another
	// process should last at the recent demand. It is short because the home is
	// near, and an amount spread over many holders can't pay for a large request.
	viaHomeHorizon = time.Second
	// returnInterval is the least time between two returns of a share's excess
	// over its target to the home.
	returnInterval = time.Second
	// retireDelay applies to a share for which this process drew from the ledger
	// before another process became the home of the budget. The share is kept for
	// retireDelay after its last reading of the ledger, and then retired.
	retireDelay = 5 * time.Second
)

// balanceAll brings the shares whose home is another process near their targets
// and returns the other shares, for which this process draws from the ledger.
func (h *Holder) balanceAll(ctx context.Context, shares []*Share, now time.Time) []*Share {
	members := h.zoneMembers()
	var own []*Share
	var wg sync.WaitGroup
	for _, s := range shares {
		process := h.home(s.budget, members, now)
		s.setHome(process != h.process, len(members))
		if process == h.process {
			own = append(own, s)
			continue
		}
		wg.Go(func() { h.balance(ctx, s, process, now) })
	}
	wg.Wait()
	return own
}

// setHome records whether the share gets its amounts from another process, the
// home of its budget. It also records the number of holders in the zone, 0 if
// each holder draws from the ledger.
func (s *Share) setHome(viaHome bool, zoneSize int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sync.viaHome, s.sync.zoneSize = viaHome, zoneSize
}

// balance brings a share near its target by a transfer from or to process, the
// home of its budget. A share for which this process drew from the ledger
// before is retired after retireDelay and so returned whole, since its row
// would count as that of one more holder that draws.
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

// retirable reports whether a share that is not closing has had a row in the
// ledger, but the ledger was not read for it within retireDelay.
func (s *Share) retirable(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sync.written && !s.closing && now.Sub(s.sync.readStartedAt) > retireDelay
}

// returnToHome transfers the available amount of a share to the home of its
// budget, if that is another process and no reservation waits in the share's
// queue.
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

// nothingToWrite reports whether the share has no row in the ledger and needs
// none: the whole amount that it received is used or transferred, and the
// transfers are acknowledged.
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

// returnable returns the amount above its target that the share is to return to
// its home now, and records now as the time of the return. It returns 0 within
// returnInterval after the last return, and while reservations wait.
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

// transferTo transfers amount from s to a process's share of the same budget,
// or less if s has less available. If the two shares have made no transfers
// before, it first sends a transfer request for nothing to learn the ID of that
// share.
func (h *Holder) transferTo(ctx context.Context, s *Share, process string, amount int64) error {
	to := s.peerShare(process)
	if to == "" {
		reply, err := h.request(ctx, s, process, TransferRequest{})
		if err != nil || reply.Transfer.From == "" {
			return err
		}
		to = reply.Transfer.From
	}
	if t := s.transfer(to, amount, 0); t.Total > 0 {
		return h.deliver(ctx, s, t)
	}
	return nil
}
