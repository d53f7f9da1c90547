package escrow

import (
	"context"
	"time"
)

// retryInterval is how often a waiting reservation asks again for more.
const retryInterval = 50 * time.Millisecond

// ReserveRequest is a reservation that a request asks for.
type ReserveRequest struct {
	Amount   int64         // micro-units, an upper bound of the cost
	Priority int           // priority; higher waits in front
	Wait     time.Duration // how long it may wait for open reservations to settle

	forPeer  bool // asked for by a peer: not to be handed on again
	sameZone bool // and that peer is of the own zone
}

// Reserve sets the amount of n aside. It draws on the platform, then on peers,
// then waits as long as open reservations could still free enough. It fails
// with ErrExhausted, ErrCutOff, ErrMissing or ErrAmount; then nothing is held.
func (h *Holder) Reserve(ctx context.Context, budget string, p Policy, n ReserveRequest) (Hold, error) {
	if n.Amount < 0 || n.Amount > MaxPaid {
		return Hold{}, ErrAmount
	}
	s := h.Share(budget, p)
	if hold, ok := s.Reserve(n.Amount); ok {
		if s.needsRefill() && !s.skipStore(time.Now()) {
			h.queueRefill(s)
		}
		return hold, nil
	}
	return h.reserveSlow(ctx, budget, p, n)
}

// reserveSlow tries the slower ways, again until the wait is over or is in vain.
func (h *Holder) reserveSlow(ctx context.Context, budget string, p Policy, n ReserveRequest) (Hold, error) {
	deadline := time.Now().Add(n.Wait)
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(requestTimeout))
	defer cancel()
	for {
		s := h.Share(budget, p)
		s.addDemand(n.Amount)
		hold, again, err := h.tryReserve(ctx, s, n, deadline)
		s.addDemand(-n.Amount)
		if err == nil || !again {
			return hold, err
		}
	}
}

// tryReserve tries all ways once and then waits a little. Again says that another turn
// may do.
func (h *Holder) tryReserve(ctx context.Context, s *Share, n ReserveRequest, deadline time.Time) (hold Hold, again bool, err error) {
	hold, open, err := h.acquire(ctx, s, n, deadline)
	switch {
	case err == nil:
		return hold, false, nil
	case isAny(err, ErrSealed):
		return Hold{}, true, err
	case isAny(err, ErrNotFound), ctx.Err() != nil:
		return Hold{}, false, err
	case s.storeHas(n.Amount) && !s.deniedLately(n.Amount, time.Now()):
		// Others here were faster, and the platform has more.
		return Hold{}, true, err
	}
	left := time.Until(deadline)
	if left <= 0 || !open {
		return Hold{}, false, err
	}
	wait, cancel := context.WithTimeout(ctx, min(left, retryInterval))
	defer cancel()
	if hold, ok := s.wait(wait, n.Amount, n.Priority); ok {
		return hold, false, nil
	}
	return Hold{}, true, err
}

// acquire brings more into the share and reserves. If that does not do, open
// says whether reservations now open, here or at peers, could.
func (h *Holder) acquire(ctx context.Context, s *Share, n ReserveRequest, deadline time.Time) (hold Hold, open bool, err error) {
	now := time.Now()
	if s.deniedLately(n.Amount, now) {
		return Hold{}, false, ErrExhausted
	}
	hold, open, err = h.reserveViaHome(ctx, s, n, deadline)
	if !isAny(err, errSelfHome) {
		return hold, open, err
	}
	refused := h.drawFromStore(ctx, s, n.Amount, now, time.Until(deadline)/2)
	if isAny(refused, ErrNotFound, ErrSealed) {
		return Hold{}, false, refused
	}
	if hold, ok := s.Reserve(n.Amount); ok {
		return hold, false, nil
	}
	if s.blockedByMark(n.Amount) {
		h.raiseFor(ctx, s, n.Amount)
		if hold, ok := s.Reserve(n.Amount); ok {
			return hold, false, nil
		}
	}
	if p := h.collector(s.budget); h.mayDelegate(n, p) {
		hold, open, err := h.delegate(ctx, s, p, n, deadline, collectTimeout)
		if !isAny(err, errNoAnswer, ErrUnreachable) {
			return hold, open, err
		}
	}
	opened := h.borrow(ctx, s, n.Amount)
	if hold, ok := s.Reserve(n.Amount); ok {
		return hold, false, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	could := s.idle() + s.reserved + opened
	return Hold{}, could >= n.Amount, refused
}

// drawFromStore refills the share from the platform, unless that is known to be in vain.
// While the platform is away, only Run tries it. It returns why there may be too
// little: ErrExhausted or ErrCutOff; or ErrMissing or ErrSealed.
func (h *Holder) drawFromStore(ctx context.Context, s *Share, amount int64, now time.Time, patience time.Duration) error {
	if s.storeFailed() {
		return ErrUnreachable
	}
	if s.skipStore(now) {
		return ErrExhausted
	}
	ctx, cancel := context.WithTimeout(ctx, max(patience, requestTimeout/2))
	defer cancel()
	err := h.refill(ctx, s, s.needed(amount), now)
	switch {
	case err == nil:
		return ErrExhausted
	case isAny(err, ErrNotFound, ErrSealed):
		return err
	default:
		return ErrUnreachable
	}
}

// shortfallFor returns what the share is short of for amount.
func (s *Share) shortfallFor(amount int64) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(amount-s.idle(), 0)
}

// addDemand counts an amount that a request in want asks for, or no longer does.
func (s *Share) addDemand(amount int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sync.demand += amount
}

// needed returns what the share is short of for all requests in want, at least
// for amount.
func (s *Share) needed(amount int64) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(min(max(s.sync.demand, amount), MaxPaid)-s.idle(), 0)
}

// storeHas reports whether the platform had enough for amount when last asked, not
// long ago. To a share that takes no more reservations it is of no use, and one
// that its home draws for does not ask the platform.
func (s *Share) storeHas(amount int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &s.sync
	if s.closing || s.violation != nil || c.viaHome {
		return false
	}
	return c.free >= amount && !c.failedAt.After(c.readAt) && time.Since(c.readAt) < emptyTTL && s.limit-s.outflow() >= amount
}

// raiseFor raises the share's marks for amount, unless another request has done so
// meanwhile.
func (h *Holder) raiseFor(ctx context.Context, s *Share, amount int64) {
	select {
	case s.sync.raising <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-s.sync.raising }()
	if s.blockedByMark(amount) {
		h.raiseMarks(ctx, []*Share{s})
	}
}

// blockedByMark reports whether only its witnesses' marks keep the share from amount.
func (s *Share) blockedByMark(amount int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.idle() >= amount && s.limit-s.outflow() < amount
}

// lenders returns the peers that may hold a part of a budget, the likeliest first:
// the nearest, or in a large fleet those that the book showed to have most.
func (h *Holder) lenders(s *Share) []string {
	if h.zoneMembers() == nil {
		return h.peers.Live()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sync.holders
}

// borrow asks peers in turn until the share has room for amount. It returns
// what they have left that may yet come: room and open reservations.
func (h *Holder) borrow(ctx context.Context, s *Share, amount int64) int64 {
	if h.peers.Live == nil || h.peers.Request == nil {
		return 0
	}
	var left int64
	for i, p := range h.lenders(s) {
		lack := s.shortfallFor(amount)
		if lack == 0 || i == maxPeersAsked || ctx.Err() != nil {
			break
		}
		r, err := h.request(ctx, s, p, TransferRequest{Need: lack, Want: s.wanted()})
		if err == nil {
			left += r.Available + r.Reserved
		}
	}
	return left
}

// wanted returns what the share would like to hold beyond what it has.
func (s *Share) wanted() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.target()-s.idle(), 0)
}

// request sends one plea for the share and credits what comes of it.
func (h *Holder) request(ctx context.Context, s *Share, process string, p TransferRequest) (TransferReply, error) {
	call, cancel := context.WithTimeout(ctx, p.Wait+requestTimeout)
	defer cancel()
	p.Budget, p.From = s.budget, s.id
	r, err := h.peers.Request(call, process, p)
	if err != nil {
		return TransferReply{}, err
	}
	if r.Transfer.Total > 0 {
		s.credit(r.Transfer)
	}
	return r, nil
}
