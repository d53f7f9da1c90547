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

// Holder manages the shares of one process, one share for each budget that the
// process uses.
type Holder struct {
	process     string
	store       Store
	peers       Peers
	onViolation func(error)

	mu       sync.RWMutex
	shares   map[string]*Share // by budget
	policies map[string]Policy // by budget; take precedence over the policy passed to Share
	retired  []*Share          // shares that take no more reservations; each is closed once its open reservations are settled
	created  int               // number of shares created, used in their IDs
	closed   bool

	witness      Witness
	unresponsive unresponsive
	refills      chan *Share

	// HomeUnresponsive, if set, is called with the process ID of a home that did
	// not reply and is now skipped for unresponsiveTTL. Set it before Run.
	HomeUnresponsive func(process string)
	// RequestDenied, if set, is called when this process, as home or collector,
	// can't serve a peer's transfer request. Its arguments are the request, the
	// reason for the denial and the counters of this process's share. Set it
	// before Run.
	RequestDenied func(req TransferRequest, err error, s Stats)
	// WrittenOff, if set, is called when this process has removed the row of an
	// earlier process of its instance from the ledger of a budget. Set it before Run.
	WrittenOff func(budget string, w WriteOff)

	// RefillInterval returns the least time between two rounds of refills ahead of
	// need. A round refills together the shares that are low and those that soon
	// will be, for a store that combines their updates into one call. If
	// RefillInterval is nil, there are no rounds: each share is refilled as soon
	// as it is low. Set it before Run.
	RefillInterval func() time.Duration
	lastRound      time.Time // start of the last round of refills

	lastResend time.Time // when unacknowledged transfers were last sent again
}

// NewHolder returns a holder for a process, without any share. The process ID
// has the form "instance/incarnation" and must never be reused. Violations of
// invariants S1 (the rows of a ledger hold no more than was paid in) and S2 (a
// share spends no more than it received) are reported to onViolation, unless
// that is nil.
func NewHolder(process string, store Store, peers Peers, onViolation func(error)) *Holder {
	return &Holder{
		process:     process,
		store:       store,
		peers:       peers,
		onViolation: onViolation,
		shares:      map[string]*Share{},
		refills:     make(chan *Share, 1024),
	}
}

// Process returns the process ID that NewHolder was given.
func (h *Holder) Process() string { return h.process }

// Witness returns the witness that records peers' marks in this process.
func (h *Holder) Witness() *Witness { return &h.witness }

// ProcessOf returns the process ID of a share's holder, given the share ID. A
// share ID without a process ID is returned as it is.
func ProcessOf(share string) string {
	if i := strings.LastIndexByte(share, '/'); i > 0 {
		return share[:i]
	}
	return share
}

// instanceOf returns the instance name in a process ID, or the process ID
// itself if it has none.
func instanceOf(process string) string {
	if i := strings.LastIndexByte(process, '/'); i > 0 {
		return process[:i]
	}
	return process
}

// Share returns this process's share of a budget and creates it with policy p
// if there is none. A policy set by Configure takes precedence over p. A new
// share holds nothing: Share does not draw from the ledger.
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
	if configured, ok := h.policies[budget]; ok {
		p = configured
	}
	h.created++
	s = NewShare(budget, fmt.Sprintf("%s/%d", h.process, h.created), h.onViolation)
	s.sync.policy = p
	s.onScarce = h.queueRefill
	s.closing = h.closed
	h.shares[budget] = s
	return s
}

// Configure sets the policies of budgets, by budget name, and replaces those of
// an earlier call. They take precedence over the policies passed to Share and
// Reserve. Existing shares adopt them at once, except that a new value of
// Unwitnessed applies only to shares created later.
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

// find returns this holder's share of a budget with the given share ID, in use
// or retired, nil if there is none.
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

// Shares returns all shares of this holder: those in use, sorted by budget,
// then the retired ones, which take no more reservations.
func (h *Holder) Shares() []*Share {
	h.mu.RLock()
	defer h.mu.RUnlock()
	all := make([]*Share, 0, len(h.shares)+len(h.retired))
	for _, b := range slices.Sorted(maps.Keys(h.shares)) {
		all = append(all, h.shares[b])
	}
	return append(all, h.retired...)
}

// Run refills shares ahead of need, raises marks and resends transfers until
// ctx ends. It calls Tick every tickInterval and in between serves the queue of
// refills.
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

// refillLow refills a share from the queue of refills. If the home of the
// budget is another process, the amount comes from the home, else from the
// ledger. If refills come in rounds (RefillInterval), a share that is refilled
// from the ledger waits for the next round.
func (h *Holder) refillLow(ctx context.Context, s *Share, now time.Time) {
	if process := h.home(s.budget, h.zoneMembers(), now); process != h.process {
		h.balance(ctx, s, process, now)
	} else if h.RefillInterval == nil {
		h.maintain(ctx, s, now, false)
	}
}

// Tick does the periodic work of Run once: it measures rates of spending,
// refills shares, raises marks, resends transfers and closes retired shares.
// now is the time of the tick.
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
		failed := false
		for _, s := range own {
			// After a failed call to the store, the other shares make no call in
			// this tick: it would take as long to fail.
			failed = h.maintain(ctx, s, now, failed) || failed
		}
	}
	h.raiseMarks(ctx, shares)
	h.resend(ctx, shares, now)
	h.closeRetired(ctx)
}

// refillRound refills all shares that are low, and with them those that soon
// will be, so that one call to the store can serve them all. It also lets
// shares with a large excess return it. It does nothing if no share is low or
// if the last round began less than RefillInterval ago.
func (h *Holder) refillRound(ctx context.Context, shares []*Share, now time.Time) {
	if now.Sub(h.lastRound) < h.RefillInterval() || !slices.ContainsFunc(shares, func(s *Share) bool { return s.needsRefill() && !s.skipStore(now) }) {
		return
	}
	h.lastRound = now
	var wg sync.WaitGroup
	for _, s := range shares {
		if !s.skipStore(now) && s.joinsRound() {
			wg.Go(func() { h.maintain(ctx, s, now, false) })
		}
	}
	wg.Wait()
}

// maintain transfers the available amount of a nearly empty share to the
// collector while the budget is scarce. Otherwise it refills the share from the
// ledger if that is due. If storeFailed is true, the store has failed for
// another share in this tick, and maintain skips the refill. It reports whether
// its own call to the store failed.
func (h *Holder) maintain(ctx context.Context, s *Share, now time.Time, storeFailed bool) bool {
	if s.scarce(now) && h.handOver(ctx, s) {
		return false
	}
	if storeFailed || s.skipStore(now) || !s.needsRefill() && !(h.RefillInterval != nil && s.joinsRound()) && !h.hasSilentWitness(s) && !s.shortfallCheckDue(now) {
		return false
	}
	err := h.refill(ctx, s, 0, now)
	return err != nil && !isAny(err, ErrNotFound, ErrSealed, ErrConflict)
}

// queueRefill queues a share for a refill by Run. It does nothing if the queue
// is full.
func (h *Holder) queueRefill(s *Share) {
	select {
	case h.refills <- s:
	default:
	}
}

// resend sends the unacknowledged transfers of the shares again, to all
// receiving processes in parallel. It skips processes that Peers.Silent reports
// as silent. It does nothing if the last resending began less than the interval
// ago (see resendInterval).
func (h *Holder) resend(ctx context.Context, shares []*Share, now time.Time) {
	interval := resendInterval
	if h.zoneMembers() != nil {
		interval = zoneResendInterval
	}
	if h.peers.Deliver == nil || now.Sub(h.lastResend) < interval {
		return
	}
	h.lastResend = now
	type pending struct {
		share    *Share
		transfer Transfer
	}
	byProcess := map[string][]pending{}
	for _, s := range shares {
		for _, t := range s.unacked() {
			p := ProcessOf(t.To)
			byProcess[p] = append(byProcess[p], pending{s, t})
		}
	}
	var wg sync.WaitGroup
	for p, list := range byProcess {
		if h.silent(p) {
			continue
		}
		wg.Go(func() {
			for _, p := range list {
				if err := h.deliver(ctx, p.share, p.transfer); err != nil {
					return // further transfers to this process would take as long to fail
				}
			}
		})
	}
	wg.Wait()
}

// deliver sends a transfer of the share s to its receiver and applies the
// acknowledgement to s. If that fails, the amount stays deducted from s, and
// resend sends the transfer again.
func (h *Holder) deliver(ctx context.Context, s *Share, t Transfer) error {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	ack, err := h.peers.Deliver(call, ProcessOf(t.To), t)
	if err == nil {
		s.applyAck(t.To, ack)
	}
	return err
}

// HandleTransfer credits a peer's transfer to this holder's share that the
// transfer names, and returns the acknowledgement. It fails with
// ErrUnknownShare if this holder has no such share.
func (h *Holder) HandleTransfer(t Transfer) (TransferAck, error) {
	s := h.find(t.Budget, t.To)
	if s == nil {
		return TransferAck{}, errors.Wrapf(ErrUnknownShare, "credit transfer to share %s", t.To)
	}
	return s.credit(t), nil
}

// HandleRequest serves a peer's request for a part of this holder's share of a
// budget. The reply contains the transfer. If the request has a Wait, this
// holder collects the amount like that of a reservation of its own; else it
// gives only what its share has available.
func (h *Holder) HandleRequest(ctx context.Context, req TransferRequest) TransferReply {
	h.mu.RLock()
	s := h.shares[req.Budget]
	h.mu.RUnlock()
	if s == nil && req.Wait > 0 {
		s = h.shareForPeer(req.Budget)
	}
	if s == nil {
		return TransferReply{Err: ErrUnreachable}
	}
	if req.Wait > 0 {
		return h.collectFor(ctx, s, req)
	}
	t := s.transfer(req.From, req.Need, req.Want)
	s.mu.Lock()
	defer s.mu.Unlock()
	return TransferReply{Transfer: t, Available: s.available(), Reserved: s.reserved}
}

// closeRetired closes the retired shares whose open reservations have all been
// settled.
func (h *Holder) closeRetired(ctx context.Context) {
	h.mu.RLock()
	retired := slices.Clone(h.retired)
	h.mu.RUnlock()
	var wg sync.WaitGroup
	for _, s := range retired {
		if s.Stats().reserved == 0 {
			wg.Go(func() { h.closeShare(ctx, s) })
		}
	}
	wg.Wait()
}

// Close returns the unspent amount of every share to the ledger and closes the
// share's row, retrying until ctx ends. Its error names the budgets whose share
// could not be returned whole.
//
// Before Close, the caller lets open reservations settle and stops Run. Of a
// share with open reservations only the idle part is returned, and the reserved
// amount counts as spent.
func (h *Holder) Close(ctx context.Context) error {
	h.mu.Lock()
	h.closed = true
	h.mu.Unlock()
	var mu sync.Mutex
	var unreturned []string
	var wg sync.WaitGroup
	for _, s := range h.Shares() {
		wg.Go(func() {
			if h.returnShare(ctx, s) {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			unreturned = append(unreturned, s.budget)
		})
	}
	wg.Wait()
	slices.Sort(unreturned)
	if len(unreturned) > 0 {
		return errors.Newf("escrow: shares of these budgets were not returned whole: %s", strings.Join(unreturned, ", "))
	}
	return nil
}

// returnShare closes a share, retrying until ctx ends. It reports whether the
// whole unspent amount was returned. A share with open reservations is
// abandoned instead (see abandonShare), and the result is false.
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

// closeShare closes a share and, if the share has a row in the ledger, closes
// that too. It reports whether that succeeded. It does not succeed while
// reservations are open or if the row can't be written.
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
	unwritten := s.granted == 0 && len(s.receivedFrom) == 0 && s.sync.seq == 0
	s.mu.Unlock()
	unwritten = unwritten || s.nothingToWrite()
	if busy {
		return false
	}
	if !unwritten {
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

// abandonShare returns the idle part of a share with open reservations to the
// ledger and removes the share's row. The reserved amount counts as spent.
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

// collectPending asks the live peers for transfers to s that may be in flight,
// and credits them to s. In a zone whose budgets have homes it asks only those
// processes from which s has received a transfer before.
func (h *Holder) collectPending(ctx context.Context, s *Share) {
	if h.peers.Request == nil || h.peers.Live == nil {
		return
	}
	zoned := h.zoneMembers() != nil
	for _, p := range h.peers.Live() {
		if zoned && !s.receivedFromProcess(p) {
			continue
		}
		if _, err := h.request(ctx, s, p, TransferRequest{}); err != nil {
			continue // a transfer in flight from this peer stays recorded in the row of its sender
		}
	}
}
