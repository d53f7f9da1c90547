package escrow

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Holder keeps the shares of one process.
type Holder struct {
	process  string
	platform Platform
	peers    Peers
	fault    func(error)

	mu     sync.RWMutex
	shares map[string]*Share // by budget
	policy map[string]Policy // by budget, over what Share is told
	old    []*Share          // sealed, waiting for open reservations to settle
	opened int
	closed bool

	witness Witness
	shunned shunned
	kicks   chan *Share

	// PassedOver is told of a home that gave no answer, and Denied of a plea that this
	// process, a home, could not serve. Nil tells nobody. Set them before Run.
	PassedOver func(process string)
	Denied     func(p Plea, why error, f Figures)

	// Pace returns the least time between two rounds of refills ahead of need, all
	// shares at once, for a platform that writes them in one call. Nil refills
	// each share as soon as it is low. Set it before Run.
	Pace  func() time.Duration
	paced time.Time // when the last round began

	repeated time.Time // when gifts were last repeated
}

// NewHolder returns a holder for a process whose ID, "name/incarnation", no
// other process ever has. Broken rules are reported to fault.
func NewHolder(process string, platform Platform, peers Peers, fault func(error)) *Holder {
	return &Holder{
		process:  process,
		platform: platform,
		peers:    peers,
		fault:    fault,
		shares:   map[string]*Share{},
		kicks:    make(chan *Share, 1024),
	}
}

// Process returns the process ID.
func (h *Holder) Process() string { return h.process }

// Witness returns the marks that this process keeps for its peers.
func (h *Holder) Witness() *Witness { return &h.witness }

// ProcessOf returns the process ID in a share ID.
func ProcessOf(share string) string {
	if i := strings.LastIndexByte(share, '/'); i > 0 {
		return share[:i]
	}
	return share
}

// instanceOf returns the instance name in a process ID, the process ID itself if
// it has none.
func instanceOf(process string) string {
	if i := strings.LastIndexByte(process, '/'); i > 0 {
		return process[:i]
	}
	return process
}

// Share returns the share of a budget, made if need be. It draws nothing yet.
func (h *Holder) Share(budget string, p Policy) *Share {
	h.mu.RLock()
	s := h.shares[budget]
	h.mu.RUnlock()
	if s != nil {
		return s
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if s := h.shares[budget]; s != nil {
		return s
	}
	if q, ok := h.policy[budget]; ok {
		p = q
	}
	h.opened++
	s = NewShare(budget, fmt.Sprintf("%s/%d", h.process, h.opened), h.fault)
	s.sync.policy = p
	s.nudge = h.kick
	s.closing = h.closed
	h.shares[budget] = s
	return s
}

// Configure sets how budgets are treated from now on, whatever Share and Reserve
// are told. Shares that are held take it over at once, but a new Alone holds for
// shares that are drawn later.
func (h *Holder) Configure(policies map[string]Policy) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.policy = policies
	for budget, s := range h.shares {
		if p, ok := policies[budget]; ok {
			s.treat(p)
		}
	}
}

// find returns the share with the given ID, nil if there is none.
func (h *Holder) find(budget, id string) *Share {
	h.mu.RLock()
	defer h.mu.RUnlock()
	if s := h.shares[budget]; s != nil && s.id == id {
		return s
	}
	for _, s := range h.old {
		if s.id == id {
			return s
		}
	}
	return nil
}

// Shares returns the shares held, sorted by budget.
func (h *Holder) Shares() []*Share {
	h.mu.RLock()
	defer h.mu.RUnlock()
	all := make([]*Share, 0, len(h.shares)+len(h.old))
	for _, b := range slices.Sorted(maps.Keys(h.shares)) {
		all = append(all, h.shares[b])
	}
	return append(all, h.old...)
}

// Run refills shares ahead of need, raises marks and repeats gifts until ctx
// ends.
func (h *Holder) Run(ctx context.Context) {
	t := time.NewTicker(tickTime)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-h.kicks:
			h.answer(ctx, s, time.Now())
		case now := <-t.C:
			h.Tick(ctx, now)
		}
	}
}

// answer refills a share that a request found low, from its home if it has one.
func (h *Holder) answer(ctx context.Context, s *Share, now time.Time) {
	if process := h.home(s.budget, h.mates(), now); process != h.process {
		h.tidy(ctx, s, process, now)
	} else if h.Pace == nil {
		h.tend(ctx, s, now, false)
	}
}

// Tick does once what Run does again and again.
func (h *Holder) Tick(ctx context.Context, now time.Time) {
	shares := h.Shares()
	for _, s := range shares {
		s.mu.Lock()
		s.flow.tick(now)
		s.mu.Unlock()
	}
	own := h.tidyAll(ctx, shares, now)
	if h.Pace != nil {
		h.round(ctx, own, now)
	} else {
		away := false
		for _, s := range own {
			// One call that fails is enough: the others would fail as slowly.
			away = h.tend(ctx, s, now, away) || away
		}
	}
	h.raise(ctx, shares)
	h.repeat(ctx, shares, now)
	h.dropSettled(ctx)
}

// round refills all shares that are low at the same time, with those that soon
// will be, so that one call to the platform serves them all.
func (h *Holder) round(ctx context.Context, shares []*Share, now time.Time) {
	if now.Sub(h.paced) < h.Pace() || !slices.ContainsFunc(shares, func(s *Share) bool { return s.low() && !s.dry(now) }) {
		return
	}
	h.paced = now
	var work sync.WaitGroup
	for _, s := range shares {
		if !s.dry(now) && s.short() {
			work.Go(func() { h.tend(ctx, s, now, false) })
		}
	}
	work.Wait()
}

// tend refills a share ahead of need, unless the platform is away, or hands in
// what it has left of a scarce budget. It reports whether the platform failed.
func (h *Holder) tend(ctx context.Context, s *Share, now time.Time, away bool) bool {
	if s.scarce(now) && h.handIn(ctx, s) {
		return false
	}
	if away || s.dry(now) || !s.low() && !(h.Pace != nil && s.short()) && !h.unguarded(s) && !s.due(now) {
		return false
	}
	err := h.refill(ctx, s, 0, now)
	return err != nil && !is(err, ErrMissing, ErrSealed, ErrConflict)
}

// kick asks Run for a refill, if it is not busy.
func (h *Holder) kick(s *Share) {
	select {
	case h.kicks <- s:
	default:
	}
}

// repeat sends the gifts that are not acknowledged, to all receivers at once. Those
// that were silent get theirs when they are heard again.
func (h *Holder) repeat(ctx context.Context, shares []*Share, now time.Time) {
	least := repeatTime
	if h.mates() != nil {
		least = repeatLarge
	}
	if h.peers.Give == nil || now.Sub(h.repeated) < least {
		return
	}
	h.repeated = now
	type debt struct {
		share *Share
		gift  Gift
	}
	debts := map[string][]debt{}
	for _, s := range shares {
		for _, g := range s.unacked() {
			p := ProcessOf(g.To)
			debts[p] = append(debts[p], debt{s, g})
		}
	}
	var work sync.WaitGroup
	for p, owed := range debts {
		if h.silent(p) {
			continue
		}
		work.Go(func() {
			for _, d := range owed {
				if err := h.deliver(ctx, d.share, d.gift); err != nil {
					return // the others would fail as slowly
				}
			}
		})
	}
	work.Wait()
}

// deliver sends a gift. One that fails stays set aside, and is repeated.
func (h *Holder) deliver(ctx context.Context, s *Share, g Gift) error {
	call, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	r, err := h.peers.Give(call, ProcessOf(g.To), g)
	if err == nil {
		s.settleGift(g.To, r)
	}
	return err
}

// TakeGift credits a gift from a peer.
func (h *Holder) TakeGift(g Gift) (Receipt, error) {
	s := h.find(g.Budget, g.To)
	if s == nil {
		return Receipt{}, errors.Wrapf(ErrUnknownShare, "gift to %s", g.To)
	}
	return s.credit(g), nil
}

// TakePlea answers a peer that asks for a part of a share. With a Wait, the
// amount is gathered as for a request of this holder's own.
func (h *Holder) TakePlea(ctx context.Context, p Plea) Reply {
	h.mu.RLock()
	s := h.shares[p.Budget]
	h.mu.RUnlock()
	if s == nil && p.Wait > 0 {
		s = h.openFor(p.Budget)
	}
	if s == nil {
		return Reply{Why: ErrCutOff}
	}
	if p.Wait > 0 {
		return h.gather(ctx, s, p)
	}
	g := s.give(p.From, p.Need, p.Want)
	s.mu.Lock()
	defer s.mu.Unlock()
	return Reply{Gift: g, Room: s.room(), Opened: s.reserved}
}

// dropSettled closes the sealed shares whose reservations have all settled.
func (h *Holder) dropSettled(ctx context.Context) {
	h.mu.RLock()
	old := slices.Clone(h.old)
	h.mu.RUnlock()
	var work sync.WaitGroup
	for _, s := range old {
		if s.Figures().reserved == 0 {
			work.Go(func() { h.closeShare(ctx, s) })
		}
	}
	work.Wait()
}

// Close returns what is left of every share, tries again until ctx ends, and
// reports the budgets whose share could not be returned whole. The caller first
// lets open reservations settle and stops Run. Where some are still open, only
// what is idle is returned, and what they hold counts as spent.
func (h *Holder) Close(ctx context.Context) error {
	h.mu.Lock()
	h.closed = true
	h.mu.Unlock()
	var mu sync.Mutex
	var left []string
	var work sync.WaitGroup
	for _, s := range h.Shares() {
		work.Go(func() {
			if h.endShare(ctx, s) {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			left = append(left, s.budget)
		})
	}
	work.Wait()
	slices.Sort(left)
	if len(left) > 0 {
		return errors.Newf("escrow: shares left behind: %s", strings.Join(left, ", "))
	}
	return nil
}

// endShare returns a share, again until ctx ends, and reports whether it is returned
// whole.
func (h *Holder) endShare(ctx context.Context, s *Share) bool {
	if s.Figures().reserved > 0 {
		h.leaveShare(ctx, s)
		return false
	}
	for !h.closeShare(ctx, s) {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(tickTime):
		}
	}
	return true
}

// closeShare ends a share and reports whether its row is closed.
func (h *Holder) closeShare(ctx context.Context, s *Share) bool {
	h.collect(ctx, s)
	h.leaveToHome(ctx, s)
	if err := s.sync.enter(ctx); err != nil {
		return false
	}
	defer s.sync.leave()
	s.mu.Lock()
	s.closing = true
	busy := s.reserved > 0
	unused := s.granted == 0 && len(s.gotFrom) == 0 && s.sync.seq == 0
	s.mu.Unlock()
	unused = unused || s.silentOnBook()
	if busy {
		return false
	}
	if !unused {
		if err := h.update(ctx, s, 0, closeRow); err != nil {
			return false
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.shares[s.budget] == s {
		delete(h.shares, s.budget)
	}
	h.old = slices.DeleteFunc(h.old, func(o *Share) bool { return o == s })
	return true
}

// leaveShare returns what is idle of a share with open reservations.
func (h *Holder) leaveShare(ctx context.Context, s *Share) {
	if err := s.sync.enter(ctx); err != nil {
		return
	}
	defer s.sync.leave()
	s.mu.Lock()
	s.closing = true
	s.mu.Unlock()
	if err := h.update(ctx, s, 0, leaveRow); err != nil && h.fault != nil && is(err, ErrBroken) {
		h.fault(err)
	}
}

// collect asks the peers that may have given to s for what may be under way. In a
// large fleet that is those that are known to have.
func (h *Holder) collect(ctx context.Context, s *Share) {
	if h.peers.Ask == nil || h.peers.Near == nil {
		return
	}
	large := h.mates() != nil
	for _, p := range h.peers.Near() {
		if large && !s.gotFromAny(p) {
			continue
		}
		if _, err := h.ask(ctx, s, p, Plea{}); err != nil {
			continue // what it had under way stays with its sender's row
		}
	}
}
