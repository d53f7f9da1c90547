package escrow

import (
	"context"
	"sort"
)

// waiter is a reservation that waits in a share's queue until the share has its
// amount available.
type waiter struct {
	amount   int64
	priority int
	ready    chan struct{} // closed once the amount is reserved for this waiter
}

// queue holds the waiting reservations of a share by descending priority, and
// by arrival within a priority.
type queue []*waiter

// wait queues a reservation until the share has amount available or ctx ends.
// It reports whether the reservation was made; otherwise the returned Hold must
// not be used.
func (s *Share) wait(ctx context.Context, amount int64, priority int) (Hold, bool) {
	s.mu.Lock()
	if s.reserveLocked(amount) {
		s.mu.Unlock()
		return Hold{share: s, amount: amount}, true
	}
	w := &waiter{amount: amount, priority: priority, ready: make(chan struct{})}
	at := sort.Search(len(s.waiters), func(i int) bool { return s.waiters[i].priority < priority })
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

// abandon removes a waiter from the queue and returns false. It returns true if
// the waiter is no longer there because its reservation has just been made.
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

// admitWaiters makes the reservations of the waiters whose amount is now
// available. A waiter whose amount is not available doesn't block waiters with
// smaller amounts behind it: each waits for a bounded time, and waiting is
// meant to prevent refusals of requests that the budget could have paid for.
// The caller holds the lock.
func (s *Share) admitWaiters() {
	if len(s.waiters) == 0 {
		return
	}
	remaining := s.waiters[:0]
	for _, w := range s.waiters {
		if s.reserveLocked(w.amount) {
			close(w.ready)
			continue
		}
		remaining = append(remaining, w)
	}
	clear(s.waiters[len(remaining):])
	s.waiters = remaining
}
