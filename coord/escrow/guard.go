package escrow

import (
	"context"
	"math"
	"slices"
)

// lift sets the limit of the outflow from the marks that witnesses have
// acknowledged, with the lock held. Every witness that the book names, or may
// name after a write whose outcome is unknown, must have cleared the outflow,
// as any one of them may be sealed. A share that names none can't be won back
// and has no limit.
func (s *Share) lift() {
	c := &s.sync
	limit := int64(math.MaxInt64)
	for _, list := range [][]string{c.guards, c.proposed} {
		for _, g := range list {
			limit = min(limit, c.marked[g]+c.policy.Alone)
		}
	}
	s.limit = limit
}

// nextMark returns the mark that the share needs from its witnesses, with the
// lock held.
func (s *Share) nextMark() int64 {
	ahead := max(markCount*s.largest, int64(s.flow.rate*markTime.Seconds()))
	return s.outflow() + min(ahead, MaxPaid)
}

// raise clears the outflow of shares ahead with their witnesses, in one call
// to each.
func (h *Holder) raise(ctx context.Context, shares []*Share) {
	if h.peers.Raise == nil {
		return
	}
	calls := map[string][]Raised{}
	for _, s := range shares {
		s.mu.Lock()
		next := s.nextMark()
		for _, g := range slices.Concat(s.sync.guards, s.sync.proposed) {
			if s.sync.marked[g] < next-(next-s.outflow())/2 {
				calls[g] = append(calls[g], Raised{ID: s.id, Limit: next})
			}
		}
		s.mu.Unlock()
	}
	for g, marks := range calls {
		h.mark(ctx, shares, g, marks)
	}
}

func (h *Holder) mark(ctx context.Context, shares []*Share, guard string, marks []Raised) bool {
	call, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	sealed, err := h.peers.Raise(call, guard, marks)
	if err != nil {
		return false
	}
	for _, s := range shares {
		i := slices.IndexFunc(marks, func(m Raised) bool { return m.ID == s.id })
		if i < 0 || slices.Contains(sealed, s.id) {
			continue
		}
		s.mu.Lock()
		s.sync.marked[guard] = max(s.sync.marked[guard], marks[i].Limit)
		s.lift()
		s.wake()
		s.mu.Unlock()
	}
	return len(sealed) == 0
}

// enlist proposes witnesses for a share that has none, or one that is silent.
// Each must know the mark before the book names it.
func (h *Holder) enlist(ctx context.Context, s *Share) {
	if h.peers.Guards == nil || h.peers.Raise == nil || s.sync.policy.Alone == 0 {
		return
	}
	s.mu.Lock()
	now := s.sync.guards
	m := Raised{ID: s.id, Limit: s.nextMark()}
	s.mu.Unlock()
	if len(now) > 0 && !slices.ContainsFunc(now, h.silent) {
		return
	}
	next := h.peers.Guards()
	if len(next) == 0 || slices.Equal(next, now) {
		return
	}
	for _, g := range next {
		if !h.mark(ctx, []*Share{s}, g, []Raised{m}) {
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outflow() > m.Limit+s.sync.policy.Alone {
		return
	}
	s.sync.proposed = next
	s.lift()
}

// unguarded reports whether a witness of the share has fallen silent.
func (h *Holder) unguarded(s *Share) bool {
	s.mu.Lock()
	guards := s.sync.guards
	s.mu.Unlock()
	return slices.ContainsFunc(guards, h.silent)
}

func (h *Holder) silent(process string) bool {
	return h.peers.Silent != nil && h.peers.Silent(process)
}

// winBack seals the shares of silent holders in a book that lacks need, as far
// as a witness answers.
func (h *Holder) winBack(ctx context.Context, b *Book, need int64) {
	if h.peers.Seal == nil || b.Free() >= need {
		return
	}
	for id, r := range b.rows {
		if r.raw.State != Open || !h.silent(ProcessOf(id)) {
			continue
		}
		for _, g := range r.raw.Guards {
			call, cancel := context.WithTimeout(ctx, callTime)
			m, err := h.peers.Seal(call, g, id)
			cancel()
			if err == nil {
				b.seal(id, m+r.raw.Alone)
				break
			}
		}
	}
}
