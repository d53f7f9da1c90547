package escrow

import (
	"context"
	"time"
)

// retryInterval is how long a reservation waits in the share's queue before it
// tries the ledger and the peers again.
const retryInterval = 50 * time.Millisecond

// ReserveRequest is the input of Holder.Reserve: the amount to reserve, and how
// and how long the reservation may wait for it.
type ReserveRequest struct {
	Amount   int64         // upper bound of the cost, in micro-units
	Priority int           // a reservation with a higher value waits in front of those with lower ones
	Wait     time.Duration // how long it may wait for open reservations to settle

	forPeer  bool // the reservation serves a peer's transfer request; mayDelegate limits where it may be delegated
	sameZone bool // the peer served (see forPeer) is in this holder's zone
}

// Reserve reserves req.Amount on this process's share of a budget. If the share
// has too little, Reserve draws from the ledger or requests from the home of
// the budget. Next it borrows from peers. Then it waits, up to req.Wait, as
// long as open reservations could still free enough. p is the policy of the
// share, unless Configure has set one for the budget.
//
// Reserve fails with ErrExhausted, ErrUnreachable, ErrNotFound or ErrAmount;
// then nothing is reserved.
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
// It repeats tryReserve until that succeeds or asks for no retry.
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

// tryReserve tries all sources once and then waits in the share's queue for at
// most retryInterval. On success it returns the reservation. On failure, retry
// reports whether another attempt may succeed, and err is the reason.
func (h *Holder) tryReserve(ctx context.Context, s *Share, req ReserveRequest, deadline time.Time) (hold Hold, retry bool, err error) {
	hold, mayFree, err := h.trySources(ctx, s, req, deadline)
	switch {
	case err == nil:
		return hold, false, nil
	case isAny(err, ErrSealed):
		return Hold{}, true, err
	case isAny(err, ErrNotFound), ctx.Err() != nil:
		return Hold{}, false, err
	case s.storeHas(req.Amount) && s.failedLately(req.Amount, time.Now()) == nil:
		// Other reservations of this process took the amount, and the ledger has more free.
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

// trySources requests or draws the amount that the share lacks and then makes
// the reservation, unless that has just failed for as much or less. If the
// reservation fails, mayFree reports whether open reservations, here or at peers,
// could free enough.
func (h *Holder) trySources(ctx context.Context, s *Share, req ReserveRequest, deadline time.Time) (hold Hold, mayFree bool, err error) {
	if err := s.failedLately(req.Amount, time.Now()); err != nil {
		return Hold{}, isAny(err, ErrUnreachable) && s.mayFree(req.Amount), err
	}
	hold, mayFree, err = h.tryEachSource(ctx, s, req, deadline)
	if isAny(err, ErrUnreachable) && !mayFree && ctx.Err() == nil {
		s.noteUnreachable(req.Amount, time.Now())
	}
	return hold, mayFree, err
}

// tryEachSource makes an attempt at each source, in this order: the home of the
// budget, the ledger, the collector and other peers. Its results are those of
// trySources.
func (h *Holder) tryEachSource(ctx context.Context, s *Share, req ReserveRequest, deadline time.Time) (hold Hold, mayFree bool, err error) {
	now := time.Now()
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

// drawFromStore refills the share from the ledger for a reservation of amount.
// It makes no call if a recent reading showed nothing free, or if the last call
// to the store failed: then only Run calls the store. The refill may take up to
// maxWait, but is given at least half of requestTimeout.
//
// drawFromStore never returns nil. Its error applies to a reservation that still
// finds too little in the share: ErrExhausted, also after a refill that
// succeeded, or ErrUnreachable. ErrNotFound and ErrSealed mean that the refill
// itself failed.
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

// missing returns the difference between amount and the idle amount of the
// share, 0 if the share has amount idle.
func (s *Share) missing(amount int64) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(amount-s.idle(), 0)
}

// addDemand adds amount to the total of the reservations that wait for the
// share to get more (syncState.demand). A negative amount is subtracted, when a
// reservation no longer waits.
func (s *Share) addDemand(amount int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sync.demand += amount
}

// needed returns the amount that the share lacks for all reservations that wait
// for it to get more, or for amount alone if that is larger than their total.
func (s *Share) needed(amount int64) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(min(max(s.sync.demand, amount), MaxPaid)-s.idle(), 0)
}

// storeHas reports whether a recent reading of the ledger showed at least
// amount free and the share's limit allows reserving it. It is false for a
// share that takes no more reservations, since that can't use the amount. It is
// also false for a share whose home is another process, since its holder does
// not call the store.
func (s *Share) storeHas(amount int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &s.sync
	if s.closing || s.violation != nil || c.viaHome {
		return false
	}
	return c.free >= amount && !c.failedAt.After(c.readAt) && time.Since(c.readAt) < emptyTTL && s.limit-s.outflow() >= amount
}

// raiseFor raises the share's marks at its witnesses so that amount can be
// reserved. It waits while another request raises them, and then does nothing
// if that sufficed.
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

// blockedByMark reports whether the share has amount idle but can't reserve it,
// because the outflow would exceed the limit that the acknowledged mark sets.
func (s *Share) blockedByMark(amount int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.idle() >= amount && s.limit-s.outflow() < amount
}

// lenders returns the IDs of the processes that may hold a part of the share's
// budget, the likeliest first. These are the live peers, the nearest first. In
// a zone whose budgets have homes, they are the processes with a row in the
// ledger when it was last read, the one with the largest idle amount first.
func (h *Holder) lenders(s *Share) []string {
	if h.zoneMembers() == nil {
		return h.peers.Live()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sync.holders
}

// borrow asks peers in turn for a transfer to the share s, until s has amount
// idle or maxPeersAsked peers were asked. It returns the total that these peers
// may still provide: their available amounts and their open reservations.
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

// wanted returns the difference between the target and the idle amount of the
// share, 0 if the share has its target idle.
func (s *Share) wanted() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.target()-s.idle(), 0)
}

// request sends a transfer request for the share s to a process, and credits
// the transfer in the reply to s. It fills in the budget and the share ID in
// req.
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
