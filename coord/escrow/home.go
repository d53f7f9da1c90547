package escrow

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"jacinthladder.dev/coord/subset"
)

// Where many holders stand in one zone, a row of each would cost the platform a
// write for each, and small budgets would lie in crumbs that pay for no request.
// So one of them, the home of the budget, draws for the zone, and the others ask
// it: for whole amounts when a request is short, ahead of need where the demand is
// high. They give back what they don't need. Each budget has its own home, so the
// work is spread. A home that does not answer is passed over for a while; the next
// one draws for itself, and nothing worse comes of two.

const (
	// LeastMates is the number of holders in a zone from which one draws for all.
	LeastMates = 3
	// homeTime is how long a home is asked to wait at a time, for calls to the
	// platform that others' writes get in the way of.
	homeTime = 300 * time.Millisecond
	// shunTime is how long a home that gave no answer is passed over.
	shunTime = 2 * time.Second
	// memberTime is how long what a holder asks its home for ahead of need should
	// last at the demand of late. Its home is near, and what lies with many holders
	// pays for nothing.
	memberTime = time.Second
	// tidyTime is the least time between two gifts of what a holder does not need.
	tidyTime = time.Second
	// outliveTime is how long a share that was drawn here is kept after its last
	// draw once another holder is its home.
	outliveTime = 5 * time.Second
	// wordTime is how old a reading may be to tell others that nothing is left.
	wordTime = 2 * time.Second
)

// shunned are the processes that lately gave no answer. The zero value is ready.
type shunned struct {
	mu    sync.Mutex
	until map[string]time.Time
}

// add reports whether the process was not among them.
func (n *shunned) add(process string, now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.until == nil {
		n.until = map[string]time.Time{}
	}
	for p, t := range n.until {
		if now.After(t) {
			delete(n.until, p)
		}
	}
	_, known := n.until[process]
	n.until[process] = now.Add(shunTime)
	return !known
}

func (n *shunned) has(process string, now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return now.Before(n.until[process])
}

// mates returns the processes among which each budget has a home, none if each
// holder draws for itself.
func (h *Holder) mates() []string {
	if h.peers.Mates == nil || h.peers.Ask == nil {
		return nil
	}
	mates := h.peers.Mates()
	if len(mates) < LeastMates {
		return nil
	}
	return mates
}

// home returns the process that draws a budget for these mates, this one if there
// is no other but those not wanted.
func (h *Holder) home(budget string, mates []string, now time.Time, not ...string) string {
	best, top := h.process, uint64(0)
	for _, p := range mates {
		if slices.Contains(not, p) || p != h.process && h.shunned.has(p, now) {
			continue
		}
		if score := h.score(budget, p); score > top {
			best, top = p, score
		}
	}
	return best
}

// Home returns the process that draws a budget for this one, this one itself if it
// draws.
func (h *Holder) Home(budget string) string { return h.home(budget, h.mates(), time.Now()) }

// Draws reports whether this process draws a budget on the platform.
func (h *Holder) Draws(budget string) bool { return h.Home(budget) == h.process }

// passOver leaves a process that gave no answer alone for a while.
func (h *Holder) passOver(process string, now time.Time) {
	if h.shunned.add(process, now) && h.PassedOver != nil {
		h.PassedOver(process)
	}
}

// score ranks a process for a budget, the same for all budgets that are drawn
// together.
func (h *Holder) score(budget, process string) uint64 {
	if h.peers.Kin != nil {
		budget = h.peers.Kin(budget)
	}
	return subset.Score(budget, process)
}

// errOwn means that this holder draws for itself.
var errOwn = errors.New("escrow: no home but this one")

// fromHome gets what a reservation lacks from the home of its budget. Should that
// be cut off from the platform, the next one may not be; more are not asked, since
// an outage would have each holder try in vain, and all at once when it ends. It
// fails with errOwn where this holder has to go its own ways.
func (h *Holder) fromHome(ctx context.Context, s *Share, n Need, deadline time.Time) (hold Hold, open bool, err error) {
	mates := h.mates()
	now := time.Now()
	process := h.home(s.budget, mates, now)
	s.belong(process != h.process)
	if n.gathered {
		return Hold{}, false, errOwn
	}
	for process != h.process {
		hold, open, err = h.delegate(ctx, s, process, n, deadline, homeTime)
		switch {
		case is(err, errUnreached):
			h.passOver(process, now)
			process = h.home(s.budget, mates, now)
		case is(err, ErrCutOff):
			return h.fromNext(ctx, s, n, deadline, h.home(s.budget, mates, now, process))
		default:
			return hold, open, err
		}
		if ctx.Err() != nil {
			return Hold{}, false, ErrCutOff
		}
	}
	s.belong(false)
	return Hold{}, false, errOwn
}

// fromNext asks the home after one that is cut off from the platform.
func (h *Holder) fromNext(ctx context.Context, s *Share, n Need, deadline time.Time, process string) (Hold, bool, error) {
	if process == h.process {
		return Hold{}, false, errOwn
	}
	hold, open, err := h.delegate(ctx, s, process, n, deadline, homeTime)
	if is(err, errUnreached) {
		h.passOver(process, time.Now())
		err = ErrCutOff
	}
	return hold, open, err
}

// belong notes whether the share lives on what its home gives it.
func (s *Share) belong(member bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sync.member = member
}

// tidyAll lets the holder's members ask and give back ahead of need, and returns
// the shares that this process draws by itself.
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

// openFor opens the share of a budget that a peer asks this process, its home, for.
// It returns nil if this holder has not been told of the budget.
func (h *Holder) openFor(budget string) *Share {
	h.mu.RLock()
	policy, ok := h.policy[budget]
	h.mu.RUnlock()
	if !ok || h.mates() == nil {
		return nil
	}
	return h.Share(budget, policy)
}

// asker says who asks a peer to gather: this zone's, and others that may hold
// parts of their own, or one that already asked its home.
func (h *Holder) asker(plea Plea) Need {
	return Need{
		Amount: plea.Need, Rank: plea.Rank, Wait: plea.Wait,
		gathered: true, mate: slices.Contains(h.mates(), ProcessOf(plea.From)),
	}
}

// mayDelegate reports whether a request may be handed on to the gatherer of what
// is left, process. A request of this holder may, and one of a mate if the gatherer
// stands in another zone, so that nothing goes round in a circle.
func (h *Holder) mayDelegate(n Need, process string) bool {
	if process == h.process {
		return false
	}
	return !n.gathered || n.mate && !slices.Contains(h.mates(), process)
}
