package escrow

import (
	"context"
	"time"
)

// retryInterval is how long a reservation waits for the share to have enough
// before it tries the other sources again.
const retryInterval = 50 * time.Millisecond

// ReserveRequest describes a reservation that Holder.Reserve is to make.
type ReserveRequest struct {
	Amount   int64         // micro-units, an upper bound of the request's cost
	Priority int           // a higher priority waits in front of lower ones
	Wait     time.Duration // how long it may wait for open reservations to settle

	forPeer  bool // serves a peer's transfer request; mayDelegate limits where it may be delegated
	sameZone bool // the peer is in this holder's zone
}

// Reserve reserves req.Amount. If the share has too little, it draws from the
// ledger or requests from the home of the budget, then borrows from peers, then
// waits as long as open reservations could still free enough. p is the policy
// of the share, unless Configure has set one for the budget. Reserve fails with
// ErrExhausted, ErrUnreachable, ErrNotFound or ErrAmount; then nothing is
// reserved.
func (h *Holder) Reserve(ctx context.Context, budget string, p Policy, req ReserveRequest) (Hold, error) {
	if req.Amount < 0 || req.Amount > MaxPaid {
		return Hold{}, ErrAmount
	}
	s := h.Share(budget, p)
	if hold, ok := s.Reserve(req.Amount); ok {
		if s.needsRefill() && !s.skipStore(time.Now()) {
			h.queueRefill(s)
		}
		return hold, nil
	}
	return h.reserveSlow(ctx, budget, p, req)
}

// reserveSlow makes a reservation for which the share has too little available.
// It tries until the time to wait is over or no more can come.
func (h *Holder) reserveSlow(ctx context.Context, budget string, p Policy, req ReserveRequest) (Hold, error) {
	deadline := time.Now().Add(req.Wait)
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(requestTimeout))
	defer cancel()
	for {
		s := h.Share(budget, p)
		s.addDemand(req.Amount)
		hold, retry, err := h.tryReserve(ctx, s, req, deadline)
		s.addDemand(-req.Amount)
		if err == nil || !retry {
			return hold, err
		}
	}
}

// tryReserve tries all sources once and then waits for at most retryInterval.
// If it fails, retry reports whether another attempt may succeed.
func (h *Holder) tryReserve(ctx context.Context, s *Share, req ReserveRequest, deadline time.Time) (hold Hold, retry bool, err error) {
	hold, mayFree, err := h.trySources(ctx, s, req, deadline)
	switch {
	case err == nil:
		return hold, false, nil
	case isAny(err, ErrSealed):
		return Hold{}, true, err
	case isAny(err, ErrNotFound), ctx.Err() != nil:
		return Hold{}, false, err
	case s.storeHas(req.Amount) && !s.deniedLately(req.Amount, time.Now()):
		// Other reservations here were faster, and the store has more.
		return Hold{}, true, err
	}
	left := time.Until(deadline)
	if left <= 0 || !mayFree {
		return Hold{}, false, err
	}
	waitCtx, cancel := context.WithTimeout(ctx, min(left, retryInterval))
	defer cancel()
	if hold, ok := s.wait(waitCtx, req.Amount, req.Priority); ok {
		return hold, false, nil
	}
	return Hold{}, true, err
}

// trySources gets what the share lacks and reserves. The sources are, in this
// order, the home of the budget, the ledger, the collector and other peers. If
// the reservation fails, mayFree reports whether open reservations, here or at
// peers, could free enough.
func (h *Holder) trySources(ctx context.Context, s *Share, req ReserveRequest, deadline time.Time) (hold Hold, mayFree bool, err error) {
	now := time.Now()
	if s.deniedLately(req.Amount, now) {
		return Hold{}, false, ErrExhausted
	}
	hold, mayFree, err = h.reserveViaHome(ctx, s, req, deadline)
	if !isAny(err, errSelfHome) {
		return hold, mayFree, err
	}
	drawErr := h.drawFromStore(ctx, s, req.Amount, now, time.Until(deadline)/2)
	if isAny(drawErr, ErrNotFound, ErrSealed) {
		return Hold{}, false, drawErr
	}
	if hold, ok := s.Reserve(req.Amount); ok {
		return hold, false, nil
	}
	if s.blockedByMark(req.Amount) {
		h.raiseFor(ctx, s, req.Amount)
		if hold, ok := s.Reserve(req.Amount); ok {
			return hold, false, nil
		}
	}
	if p := h.collector(s.budget); h.mayDelegate(req, p) {
		hold, mayFree, err := h.delegate(ctx, s, p, req, deadline, collectTimeout)
		if !isAny(err, errNoAnswer, ErrUnreachable) {
			return hold, mayFree, err
		}
	}
	atPeers := h.borrow(ctx, s, req.Amount)
	if hold, ok := s.Reserve(req.Amount); ok {
		return hold, false, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	possible := s.idle() + s.reserved + atPeers
	return Hold{}, possible >= req.Amount, drawErr
}

// drawFromStore refills the share from the ledger, unless that is known to
// bring nothing. The refill may take up to maxWait, but is given at least half
// of requestTimeout. While calls to the store fail, only Run makes them.
//
// The result is the error for a reservation that still finds too little in the
// share: ErrExhausted, also after a refill that succeeded, or ErrUnreachable.
// ErrNotFound and ErrSealed mean that the refill itself failed.
func (h *Holder) drawFromStore(ctx context.Context, s *Share, amount int64, now time.Time, maxWait time.Duration) error {
	if s.storeFailed() {
		return ErrUnreachable
	}
	if s.skipStore(now) {
		return ErrExhausted
	}
	ctx, cancel := context.WithTimeout(ctx, max(maxWait, requestTimeout/2))
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

// missing returns by how much amount exceeds what the share has idle, 0 if it
// does not.
func (s *Share) missing(amount int64) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(amount-s.idle(), 0)
}

// addDemand adds amount to the total of the reservations that wait for the
// share to get more. A negative amount is subtracted.
func (s *Share) addDemand(amount int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sync.demand += amount
}

// needed returns what the share lacks for all reservations that wait for it to
// get more, at least for amount.
func (s *Share) needed(amount int64) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(min(max(s.sync.demand, amount), MaxPaid)-s.idle(), 0)
}

// storeHas reports whether a recent reading of the ledger showed enough free
// for amount and the share's limit allows reserving it. It is false for a share
// that takes no more reservations, since it can't use the amount. It is also
// false for a share whose home is another process, since its holder does not
// call the store.
func (s *Share) storeHas(amount int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &s.sync
	if s.closing || s.violation != nil || c.viaHome {
		return false
	}
	return c.free >= amount && !c.failedAt.After(c.readAt) && time.Since(c.readAt) < emptyTTL && s.limit-s.outflow() >= amount
}

// raiseFor raises the share's marks so that amount can be reserved, unless
// another request has done so meanwhile.
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

// blockedByMark reports whether the share has amount idle and only its
// acknowledged mark prevents the reservation.
func (s *Share) blockedByMark(amount int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.idle() >= amount && s.limit-s.outflow() < amount
}

// lenders returns the processes that may hold a part of the share's budget, the
// likeliest first. These are the nearest live peers or, in a zone whose budgets
// have homes, the processes that held most when the ledger was last read.
func (h *Holder) lenders(s *Share) []string {
	if h.zoneMembers() == nil {
		return h.peers.Live()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sync.holders
}

// borrow asks peers in turn until the share has amount available. It returns
// what these peers may still provide: what they have available and their open
// reservations.
func (h *Holder) borrow(ctx context.Context, s *Share, amount int64) int64 {
	if h.peers.Live == nil || h.peers.Request == nil {
		return 0
	}
	var possible int64
	for i, p := range h.lenders(s) {
		need := s.missing(amount)
		if need == 0 || i == maxPeersAsked || ctx.Err() != nil {
			break
		}
		reply, err := h.request(ctx, s, p, TransferRequest{Need: need, Want: s.wanted()})
		if err == nil {
			possible += reply.Available + reply.Reserved
		}
	}
	return possible
}

// wanted returns by how much the idle amount of the share is below its target,
// 0 if it is not.
func (s *Share) wanted() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.target()-s.idle(), 0)
}

// request sends a transfer request for the share s to a process and credits the
// transfer in the reply to s.
func (h *Holder) request(ctx context.Context, s *Share, process string, req TransferRequest) (TransferReply, error) {
	call, cancel := context.WithTimeout(ctx, req.Wait+requestTimeout)
	defer cancel()
	req.Budget, req.From = s.budget, s.id
	reply, err := h.peers.Request(call, process, req)
	if err != nil {
		return TransferReply{}, err
	}
	if reply.Transfer.Total > 0 {
		s.credit(reply.Transfer)
	}
	return reply, nil
}
