package escrow

import (
	"context"
	"math"
	"slices"
	"sync"
)

// quorum returns how many of so many witnesses must know a mark, and how many
// must be sealed. Any two such sets share a witness, so a seal finds every mark
// that was relied on, and one of three witnesses may be lost.
func quorum(witnesses int) int { return witnesses/2 + 1 }

// updateLimit sets the limit of the outflow from the marks that witnesses have
// acknowledged, with the lock held. A quorum of the witnesses that the book
// names must have cleared the outflow, and of those that it may name after a
// write whose outcome is unknown. A share that names none can't be won back and
// has no limit.
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

// ackedMark returns the highest mark that a quorum of witnesses knows.
func (c *syncState) ackedMark(witnesses []string) int64 {
	marks := make([]int64, len(witnesses))
	for i, g := range witnesses {
		marks[i] = c.acked[g]
	}
	slices.Sort(marks)
	return marks[len(marks)-quorum(len(marks))]
}

// nextMark returns the mark that the share needs from its witnesses, with the
// lock held.
func (s *Share) nextMark() int64 {
	ahead := max(markRequests*s.largest, int64(s.meter.rate*markHorizon.Seconds()))
	return s.outflow() + min(ahead+max(s.sync.demand, 0), MaxPaid)
}

// raiseMarks clears the outflow of shares ahead with their witnesses, in one call
// to each.
func (h *Holder) raiseMarks(ctx context.Context, shares []*Share) {
	if h.peers.RaiseMarks == nil {
		return
	}
	calls := map[string][]Mark{}
	for _, s := range shares {
		s.mu.Lock()
		next := s.nextMark()
		for _, g := range slices.Concat(s.sync.witnesses, s.sync.proposed) {
			if s.sync.acked[g] < next-(next-s.outflow())/2 {
				calls[g] = append(calls[g], Mark{ID: s.id, Limit: next})
			}
		}
		s.mu.Unlock()
	}
	var work sync.WaitGroup
	for g, marks := range calls {
		work.Go(func() { h.raiseAt(ctx, shares, g, marks) })
	}
	work.Wait()
}

func (h *Holder) raiseAt(ctx context.Context, shares []*Share, guard string, marks []Mark) bool {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sealed, err := h.peers.RaiseMarks(call, guard, marks)
	if err != nil {
		return false
	}
	for _, s := range shares {
		i := slices.IndexFunc(marks, func(m Mark) bool { return m.ID == s.id })
		if i < 0 {
			continue
		}
		if slices.Contains(sealed, s.id) {
			// Someone took this process for dead. The share ends, whether or
			// not the book says so already.
			h.retire(s)
			continue
		}
		s.mu.Lock()
		s.sync.acked[guard] = max(s.sync.acked[guard], marks[i].Limit)
		s.updateLimit()
		s.admitWaiters()
		s.mu.Unlock()
	}
	return len(sealed) == 0
}

// assignWitnesses proposes witnesses for a share that has none, or one that is silent.
// Each must know the mark before the book names it.
func (h *Holder) assignWitnesses(ctx context.Context, s *Share) {
	if h.peers.Witnesses == nil || h.peers.RaiseMarks == nil || s.currentPolicy().Unwitnessed == 0 {
		return
	}
	s.mu.Lock()
	now := s.sync.witnesses
	m := Mark{ID: s.id, Limit: s.nextMark()}
	s.mu.Unlock()
	if len(now) > 0 && !slices.ContainsFunc(now, h.silent) {
		return
	}
	next := h.peers.Witnesses()
	if len(next) == 0 || slices.Equal(next, now) {
		return
	}
	for _, g := range next {
		if !h.raiseAt(ctx, []*Share{s}, g, []Mark{m}) {
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outflow() > m.Limit+s.sync.policy.Unwitnessed {
		return
	}
	s.sync.proposed = next
	s.updateLimit()
}

// hasSilentWitness reports whether a witness of the share has fallen silent.
func (h *Holder) hasSilentWitness(s *Share) bool {
	s.mu.Lock()
	guards := s.sync.witnesses
	s.mu.Unlock()
	return slices.ContainsFunc(guards, h.silent)
}

func (h *Holder) silent(process string) bool {
	return h.peers.Silent != nil && h.peers.Silent(process)
}

// reclaim seals the shares of silent holders in a book that lacks need, as far
// as their witnesses answer.
func (h *Holder) reclaim(ctx context.Context, b *Ledger, need int64) {
	if h.peers.Seal == nil || b.Free() >= need {
		return
	}
	for id, r := range b.rows {
		if r.fields.State != Open || len(r.fields.Witnesses) == 0 || !h.silent(ProcessOf(id)) {
			continue
		}
		if m, ok := h.seal(ctx, id, r.fields.Witnesses); ok {
			b.seal(id, m+r.fields.Unwitnessed)
		}
	}
}

// seal seals a share at a quorum of its witnesses and returns the highest mark
// that any of them knows. It reports false if too few answer.
func (h *Holder) seal(ctx context.Context, id string, witnesses []string) (int64, bool) {
	var top int64
	sealed := 0
	for _, g := range witnesses {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		m, err := h.peers.Seal(call, g, id)
		cancel()
		if err != nil {
			continue
		}
		top = max(top, m)
		sealed++
	}
	return top, sealed >= quorum(len(witnesses))
}
