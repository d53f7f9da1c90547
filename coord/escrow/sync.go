package escrow

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// maxSyncAttempts bounds the conflicts that one synchronisation takes.
	maxSyncAttempts = 12
	// firstBackoff is the most that the first conflict delays one, where refills
	// come in rounds. It doubles with each conflict, spreadShifts times.
	firstBackoff     = 30 * time.Millisecond
	maxBackoffShifts = 4
)

// mode says what a synchronisation does to the row.
type mode int

const (
	refillRow mode = iota
	closeRow
	abandonRow // return what is idle; what open reservations hold counts as spent
)

// refill draws on the platform for a share that lacks need, unless a read that
// began after since has already brought what there was.
func (h *Holder) refill(ctx context.Context, s *Share, need int64, since time.Time) error {
	if err := s.sync.acquire(ctx); err != nil {
		return err
	}
	defer s.sync.release()
	s.mu.Lock()
	done := s.closing || s.sync.readStartedAt.After(since)
	s.mu.Unlock()
	if done {
		return nil
	}
	return h.update(ctx, s, need, refillRow)
}

// update brings the share's row on the platform in line, again after each
// conflict, with the gate held. An unknown outcome is an error here; as all
// counters only rise, the next update puts it right.
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

// backoff waits for a random time after a conflict, longer after each, so that many
// holders of one budget get out of each other's way.
func (h *Holder) backoff(ctx context.Context, try int) {
	t := time.NewTimer(rand.N(firstBackoff << min(try, maxBackoffShifts)))
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// updateOnce reads the book once, and writes it if this share has something to say.
func (h *Holder) updateOnce(ctx context.Context, s *Share, need int64, m mode) error {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	began := time.Now()
	if h.store.Update != nil && s.currentPolicy().Unwitnessed == 0 {
		return h.updateInStore(call, s, need, m, began)
	}
	b, version, err := h.store.Read(call, s.budget)
	if err != nil {
		return err
	}
	s.applyLedger(b, began)
	if s.isEnded(b) {
		return nil
	}
	if m == refillRow {
		if s.isSealed() {
			h.retire(s)
			return ErrSealed
		}
		b.writeOffPredecessors(h.process)
		h.reclaim(ctx, b, need)
		s.updateShortfall(b.Free(), h.unreachableIdle(b))
		h.assignWitnesses(ctx, s)
	}
	if !s.editRow(b, need, m, h.isLive) {
		return nil
	}
	b.prune()
	if err := b.Check(); err != nil {
		h.reportViolation(err)
		return err
	}
	if err := h.store.Write(call, s.budget, version, b); err != nil {
		return err
	}
	s.applyLedger(b, began)
	return nil
}

// isLive reports whether the holder of a row counts among those that share what is
// left: itself, and the peers that are not silent.
func (h *Holder) isLive(id string) bool {
	p := ProcessOf(id)
	return p == h.process || !h.silent(p)
}

// updateInStore brings the share's row in line by an edit of the book as it stands.
func (h *Holder) updateInStore(ctx context.Context, s *Share, need int64, m mode, began time.Time) error {
	var written *Ledger
	err := h.store.Update(ctx, s.budget, func(b *Ledger) (bool, error) {
		written = nil
		s.applyLedger(b, began)
		if s.isEnded(b) {
			return false, nil
		}
		if m == refillRow {
			if s.isSealed() {
				h.retire(s)
				return false, ErrSealed
			}
			b.writeOffPredecessors(h.process)
			s.updateShortfall(b.Free(), h.unreachableIdle(b))
		}
		if !s.editRow(b, need, m, h.isLive) {
			return false, nil
		}
		b.prune()
		if err := b.Check(); err != nil {
			h.reportViolation(err)
			return false, err
		}
		written = b
		return true, nil
	})
	if err == nil && written != nil {
		s.applyLedger(written, began)
	}
	return err
}

func (h *Holder) reportViolation(err error) {
	if h.onViolation != nil {
		h.onViolation(err)
	}
}

// applyLedger takes in what the book says about this share and its peers.
func (s *Share) applyLedger(b *Ledger, began time.Time) {
	s.mu.Lock()
	c := &s.sync
	c.free = b.Free()
	c.readAt = time.Now()
	c.readStartedAt = began
	if r := b.rows[s.id]; r != nil {
		s.granted = max(s.granted, r.fields.Granted)
		c.seq = max(c.seq, r.fields.Seq)
		c.written = true
		c.sealed = c.sealed || r.fields.State != Open
		c.witnesses, c.proposed = r.fields.Witnesses, nil
		s.updateLimit()
	} else if c.written {
		c.sealed = true // ended by an operator, and folded away
	}
	c.holders = b.processes(s.id)
	s.checkInvariant()
	s.admitWaiters()
	s.mu.Unlock()
	for id, r := range b.rows {
		if sum := r.fields.Sent[s.id]; sum > 0 {
			s.credit(Transfer{Budget: s.budget, From: id, To: s.id, Total: sum})
		}
		if r.fields.State == Closed {
			s.applyAck(id, TransferAck{Credited: r.fields.Received[s.id], Final: true})
		}
	}
}

// processes returns the processes of the open rows but one, the one with most left
// first.
func (b *Ledger) processes(but string) []string {
	var open []string
	for id, r := range b.rows {
		if id != but && r.fields.State == Open {
			open = append(open, id)
		}
	}
	slices.SortFunc(open, func(x, y string) int {
		return cmp.Or(cmp.Compare(b.rows[y].Idle(), b.rows[x].Idle()), cmp.Compare(x, y))
	})
	for i, id := range open {
		open[i] = ProcessOf(id)
	}
	return open
}

func (s *Share) isSealed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sync.sealed
}

// isEnded reports whether the book has no open or sealed row of the share any
// more, though it had one: there is nothing left to say about it.
func (s *Share) isEnded(b *Ledger) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := b.rows[s.id]
	return s.closing && s.sync.written && (r == nil || r.fields.State == Closed)
}

// editRow changes the share's row in b and reports whether anything changed that
// is worth a write. Alive says of the other rows whose holder lives.
func (s *Share) editRow(b *Ledger, need int64, m mode, alive func(id string) bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &s.sync
	r := b.rowFor(s.id)
	told := r.fields.Returned // as the platform knows it
	var grant int64
	switch m {
	case refillRow:
		s.fillRow(r)
		s.returnExcess()
		want := s.target() - s.idle()
		grant = b.draw(s.id, need, max(want, 0), fairness{fraction: c.policy.Fraction, live: alive})
	case closeRow:
		s.returned += s.idle()
		r.fields.State = Closed
	case abandonRow:
		s.returned += s.idle()
	}
	if need == 0 && m == refillRow && grant < max(s.target()/8, s.floor()) {
		// Too little to be worth a write before someone needs it.
		r.fields.Granted -= grant
		grant = 0
		if s.idle() < s.target()/2 {
			c.noRefillUntil = time.Now().Add(scarceTTL)
		}
	}
	same := len(c.proposed) == 0 || slices.Equal(r.fields.Witnesses, c.proposed)
	if m == refillRow && grant == 0 {
		s.returnFor(b.shortfalls(s.id))
	}
	wished := r.fields.Shortfall == c.shortfall || r.fields.Shortfall > 0 && c.shortfall > 0
	if m == refillRow && grant == 0 && s.returned <= told && wished && same && !b.rowsRemoved {
		return false
	}
	r.fields.Shortfall = c.shortfall
	s.fillRow(r)
	if !same {
		r.fields.Witnesses = c.proposed
		r.fields.Unwitnessed = c.policy.Unwitnessed
	}
	c.seq++
	r.fields.Seq = c.seq
	b.touch(r)
	if m == abandonRow {
		b.writeOff(s.id)
	}
	return true
}

// retire puts a sealed share aside. It takes no more reservations; the budget
// gets a new share.
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
