package escrow

import (
	"context"
	"time"
)

// retryTime is how often a waiting reservation asks again for more.
const retryTime = 50 * time.Millisecond

// Need is a reservation that a request asks for.
type Need struct {
	Amount int64         // micro-units, an upper bound of the cost
	Rank   int           // priority; higher waits in front
	Wait   time.Duration // how long it may wait for open reservations to settle

	gathered bool // asked for by a peer: not to be handed on again
	mate     bool // and that peer is of the own zone
}

// Reserve sets the amount of n aside. It draws on the platform, then on peers,
// then waits as long as open reservations could still free enough. It fails
// with ErrExhausted, ErrCutOff, ErrMissing or ErrAmount; then nothing is held.
func (h *Holder) Reserve(ctx context.Context, budget string, p Policy, n Need) (Hold, error) {
	if n.Amount < 0 || n.Amount > MaxPaid {
		return Hold{}, ErrAmount
	}
	s := h.Share(budget, p)
	if hold, ok := s.Reserve(n.Amount); ok {
		if s.low() && !s.dry(time.Now()) {
			h.kick(s)
		}
		return hold, nil
	}
	return h.insist(ctx, budget, p, n)
}

// insist tries the slower ways, again until the wait is over or is in vain.
func (h *Holder) insist(ctx context.Context, budget string, p Policy, n Need) (Hold, error) {
	deadline := time.Now().Add(n.Wait)
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(askTime))
	defer cancel()
	for {
		s := h.Share(budget, p)
		s.ask(n.Amount)
		hold, again, err := h.turn(ctx, s, n, deadline)
		s.ask(-n.Amount)
		if err == nil || !again {
			return hold, err
		}
	}
}

// turn tries all ways once and then waits a little. Again says that another turn
// may do.
func (h *Holder) turn(ctx context.Context, s *Share, n Need, deadline time.Time) (hold Hold, again bool, err error) {
	hold, open, err := h.fetch(ctx, s, n, deadline)
	switch {
	case err == nil:
		return hold, false, nil
	case is(err, ErrSealed):
		return Hold{}, true, err
	case is(err, ErrMissing), ctx.Err() != nil:
		return Hold{}, false, err
	case s.plenty(n.Amount) && !s.exhausted(n.Amount, time.Now()):
		// Others here were faster, and the platform has more.
		return Hold{}, true, err
	}
	left := time.Until(deadline)
	if left <= 0 || !open {
		return Hold{}, false, err
	}
	wait, cancel := context.WithTimeout(ctx, min(left, retryTime))
	defer cancel()
	if hold, ok := s.wait(wait, n.Amount, n.Rank); ok {
		return hold, false, nil
	}
	return Hold{}, true, err
}

// fetch brings more into the share and reserves. If that does not do, open
// says whether reservations now open, here or at peers, could.
func (h *Holder) fetch(ctx context.Context, s *Share, n Need, deadline time.Time) (hold Hold, open bool, err error) {
	now := time.Now()
	if s.exhausted(n.Amount, now) {
		return Hold{}, false, ErrExhausted
	}
	hold, open, err = h.fromHome(ctx, s, n, deadline)
	if !is(err, errOwn) {
		return hold, open, err
	}
	refused := h.draw(ctx, s, n.Amount, now, time.Until(deadline)/2)
	if is(refused, ErrMissing, ErrSealed) {
		return Hold{}, false, refused
	}
	if hold, ok := s.Reserve(n.Amount); ok {
		return hold, false, nil
	}
	if s.unmarked(n.Amount) {
		h.clear(ctx, s, n.Amount)
		if hold, ok := s.Reserve(n.Amount); ok {
			return hold, false, nil
		}
	}
	if p := h.gatherer(s.budget); h.mayDelegate(n, p) {
		hold, open, err := h.delegate(ctx, s, p, n, deadline, turnTime)
		if !is(err, errUnreached, ErrCutOff) {
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

// draw refills the share from the platform, unless that is known to be in vain.
// While the platform is away, only Run tries it. It returns why there may be too
// little: ErrExhausted or ErrCutOff; or ErrMissing or ErrSealed.
func (h *Holder) draw(ctx context.Context, s *Share, amount int64, now time.Time, patience time.Duration) error {
	if s.away() {
		return ErrCutOff
	}
	if s.dry(now) {
		return ErrExhausted
	}
	ctx, cancel := context.WithTimeout(ctx, max(patience, askTime/2))
	defer cancel()
	err := h.refill(ctx, s, s.needed(amount), now)
	switch {
	case err == nil:
		return ErrExhausted
	case is(err, ErrMissing, ErrSealed):
		return err
	default:
		return ErrCutOff
	}
}

// lack returns what the share is short of for amount.
func (s *Share) lack(amount int64) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(amount-s.idle(), 0)
}

// ask counts an amount that a request in want asks for, or no longer does.
func (s *Share) ask(amount int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sync.asked += amount
}

// needed returns what the share is short of for all requests in want, at least
// for amount.
func (s *Share) needed(amount int64) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(min(max(s.sync.asked, amount), MaxPaid)-s.idle(), 0)
}

// plenty reports whether the platform had enough for amount when last asked, not
// long ago. To a share that takes no more reservations it is of no use, and one
// that its home draws for does not ask the platform.
func (s *Share) plenty(amount int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &s.sync
	if s.closing || s.broken != nil || c.member {
		return false
	}
	return c.free >= amount && !c.failAt.After(c.readAt) && time.Since(c.readAt) < dryTime && s.limit-s.outflow() >= amount
}

// clear raises the share's marks for amount, unless another request has done so
// meanwhile.
func (h *Holder) clear(ctx context.Context, s *Share, amount int64) {
	select {
	case s.sync.marking <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-s.sync.marking }()
	if s.unmarked(amount) {
		h.raise(ctx, []*Share{s})
	}
}

// unmarked reports whether only its witnesses' marks keep the share from amount.
func (s *Share) unmarked(amount int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.idle() >= amount && s.limit-s.outflow() < amount
}

// holdersOf returns the peers that may hold a part of a budget, the likeliest first:
// the nearest, or in a large fleet those that the book showed to have most.
func (h *Holder) holdersOf(s *Share) []string {
	if h.mates() == nil {
		return h.peers.Near()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sync.holders
}

// borrow asks peers in turn until the share has room for amount. It returns
// what they have left that may yet come: room and open reservations.
func (h *Holder) borrow(ctx context.Context, s *Share, amount int64) int64 {
	if h.peers.Near == nil || h.peers.Ask == nil {
		return 0
	}
	var left int64
	for i, p := range h.holdersOf(s) {
		lack := s.lack(amount)
		if lack == 0 || i == askLimit || ctx.Err() != nil {
			break
		}
		r, err := h.ask(ctx, s, p, Plea{Need: lack, Want: s.wanted()})
		if err == nil {
			left += r.Room + r.Opened
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

// ask sends one plea for the share and credits what comes of it.
func (h *Holder) ask(ctx context.Context, s *Share, process string, p Plea) (Reply, error) {
	call, cancel := context.WithTimeout(ctx, p.Wait+askTime)
	defer cancel()
	p.Budget, p.From = s.budget, s.id
	r, err := h.peers.Ask(call, process, p)
	if err != nil {
		return Reply{}, err
	}
	if r.Gift.Total > 0 {
		s.credit(r.Gift)
	}
	return r, nil
}
