package escrow

import (
	"context"
	"time"
)

// control is what a holder keeps of a share besides its counters. The gate
// lets one synchronisation run at a time; the other fields belong to whoever
// holds the share's lock.
type control struct {
	gate    chan struct{}
	policy  Policy
	owner   string // client account of the budget
	free    int64  // what the book had free when last read
	readAt  time.Time
	failAt  time.Time
	startAt time.Time // start of the last read that succeeded
	seq     int64     // number of the last write
	sealed  bool

	guards   []string         // witnesses named in the book
	proposed []string         // witnesses that a write may have named
	marked   map[string]int64 // acknowledged mark by witness
}

func newControl() control {
	return control{gate: make(chan struct{}, 1), marked: map[string]int64{}}
}

// enter takes the gate, or gives up when ctx ends.
func (c *control) enter(ctx context.Context) error {
	select {
	case c.gate <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *control) leave() { <-c.gate }

// target returns what the share should hold, with the lock held.
func (s *Share) target() int64 {
	demand := s.flow.rate * s.sync.policy.Endure.Seconds()
	return int64(max(min(demand, MaxPaid), float64(floorCount*min(s.largest, MaxPaid/floorCount))))
}

// low reports whether the share should be refilled ahead of need.
func (s *Share) low() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.closing && s.idle() < s.target()/4
}

// dry reports whether the platform said so lately that nothing is free, or
// failed so lately that it is not worth a call.
func (s *Share) dry(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &s.sync
	return c.free <= 0 && now.Sub(c.readAt) < dryTime || now.Sub(c.failAt) < awayTime
}
