package escrow

import (
	"context"
	"math"
	"slices"
	"sync"
)

// quorum returns the number of a share's witnesses that must record a mark
// before the mark counts. As many witnesses must seal the share before it is
// reclaimed. The argument is the number of all witnesses of the share. Any two
// quorums have a witness in common. So a seal finds every mark that was relied
// on, and one of three witnesses may fail.
func quorum(witnesses int) int { return witnesses/2 + 1 }

// updateLimit sets the limit of the share's outflow, the amount used, reserved
// and sent. The limit is the acknowledged mark plus Policy.Unwitnessed, the
// amount that the share may spend beyond that mark. A mark counts once a quorum of the witnesses that
// the ledger names has acknowledged it. While a write that names new witnesses
// is pending or of unknown outcome, a quorum of the new ones must have
// acknowledged it too. A share without witnesses can't be reclaimed and has no
// limit. The caller holds the lock.
func (s *Share) updateLimit() {
	c := &s.sync
	limit := int64(math.MaxInt64)
	for _, list := range [][]string{c.witnesses, c.proposed} {
		if len(list) > 0 {
			limit = min(limit, c.ackedMark(list)+c.policy.Unwitnessed)
		}
	}
	s.limit = limit
}

// ackedMark returns the highest mark of the share, in micro-units, that a
// quorum of the given witnesses has acknowledged. witnesses must not be empty.
func (c *syncState) ackedMark(witnesses []string) int64 {
	marks := make([]int64, len(witnesses))
	for i, w := range witnesses {
		marks[i] = c.acked[w]
	}
	slices.Sort(marks)
	return marks[len(marks)-quorum(len(marks))]
}

// nextMark returns the value, in micro-units, to which the share's mark should
// be raised next. It is the outflow, plus the use expected ahead (see
// markRequests), plus the amounts of waiting reservations. The caller holds the
// lock.
func (s *Share) nextMark() int64 {
	ahead := max(markRequests*s.largest, int64(s.meter.rate*markHorizon.Seconds()))
	return s.outflow() + min(ahead+max(s.sync.demand, 0), MaxPaid)
}

// raiseMarks raises the marks of shares at their witnesses ahead of the
// outflow, in one call to each witness. It skips a share at a witness whose
// acknowledged mark is already at least halfway from the outflow to the next
// mark.
func (h *Holder) raiseMarks(ctx context.Context, shares []*Share) {
	if h.peers.RaiseMarks == nil {
		return
	}
	calls := map[string][]Mark{}
	for _, s := range shares {
		s.mu.Lock()
		next := s.nextMark()
		for _, w := range slices.Concat(s.sync.witnesses, s.sync.proposed) {
			if s.sync.acked[w] < next-(next-s.outflow())/2 {
				calls[w] = append(calls[w], Mark{ID: s.id, Limit: next})
			}
		}
		s.mu.Unlock()
	}
	var wg sync.WaitGroup
	for w, marks := range calls {
		wg.Go(func() { h.raiseAt(ctx, shares, w, marks) })
	}
	wg.Wait()
}

// raiseAt records marks of some of the shares at one witness, given by its
// process ID, and updates the limits of these shares. It retires the shares
// that are sealed there. It reports whether the witness replied and none of the
// marked shares is sealed there.
func (h *Holder) raiseAt(ctx context.Context, shares []*Share, witness string, marks []Mark) bool {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sealed, err := h.peers.RaiseMarks(call, witness, marks)
	if err != nil {
		return false
	}
	for _, s := range shares {
		i := slices.IndexFunc(marks, func(m Mark) bool { return m.ID == s.id })
		if i < 0 {
			continue
		}
		if slices.Contains(sealed, s.id) {
			// A peer took this process for dead and sealed the share, whether
			// or not the ledger shows that yet.
			h.retire(s)
			continue
		}
		s.mu.Lock()
		s.sync.acked[witness] = max(s.sync.acked[witness], marks[i].Limit)
		s.updateLimit()
		s.admitWaiters()
		s.mu.Unlock()
	}
	return len(sealed) == 0
}

// assignWitnesses proposes witnesses for a share that has none or has a silent
// one; the next write of the share's row names them. Each proposed witness must
// have recorded the share's mark before the ledger names it.
func (h *Holder) assignWitnesses(ctx context.Context, s *Share) {
	if h.peers.Witnesses == nil || h.peers.RaiseMarks == nil || s.currentPolicy().Unwitnessed == 0 {
		return
	}
	s.mu.Lock()
	current := s.sync.witnesses
	m := Mark{ID: s.id, Limit: s.nextMark()}
	s.mu.Unlock()
	if len(current) > 0 && !slices.ContainsFunc(current, h.silent) {
		return
	}
	chosen := h.peers.Witnesses()
	if len(chosen) == 0 || slices.Equal(chosen, current) {
		return
	}
	for _, w := range chosen {
		if !h.raiseAt(ctx, []*Share{s}, w, []Mark{m}) {
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outflow() > m.Limit+s.sync.policy.Unwitnessed {
		return
	}
	s.sync.proposed = chosen
	s.updateLimit()
}

// hasSilentWitness reports whether a witness of the share has not been heard
// from for so long that it may be dead.
func (h *Holder) hasSilentWitness(s *Share) bool {
	s.mu.Lock()
	witnesses := s.sync.witnesses
	s.mu.Unlock()
	return slices.ContainsFunc(witnesses, h.silent)
}

// silent reports whether a process has not been heard from for so long that it
// may be dead, according to Peers.Silent. It is false if that function is nil.
func (h *Holder) silent(process string) bool {
	return h.peers.Silent != nil && h.peers.Silent(process)
}

// reclaim seals the shares of silent holders at their witnesses and in the
// ledger l, if l has less than need free. It skips a share if fewer than a
// quorum of its witnesses reply.
func (h *Holder) reclaim(ctx context.Context, l *Ledger, need int64) {
	if h.peers.Seal == nil || l.Free() >= need {
		return
	}
	for id, r := range l.rows {
		if r.fields.State != Open || len(r.fields.Witnesses) == 0 || !h.silent(ProcessOf(id)) {
			continue
		}
		if m, ok := h.seal(ctx, id, r.fields.Witnesses); ok {
			l.seal(id, m+r.fields.Unwitnessed)
		}
	}
}

// seal seals a share at its witnesses and returns the highest mark that any of
// them has recorded, in micro-units. The second result is false if fewer than a
// quorum of the witnesses reply; then the mark must not be used as a bound.
func (h *Holder) seal(ctx context.Context, id string, witnesses []string) (int64, bool) {
	var highest int64
	sealed := 0
	for _, w := range witnesses {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		m, err := h.peers.Seal(call, w, id)
		cancel()
		if err != nil {
			continue
		}
		highest = max(highest, m)
		sealed++
	}
	return highest, sealed >= quorum(len(witnesses))
}
