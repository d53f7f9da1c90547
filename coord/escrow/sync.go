package escrow

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// syncTries bounds the conflicts that one synchronisation takes.
	syncTries = 12
	// spreadTime is the most that the first conflict delays one, where refills
	// come in rounds. It doubles with each conflict, spreadShifts times.
	spreadTime   = 30 * time.Millisecond
	spreadShifts = 4
)

// mode says what a synchronisation does to the row.
type mode int

const (
	refillRow mode = iota
	closeRow
	leaveRow // return what is idle; what open reservations hold counts as spent
)

// refill draws on the platform for a share that lacks need, unless a read that
// began after since has already brought what there was.
func (h *Holder) refill(ctx context.Context, s *Share, need int64, since time.Time) error {
	if err := s.sync.enter(ctx); err != nil {
		return err
	}
	defer s.sync.leave()
	s.mu.Lock()
	done := s.closing || s.sync.startAt.After(since)
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
	for try := range syncTries {
		err := h.try(ctx, s, need, m)
		if err == nil {
			return nil
		}
		if !is(err, ErrConflict) {
			s.mu.Lock()
			s.sync.failAt = time.Now()
			s.mu.Unlock()
			return err
		}
		if h.Pace != nil {
			h.spread(ctx, try)
		}
	}
	return ErrConflict
}

// spread waits for a random time after a conflict, longer after each, so that many
// holders of one budget get out of each other's way.
func (h *Holder) spread(ctx context.Context, try int) {
	t := time.NewTimer(rand.N(spreadTime << min(try, spreadShifts)))
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// try reads the book once, and writes it if this share has something to say.
func (h *Holder) try(ctx context.Context, s *Share, need int64, m mode) error {
	call, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	began := time.Now()
	if h.platform.Update != nil && s.treatment().Alone == 0 {
		return h.merge(call, s, need, m, began)
	}
	b, version, err := h.platform.Read(call, s.budget)
	if err != nil {
		return err
	}
	s.absorb(b, began)
	if s.isEnded(b) {
		return nil
	}
	if m == refillRow {
		if s.isSealed() {
			h.retire(s)
			return ErrSealed
		}
		b.bury(h.process)
		h.winBack(ctx, b, need)
		s.wishFor(b.Free(), h.beyondReach(b))
		h.enlist(ctx, s)
	}
	if !s.edit(b, need, m, h.alive) {
		return nil
	}
	b.fold()
	if err := b.Check(); err != nil {
		h.report(err)
		return err
	}
	if err := h.platform.Write(call, s.budget, version, b); err != nil {
		return err
	}
	s.absorb(b, began)
	return nil
}

// alive reports whether the holder of a row counts among those that share what is
// left: itself, and the peers that are not silent.
func (h *Holder) alive(id string) bool {
	p := ProcessOf(id)
	return p == h.process || !h.silent(p)
}

// merge brings the share's row in line by an edit of the book as it stands.
func (h *Holder) merge(ctx context.Context, s *Share, need int64, m mode, began time.Time) error {
	var written *Book
	err := h.platform.Update(ctx, s.budget, func(b *Book) (bool, error) {
		written = nil
		s.absorb(b, began)
		if s.isEnded(b) {
			return false, nil
		}
		if m == refillRow {
			if s.isSealed() {
				h.retire(s)
				return false, ErrSealed
			}
			b.bury(h.process)
			s.wishFor(b.Free(), h.beyondReach(b))
		}
		if !s.edit(b, need, m, h.alive) {
			return false, nil
		}
		b.fold()
		if err := b.Check(); err != nil {
			h.report(err)
			return false, err
		}
		written = b
		return true, nil
	})
	if err == nil && written != nil {
		s.absorb(written, began)
	}
	return err
}

func (h *Holder) report(err error) {
	if h.fault != nil {
		h.fault(err)
	}
}

// absorb takes in what the book says about this share and its peers.
func (s *Share) absorb(b *Book, began time.Time) {
	s.mu.Lock()
	c := &s.sync
	c.free = b.Free()
	c.readAt = time.Now()
	c.startAt = began
	if r := b.rows[s.id]; r != nil {
		s.granted = max(s.granted, r.raw.Granted)
		c.seq = max(c.seq, r.raw.Seq)
		c.written = true
		c.sealed = c.sealed || r.raw.State != Open
		c.guards, c.proposed = r.raw.Guards, nil
		s.lift()
	} else if c.written {
		c.sealed = true // ended by an operator, and folded away
	}
	c.holders = b.holders(s.id)
	s.check()
	s.wake()
	s.mu.Unlock()
	for id, r := range b.rows {
		if sum := r.raw.Sent[s.id]; sum > 0 {
			s.credit(Gift{Budget: s.budget, From: id, To: s.id, Total: sum})
		}
		if r.raw.State == Closed {
			s.settleGift(id, Receipt{Credited: r.raw.Received[s.id], Final: true})
		}
	}
}

// holders returns the processes of the open rows but one, the one with most left
// first.
func (b *Book) holders(but string) []string {
	var open []string
	for id, r := range b.rows {
		if id != but && r.raw.State == Open {
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
func (s *Share) isEnded(b *Book) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := b.rows[s.id]
	return s.closing && s.sync.written && (r == nil || r.raw.State == Closed)
}

// edit changes the share's row in b and reports whether anything changed that
// is worth a write. Alive says of the other rows whose holder lives.
func (s *Share) edit(b *Book, need int64, m mode, alive func(id string) bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &s.sync
	r := b.open(s.id)
	told := r.raw.Returned // as the platform knows it
	var grant int64
	switch m {
	case refillRow:
		s.report(r)
		s.giveBack()
		want := s.target() - s.idle()
		grant = b.draw(s.id, need, max(want, 0), fairness{part: c.policy.Part, counts: alive})
	case closeRow:
		s.returned += s.idle()
		r.raw.State = Closed
	case leaveRow:
		s.returned += s.idle()
	}
	if need == 0 && m == refillRow && grant < max(s.target()/8, s.floor()) {
		// Too little to be worth a write before someone needs it.
		r.raw.Granted -= grant
		grant = 0
		if s.idle() < s.target()/2 {
			c.restUntil = time.Now().Add(scarceTime)
		}
	}
	same := len(c.proposed) == 0 || slices.Equal(r.raw.Guards, c.proposed)
	if m == refillRow && grant == 0 {
		s.spare(b.wishes(s.id))
	}
	wished := r.raw.Wish == c.wish || r.raw.Wish > 0 && c.wish > 0
	if m == refillRow && grant == 0 && s.returned <= told && wished && same && !b.changed {
		return false
	}
	r.raw.Wish = c.wish
	s.report(r)
	if !same {
		r.raw.Guards = c.proposed
		r.raw.Alone = c.policy.Alone
	}
	c.seq++
	r.raw.Seq = c.seq
	b.touch(r)
	if m == leaveRow {
		b.lose(s.id)
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
		h.old = append(h.old, s)
	}
}
