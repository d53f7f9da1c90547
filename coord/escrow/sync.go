package escrow

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// maxSyncAttempts is the greatest number of attempts to synchronise a share
	// with the ledger when each write meets a conflict.
	maxSyncAttempts = 12
	// firstBackoff is the longest delay after the first conflict. It doubles with
	// each further conflict, up to maxBackoffShifts times. Only holders whose
	// refills come in rounds (Holder.RefillInterval) delay after a conflict.
	firstBackoff = 30 * time.Millisecond
	// maxBackoffShifts is how often the longest delay after a conflict doubles at
	// most.
	maxBackoffShifts = 4
)

// mode selects how a synchronisation changes the share's row in the ledger.
type mode int

const (
	refillRow  mode = iota // update the share's row in the ledger and draw from the free amount of the ledger
	closeRow               // return the share's idle amount to the ledger and close the share's row there
	abandonRow             // return the share's idle amount to the ledger and remove the share's row there; the amount of open reservations counts as spent
)

// refill draws at least need for a share from the ledger, if that much is free,
// and fills the share up to its target. It does nothing for a closing share. It
// also does nothing if a read of the ledger for the share began after
// requestedAt, since that synchronisation has already drawn from the free
// amount.
func (h *Holder) refill(ctx context.Context, s *Share, need int64, requestedAt time.Time) error {
	if err := s.sync.acquire(ctx); err != nil {
		return err
	}
	defer s.sync.release()
	s.mu.Lock()
	done := s.closing || s.sync.readStartedAt.After(requestedAt)
	s.mu.Unlock()
	if done {
		return nil
	}
	return h.update(ctx, s, need, refillRow)
}

// update synchronises the share's row with the ledger in the mode m, and tries
// again after each conflict, up to maxSyncAttempts times. need is the least
// amount to draw in a refill. The caller holds the share's synchronisation
// semaphore.
//
// A write of unknown outcome is returned as an error. The next update corrects
// it, since all counters only increase.
func (h *Holder) update(ctx context.Context, s *Share, need int64, m mode) error {
	for try := range maxSyncAttempts {
		err := h.updateOnce(ctx, s, need, m)
		if err == nil {
			return nil
		}
		if !isAny(err, ErrConflict) {
			s.mu.Lock()
			s.sync.failedAt = time.Now()
			s.mu.Unlock()
			return err
		}
		if h.RefillInterval != nil {
			h.backoff(ctx, try)
		}
	}
	return ErrConflict
}

// backoff waits for a random time after a conflict, so that many holders of one
// budget don't conflict again. The longest wait grows with try, the number of
// earlier conflicts.
func (h *Holder) backoff(ctx context.Context, try int) {
	t := time.NewTimer(rand.N(firstBackoff << min(try, maxBackoffShifts)))
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// updateOnce makes one attempt at a synchronisation. It reads the ledger, and
// writes it if the change to the share's row is worth a write. For a share
// without witnesses it uses Store.Update, if the store has that.
func (h *Holder) updateOnce(ctx context.Context, s *Share, need int64, m mode) error {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	startedAt := time.Now()
	if h.store.Update != nil && s.currentPolicy().Unwitnessed == 0 {
		return h.updateInStore(call, s, need, m, startedAt)
	}
	l, version, err := h.store.Read(call, s.budget)
	if err != nil {
		return err
	}
	s.applyLedger(l, startedAt)
	if s.isEnded(l) {
		return nil
	}
	var ended []WriteOff
	if m == refillRow {
		if s.isSealed() {
			h.retire(s)
			return ErrSealed
		}
		ended = l.writeOffPredecessors(h.process)
		h.reclaim(ctx, l, need)
		s.updateShortfall(l.Free(), h.unreachableIdle(l))
		h.assignWitnesses(ctx, s)
	}
	if !s.editRow(l, need, m, h.isLive) {
		return nil
	}
	l.prune()
	if err := l.Check(); err != nil {
		h.reportViolation(err)
		return err
	}
	if err := h.store.Write(call, s.budget, version, l); err != nil {
		return err
	}
	s.applyLedger(l, startedAt)
	h.noteWriteOffs(s, ended)
	return nil
}

// noteWriteOffs records in the share, and reports, that rows of earlier processes of
// this instance were removed from the ledger of its budget.
func (h *Holder) noteWriteOffs(s *Share, ended []WriteOff) {
	if len(ended) == 0 {
		return
	}
	s.noteKill(time.Now())
	if h.WrittenOff == nil {
		return
	}
	for _, w := range ended {
		h.WrittenOff(s.budget, w)
	}
}

// isLive reports whether the holder of the share id counts when the unspent
// budget is divided among the holders. This process and the peers that are not
// silent do.
func (h *Holder) isLive(id string) bool {
	p := ProcessOf(id)
	return p == h.process || !h.silent(p)
}

// updateInStore makes one attempt at a synchronisation by Store.Update, with an
// edit of the share's row that the store applies to the current ledger.
func (h *Holder) updateInStore(ctx context.Context, s *Share, need int64, m mode, startedAt time.Time) error {
	var written *Ledger
	var ended []WriteOff
	err := h.store.Update(ctx, s.budget, func(l *Ledger) (bool, error) {
		written = nil
		s.applyLedger(l, startedAt)
		if s.isEnded(l) {
			return false, nil
		}
		if m == refillRow {
			if s.isSealed() {
				h.retire(s)
				return false, ErrSealed
			}
			ended = l.writeOffPredecessors(h.process)
			s.updateShortfall(l.Free(), h.unreachableIdle(l))
		}
		if !s.editRow(l, need, m, h.isLive) {
			return false, nil
		}
		l.prune()
		if err := l.Check(); err != nil {
			h.reportViolation(err)
			return false, err
		}
		written = l
		return true, nil
	})
	if err == nil && written != nil {
		s.applyLedger(written, startedAt)
		h.noteWriteOffs(s, ended)
	}
	return err
}

func (h *Holder) reportViolation(err error) {
	if h.onViolation != nil {
		h.onViolation(err)
	}
}

// applyLedger updates the share from the ledger l: the free amount, the share's
// own row, and the transfers from and to its peers. The read of l began at
// startedAt.
func (s *Share) applyLedger(l *Ledger, startedAt time.Time) {
	s.mu.Lock()
	c := &s.sync
	c.free = l.Free()
	c.readAt = time.Now()
	c.readStartedAt = startedAt
	if r := l.rows[s.id]; r != nil {
		s.granted = max(s.granted, r.fields.Granted)
		c.seq = max(c.seq, r.fields.Seq)
		c.written = true
		c.sealed = c.sealed || r.fields.State != Open
		c.witnesses, c.proposed = r.fields.Witnesses, nil
		s.updateLimit()
	} else if c.written {
		c.sealed = true // ended by an operator, and its row removed
	}
	c.holders = l.processes(s.id)
	s.checkInvariant()
	s.admitWaiters()
	s.mu.Unlock()
	for id, r := range l.rows {
		if sum := r.fields.Sent[s.id]; sum > 0 {
			s.credit(Transfer{Budget: s.budget, From: id, To: s.id, Total: sum})
		}
		if r.fields.State == Closed {
			s.applyAck(id, TransferAck{Credited: r.fields.Received[s.id], Final: true})
		}
	}
}

// processes returns the process IDs of the holders of all open rows except the
// row of the share exclude. The holder with the largest idle amount comes
// first.
func (l *Ledger) processes(exclude string) []string {
	var open []string
	for id, r := range l.rows {
		if id != exclude && r.fields.State == Open {
			open = append(open, id)
		}
	}
	slices.SortFunc(open, func(x, y string) int {
		return cmp.Or(cmp.Compare(l.rows[y].Idle(), l.rows[x].Idle()), cmp.Compare(x, y))
	})
	for i, id := range open {
		open[i] = ProcessOf(id)
	}
	return open
}

// isSealed reports whether the share was ended in the ledger, by a peer's seal
// or by an operator.
func (s *Share) isSealed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sync.sealed
}

// isEnded reports whether the share is closing and the row that it had in the
// ledger is now closed or removed, so that the ledger needs no further write
// for it.
func (s *Share) isEnded(l *Ledger) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := l.rows[s.id]
	return s.closing && s.sync.written && (r == nil || r.fields.State == Closed)
}

// editRow changes the share's row in l according to the mode m and reports
// whether the change is worth a write. For a refill, need is the least amount
// to draw, and live reports whether the holder of a share, given by its ID, is
// alive.
func (s *Share) editRow(l *Ledger, need int64, m mode, live func(id string) bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &s.sync
	r := l.rowFor(s.id)
	stored := r.fields.Returned // total returned, as the ledger records it
	restored := l.restoreGrant(r, s.granted)
	var grant int64
	switch m {
	case refillRow:
		s.fillRow(r)
		s.returnExcess()
		want := s.target() - s.idle()
		grant = l.draw(s.id, need, max(want, 0), fairness{fraction: c.policy.Fraction, live: live})
	case closeRow:
		s.returned += s.idle()
		r.fields.State = Closed
	case abandonRow:
		s.returned += s.idle()
	}
	if need == 0 && m == refillRow && grant < max(s.target()/8, s.floor()) {
		// The grant is too small to be worth a write before a request needs it.
		r.fields.Granted -= grant
		grant = 0
		if s.idle() < s.target()/2 {
			c.noRefillUntil = time.Now().Add(scarceTTL)
		}
	}
	witnessesSame := len(c.proposed) == 0 || slices.Equal(r.fields.Witnesses, c.proposed)
	if m == refillRow && grant == 0 {
		s.returnFor(l.shortfalls(s.id))
	}
	shortfallSame := r.fields.Shortfall == c.shortfall || r.fields.Shortfall > 0 && c.shortfall > 0
	if m == refillRow && grant == 0 && s.returned <= stored && shortfallSame && witnessesSame && !l.rowsEnded && !restored {
		return false
	}
	r.fields.Shortfall = c.shortfall
	s.fillRow(r)
	if !witnessesSame {
		r.fields.Witnesses = c.proposed
		r.fields.Unwitnessed = c.policy.Unwitnessed
	}
	c.seq++
	r.fields.Seq = c.seq
	l.touch(r)
	if m == abandonRow {
		l.writeOff(s.id)
	}
	return true
}

// retire takes a share out of use that was sealed, or whose budget another
// process, now its home, draws from the ledger. The share takes no more
// reservations. A new share is created for the budget when one is needed.
func (h *Holder) retire(s *Share) {
	s.mu.Lock()
	s.closing = true
	s.mu.Unlock()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.shares[s.budget] == s {
		delete(h.shares, s.budget)
		h.retired = append(h.retired, s)
	}
}
