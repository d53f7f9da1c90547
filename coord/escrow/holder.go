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
	process     string
	store       Store
	peers       Peers
	onViolation func(error)

	mu       sync.RWMutex
	shares   map[string]*Share // by budget
	policies map[string]Policy // by budget, over what Share is told
	retired  []*Share          // sealed, waiting for open reservations to settle
	created  int
	closed   bool

	witness      Witness
	unresponsive unresponsive
	refills      chan *Share

	// HomeUnresponsive is told of a home that gave no answer, and Denied of a plea that this
	// process, a home, could not serve. Nil tells nobody. Set them before Run.
	HomeUnresponsive func(process string)
	RequestDenied    func(p TransferRequest, why error, f Stats)

	// RefillInterval returns the least time between two rounds of refills ahead of need, all
	// shares at once, for a platform that writes them in one call. Nil refills
	// each share as soon as it is low. Set it before Run.
	RefillInterval func() time.Duration
	lastRound      time.Time // when the last round began

	lastResend time.Time // when gifts were last repeated
}

// NewHolder returns a holder for a process whose ID, "name/incarnation", no
// other process ever has. Broken rules are reported to fault.
func NewHolder(process string, platform Store, peers Peers, fault func(error)) *Holder {
	return &Holder{
		process:     process,
		store:       platform,
		peers:       peers,
		onViolation: fault,
		shares:      map[string]*Share{},
		refills:     make(chan *Share, 1024),
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
	if q, ok := h.policies[budget]; ok {
		p = q
	}
	h.created++
	s = NewShare(budget, fmt.Sprintf("%s/%d", h.process, h.created), h.onViolation)
	s.sync.policy = p
	s.onScarce = h.queueRefill
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
	h.policies = policies
	for budget, s := range h.shares {
		if p, ok := policies[budget]; ok {
			s.setPolicy(p)
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
	for _, s := range h.retired {
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
	all := make([]*Share, 0, len(h.shares)+len(h.retired))
	for _, b := range slices.Sorted(maps.Keys(h.shares)) {
		all = append(all, h.shares[b])
	}
	return append(all, h.retired...)
}

// Run refills shares ahead of need, raises marks and repeats gifts until ctx
// ends.
func (h *Holder) Run(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-h.refills:
			h.refillLow(ctx, s, time.Now())
		case now := <-t.C:
			h.Tick(ctx, now)
		}
	}
}

// refillLow refills a share that a request found low, from its home if it has one.
func (h *Holder) refillLow(ctx context.Context, s *Share, now time.Time) {
	if process := h.home(s.budget, h.zoneMembers(), now); process != h.process {
		h.balance(ctx, s, process, now)
	} else if h.RefillInterval == nil {
		h.maintain(ctx, s, now, false)
	}
}

// Tick does once what Run does again and again.
func (h *Holder) Tick(ctx context.Context, now time.Time) {
	shares := h.Shares()
	for _, s := range shares {
		s.mu.Lock()
		s.meter.tick(now)
		s.mu.Unlock()
	}
	own := h.balanceAll(ctx, shares, now)
	if h.RefillInterval != nil {
		h.refillRound(ctx, own, now)
	} else {
		away := false
		for _, s := range own {
			// One call that fails is enough: the others would fail as slowly.
			away = h.maintain(ctx, s, now, away) || away
		}
	}
	h.raiseMarks(ctx, shares)
	h.resend(ctx, shares, now)
	h.closeRetired(ctx)
}

// refillRound refills all shares that are low at the same time, with those that soon
// will be, so that one call to the platform serves them all.
func (h *Holder) refillRound(ctx context.Context, shares []*Share, now time.Time) {
	if now.Sub(h.lastRound) < h.RefillInterval() || !slices.ContainsFunc(shares, func(s *Share) bool { return s.needsRefill() && !s.skipStore(now) }) {
		return
	}
	h.lastRound = now
	var work sync.WaitGroup
	for _, s := range shares {
		if !s.skipStore(now) && s.wantsRefill() {
			work.Go(func() { h.maintain(ctx, s, now, false) })
		}
	}
	work.Wait()
}

// maintain refills a share ahead of need, unless the platform is away, or hands in
// what it has left of a scarce budget. It reports whether the platform failed.
func (h *Holder) maintain(ctx context.Context, s *Share, now time.Time, away bool) bool {
	if s.scarce(now) && h.handOver(ctx, s) {
		return false
	}
	if away || s.skipStore(now) || !s.needsRefill() && !(h.RefillInterval != nil && s.wantsRefill()) && !h.hasSilentWitness(s) && !s.shortfallCheckDue(now) {
		return false
	}
	err := h.refill(ctx, s, 0, now)
	return err != nil && !isAny(err, ErrNotFound, ErrSealed, ErrConflict)
}

// queueRefill asks Run for a refill, if it is not busy.
func (h *Holder) queueRefill(s *Share) {
	select {
	case h.refills <- s:
	default:
	}
}

// resend sends the gifts that are not acknowledged, to all receivers at once. Those
// that were silent get theirs when they are heard again.
func (h *Holder) resend(ctx context.Context, shares []*Share, now time.Time) {
	least := resendInterval
	if h.zoneMembers() != nil {
		least = zoneResendInterval
	}
	if h.peers.Deliver == nil || now.Sub(h.lastResend) < least {
		return
	}
	h.lastResend = now
	type debt struct {
		share *Share
		gift  Transfer
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
func (h *Holder) deliver(ctx context.Context, s *Share, g Transfer) error {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := h.peers.Deliver(call, ProcessOf(g.To), g)
	if err == nil {
		s.applyAck(g.To, r)
	}
	return err
}

// HandleTransfer credits a gift from a peer.
func (h *Holder) HandleTransfer(g Transfer) (TransferAck, error) {
	s := h.find(g.Budget, g.To)
	if s == nil {
		return TransferAck{}, errors.Wrapf(ErrUnknownShare, "gift to %s", g.To)
	}
	return s.credit(g), nil
}

// HandleRequest answers a peer that asks for a part of a share. With a Wait, the
// amount is gathered as for a request of this holder's own.
func (h *Holder) HandleRequest(ctx context.Context, p TransferRequest) TransferReply {
	h.mu.RLock()
	s := h.shares[p.Budget]
	h.mu.RUnlock()
	if s == nil && p.Wait > 0 {
		s = h.shareForPeer(p.Budget)
	}
	if s == nil {
		return TransferReply{Err: ErrUnreachable}
	}
	if p.Wait > 0 {
		return h.collectFor(ctx, s, p)
	}
	g := s.transfer(p.From, p.Need, p.Want)
	s.mu.Lock()
	defer s.mu.Unlock()
	return TransferReply{Transfer: g, Available: s.available(), Reserved: s.reserved}
}

// closeRetired closes the sealed shares whose reservations have all settled.
func (h *Holder) closeRetired(ctx context.Context) {
	h.mu.RLock()
	old := slices.Clone(h.retired)
	h.mu.RUnlock()
	var work sync.WaitGroup
	for _, s := range old {
		if s.Stats().reserved == 0 {
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
			if h.returnShare(ctx, s) {
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

// returnShare returns a share, again until ctx ends, and reports whether it is returned
// whole.
func (h *Holder) returnShare(ctx context.Context, s *Share) bool {
	if s.Stats().reserved > 0 {
		h.abandonShare(ctx, s)
		return false
	}
	for !h.closeShare(ctx, s) {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(tickInterval):
		}
	}
	return true
}

// closeShare ends a share and reports whether its row is closed.
func (h *Holder) closeShare(ctx context.Context, s *Share) bool {
	h.collectPending(ctx, s)
	h.returnToHome(ctx, s)
	if err := s.sync.acquire(ctx); err != nil {
		return false
	}
	defer s.sync.release()
	s.mu.Lock()
	s.closing = true
	busy := s.reserved > 0
	unused := s.granted == 0 && len(s.receivedFrom) == 0 && s.sync.seq == 0
	s.mu.Unlock()
	unused = unused || s.nothingToWrite()
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
	h.retired = slices.DeleteFunc(h.retired, func(o *Share) bool { return o == s })
	return true
}

// abandonShare returns what is idle of a share with open reservations.
func (h *Holder) abandonShare(ctx context.Context, s *Share) {
	if err := s.sync.acquire(ctx); err != nil {
		return
	}
	defer s.sync.release()
	s.mu.Lock()
	s.closing = true
	s.mu.Unlock()
	if err := h.update(ctx, s, 0, abandonRow); err != nil && h.onViolation != nil && isAny(err, ErrInvariant) {
		h.onViolation(err)
	}
}

// collectPending asks the peers that may have given to s for what may be under way. In a
// large fleet that is those that are known to have.
func (h *Holder) collectPending(ctx context.Context, s *Share) {
	if h.peers.Request == nil || h.peers.Live == nil {
		return
	}
	large := h.zoneMembers() != nil
	for _, p := range h.peers.Live() {
		if large && !s.receivedFromProcess(p) {
			continue
		}
		if _, err := h.request(ctx, s, p, TransferRequest{}); err != nil {
			continue // what it had under way stays with its sender's row
		}
	}
}
