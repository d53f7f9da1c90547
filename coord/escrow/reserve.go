package escrow

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// retryTime is how often a waiting reservation asks again for more.
const retryTime = 50 * time.Millisecond

// Need is a reservation that a request asks for.
type Need struct {
	Amount int64         // micro-units, an upper bound of the cost
	Rank   int           // priority; higher waits in front
	Wait   time.Duration // how long it may wait for open reservations to settle
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
		hold, open, err := h.fetch(ctx, s, n.Amount)
		if err == nil {
			return hold, nil
		}
		if errors.Is(err, ErrSealed) {
			continue
		}
		left := time.Until(deadline)
		if errors.Is(err, ErrMissing) || left <= 0 || !open || ctx.Err() != nil {
			return Hold{}, err
		}
		turn, cancel := context.WithTimeout(ctx, min(left, retryTime))
		hold, ok := s.wait(turn, n.Amount, n.Rank)
		cancel()
		if ok {
			return hold, nil
		}
	}
}

// fetch brings more into the share and reserves. If that does not do, open
// says whether reservations now open, here or at peers, could.
func (h *Holder) fetch(ctx context.Context, s *Share, amount int64) (hold Hold, open bool, err error) {
	now := time.Now()
	refused := error(ErrExhausted)
	if s.dry(now) {
		refused = s.lastRefusal()
	} else if err := h.refill(ctx, s, s.lack(amount), now); err != nil {
		if errors.Is(err, ErrMissing) || errors.Is(err, ErrSealed) {
			return Hold{}, false, err
		}
		refused = ErrCutOff
	}
	if hold, ok := s.Reserve(amount); ok {
		return hold, false, nil
	}
	h.raise(ctx, []*Share{s})
	opened := h.borrow(ctx, s, amount)
	if hold, ok := s.Reserve(amount); ok {
		return hold, false, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	could := s.idle() + s.reserved + opened
	return Hold{}, could >= amount, refused
}

// lastRefusal says why the platform was of no help when last called.
func (s *Share) lastRefusal() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sync.failAt.After(s.sync.readAt) {
		return ErrCutOff
	}
	return ErrExhausted
}

// lack returns what the share is short of for amount.
func (s *Share) lack(amount int64) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(amount-s.idle(), 0)
}

// borrow asks peers in turn until the share has room for amount. It returns
// what they have left that may yet come: room and open reservations.
func (h *Holder) borrow(ctx context.Context, s *Share, amount int64) int64 {
	if h.peers.Near == nil || h.peers.Ask == nil {
		return 0
	}
	var left int64
	for i, p := range h.peers.Near() {
		lack := s.lack(amount)
		if lack == 0 || i == askLimit || ctx.Err() != nil {
			break
		}
		r := h.ask(ctx, s, p, lack, s.wanted())
		left += r.Room + r.Opened
	}
	return left
}

// wanted returns what the share would like to hold beyond what it has.
func (s *Share) wanted() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.target()-s.idle(), 0)
}

// ask sends one plea and credits what comes of it.
func (h *Holder) ask(ctx context.Context, s *Share, process string, need, want int64) Reply {
	call, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	r, err := h.peers.Ask(call, process, Plea{Budget: s.budget, From: s.id, Need: need, Want: want})
	if err != nil {
		return Reply{}
	}
	if r.Gift.Total > 0 {
		s.credit(r.Gift)
	}
	return r
}
