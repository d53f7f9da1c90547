package escrow

import (
	"context"
	"sort"
)

// waiter is a reservation that waits for room.
type waiter struct {
	amount   int64
	priority int
	ready    chan struct{} // closed once the amount is reserved
}

// queue holds waiters, the highest rank first, then in order of arrival.
type queue []*waiter

// wait queues a reservation until it has room or ctx ends.
func (s *Share) wait(ctx context.Context, amount int64, rank int) (Hold, bool) {
	s.mu.Lock()
	if s.reserveLocked(amount) {
		s.mu.Unlock()
		return Hold{share: s, amount: amount}, true
	}
	w := &waiter{amount: amount, priority: rank, ready: make(chan struct{})}
	at := sort.Search(len(s.waiters), func(i int) bool { return s.waiters[i].priority < rank })
	s.waiters = append(s.waiters, nil)
	copy(s.waiters[at+1:], s.waiters[at:])
	s.waiters[at] = w
	s.mu.Unlock()
	select {
	case <-w.ready:
		return Hold{share: s, amount: amount}, true
	case <-ctx.Done():
		return Hold{share: s, amount: amount}, s.abandon(w)
	}
}

// abandon takes a waiter off the queue. It reports true if the reservation was
// made just before.
func (s *Share) abandon(w *waiter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, o := range s.waiters {
		if o == w {
			s.waiters = append(s.waiters[:i], s.waiters[i+1:]...)
			return false
		}
	}
	return true
}

// admitWaiters reserves for the waiters that now have room. A waiter that does not fit
// doesn't hold up smaller ones behind it: each waits for a bounded time, and a
// refusal that the budget could have paid for is what waiting is to avoid.
func (s *Share) admitWaiters() {
	if len(s.waiters) == 0 {
		return
	}
	kept := s.waiters[:0]
	for _, w := range s.waiters {
		if s.reserveLocked(w.amount) {
			close(w.ready)
			continue
		}
		kept = append(kept, w)
	}
	clear(s.waiters[len(kept):])
	s.waiters = kept
}
