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
	policies map[string]Policy // by budget; override the policy passed to Share
	retired  []*Share          // take no more reservations; closed once the open ones settle
	created  int               // number of shares created, used in their IDs
	closed   bool

	witness      Witness
	unresponsive unresponsive
	refills      chan *Share

	// HomeUnresponsive is called with the process ID of a home that did not
	// reply. RequestDenied is called with a transfer request that this process,
	// as home or collector, could not serve, the reason and the counters of its
	// share. Either may be nil. Set them before Run.
	HomeUnresponsive func(process string)
	RequestDenied    func(req TransferRequest, err error, s Stats)

	// RefillInterval returns the least time between two rounds of refills ahead
	// of need. A round refills together all shares that soon need it, for a
	// store that combines their updates into one call. If RefillInterval is
	// nil, each share is refilled as soon as it is low. Set it before Run.
	RefillInterval func() time.Duration
	lastRound      time.Time // start of the last round of refills

	lastResend time.Time // when transfers were last sent again
}

// NewHolder returns a holder for a process, which has no shares yet. The
// process ID has the form "instance/incarnation" and must never be reused.
// Violations of S1 and S2 are reported to onViolation, unless that is nil.
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

// ProcessOf returns the process ID of the holder from a share ID.
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
// if there is none. A policy set by Configure takes precedence over p. Share
// draws nothing from the ledger.
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

// Configure sets the policies of budgets. They take precedence over those
// passed to Share and Reserve. Existing shares adopt them at once, except that
// a new value of Unwitnessed applies only to shares created later.
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

// find returns the share of a budget with the given ID, retired or not, nil if
// there is none.
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

// Shares returns all shares: those in use, sorted by budget, then the retired
// ones.
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
// ctx ends.
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

// refillLow refills a share from the queue of refills: from its home if that is
// another process, else from the ledger. If refills come in rounds, a share
// that is refilled from the ledger waits for the next round.
func (h *Holder) refillLow(ctx context.Context, s *Share, now time.Time) {
	if process := h.home(s.budget, h.zoneMembers(), now); process != h.process {
		h.balance(ctx, s, process, now)
	} else if h.RefillInterval == nil {
		h.maintain(ctx, s, now, false)
	}
}

// Tick does the periodic work of Run once: it measures rates, refills shares,
// raises marks, resends transfers and closes retired shares.
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
			// After one failed call the others are skipped: they would take as
			// long to fail.
			failed = h.maintain(ctx, s, now, failed) || failed
		}
	}
	h.raiseMarks(ctx, shares)
	h.resend(ctx, shares, now)
	h.closeRetired(ctx)
}

// refillRound refills all shares that are low, and with them those that soon
// will be, so that one call to the store can serve them all. It does nothing if
// no share is low or the last round began less than RefillInterval ago.
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

// maintain hands over what a share has left of a scarce budget to the
// collector. Otherwise it refills the share ahead of need if that is due. It
// skips the refill if storeFailed, that is, if the store has failed for another
// share in this tick. It reports whether this call to the store failed.
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

// queueRefill asks Run to refill a share. It does nothing if the queue of
// refills is full.
func (h *Holder) queueRefill(s *Share) {
	select {
	case h.refills <- s:
	default:
	}
}

// resend sends the unacknowledged transfers of the shares again, to all
// receiving processes in parallel. It skips silent processes until they are
// heard from again.
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

// deliver sends a transfer of the share s and applies the acknowledgement. If
// that fails, the amount stays deducted from s, and resend sends the transfer
// again.
func (h *Holder) deliver(ctx context.Context, s *Share, t Transfer) error {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	ack, err := h.peers.Deliver(call, ProcessOf(t.To), t)
	if err == nil {
		s.applyAck(t.To, ack)
	}
	return err
}

// HandleTransfer credits a transfer from a peer to the receiving share and
// returns the acknowledgement. It fails with ErrUnknownShare if this holder has
// no such share.
func (h *Holder) HandleTransfer(t Transfer) (TransferAck, error) {
	s := h.find(t.Budget, t.To)
	if s == nil {
		return TransferAck{}, errors.Wrapf(ErrUnknownShare, "credit transfer to share %s", t.To)
	}
	return s.credit(t), nil
}

// HandleRequest answers a peer's request for a part of this holder's share of a
// budget. If the request has a Wait, the amount is collected as for a
// reservation of this holder's own.
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

// Close returns what is left of every share to the ledger, retrying until ctx
// ends. Its error names the budgets whose share could not be returned whole.
// Before Close, the caller lets open reservations settle and stops Run. Of a
// share with open reservations only the idle part is returned, and what the
// reservations hold counts as spent.
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

// returnShare closes a share, retrying until ctx ends, and reports whether it
// was returned whole. A share with open reservations is abandoned instead.
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

// closeShare closes a share and, if it has a row in the ledger, closes that
// too. It reports whether that succeeded: it does not while reservations are
// open or if the row can't be written.
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
// ledger. What the reservations hold counts as spent.
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

// collectPending asks the peers that may have transferred to s for transfers
// that may be in flight, and credits them. In a zone whose budgets have homes
// it asks only those that are known to have transferred to s before.
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
