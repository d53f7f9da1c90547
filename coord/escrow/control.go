package escrow

import (
	"cmp"
	"context"
	"time"
)

// control is what a holder keeps of a share besides its counters. The gate
// lets one synchronisation run at a time; the other fields belong to whoever
// holds the share's lock.
type control struct {
	gate    chan struct{}
	marking chan struct{} // lets one request at a time raise marks
	policy  Policy
	free    int64 // what the book had free when last read
	readAt  time.Time
	failAt  time.Time
	startAt time.Time // start of the last read that succeeded
	seq     int64     // number of the last write
	sealed  bool      // ended by others: by a seal or an operator
	written bool      // the book has had a row of the share

	asked     int64     // what requests in want ask for, in all
	wish      int64     // what is lacking, and peers out of reach have
	lookAt    time.Time // when the book was last read to see others' wishes
	restUntil time.Time // before which no refill ahead of need is worth a try

	holders []string // processes of other open rows, the one with most left first

	member bool      // its home draws for it
	mates  int       // holders among which the budget has a home, 0 if each draws
	tidyAt time.Time // when it last dealt with its home ahead of need

	deniedAt time.Time // when a gatherer last failed
	denied   int64     // for this amount

	guards   []string         // witnesses named in the book
	proposed []string         // witnesses that a write may have named
	marked   map[string]int64 // acknowledged mark by witness
}

func newControl() control {
	return control{gate: make(chan struct{}, 1), marking: make(chan struct{}, 1), free: 1, marked: map[string]int64{}}
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

// target returns what the share should hold, with the lock held: what the
// demand needs for the time to endure, and enough for a start.
func (s *Share) target() int64 {
	if s.sync.member {
		return int64(min(max(s.flow.fast, 0)*memberTime.Seconds(), MaxPaid))
	}
	demand := s.flow.demand() * s.sync.policy.Endure.Seconds()
	start := s.sync.policy.Start
	if start == 0 {
		start = startCount * min(s.largest, MaxPaid/startCount)
	}
	return max(int64(min(demand, MaxPaid)), start)
}

// treatment returns the policy of the share.
func (s *Share) treatment() Policy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sync.policy
}

// treat takes over all of a policy but Alone.
func (s *Share) treat(p Policy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.Alone = s.sync.policy.Alone
	s.sync.policy = p
}

// floor returns what a few requests need, with the lock held. A share below it
// hands in what is left of a scarce budget.
func (s *Share) floor() int64 {
	if f := s.sync.policy.Floor; f > 0 {
		return f
	}
	return floorCount * min(s.largest, MaxPaid/floorCount)
}

// lowPart is the part of its target below which a share is refilled, and
// lowPartHeld the same where the policy bounds what all shares hold.
const (
	lowPart     = 0.5
	lowPartHeld = 0.7
)

// low reports whether the share should be refilled ahead of need.
func (s *Share) low() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	part := lowPart
	if s.sync.policy.Part > 0 {
		part = lowPartHeld
	}
	return !s.closing && float64(s.idle()) < part*float64(s.target()) && time.Now().After(s.sync.restUntil)
}

// shortPart is the part of its target below which a share is refilled when others
// are.
const shortPart = 0.9

// short reports whether the share could do with a refill, or has far too much.
func (s *Share) short() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	target := float64(s.target())
	idle := float64(s.idle())
	return !s.closing && (idle < shortPart*target && time.Now().After(s.sync.restUntil) || idle > excessCount*target)
}

// dry reports whether the platform said so lately that nothing is free, or
// failed so lately, that it is not worth a call.
func (s *Share) dry(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &s.sync
	believed := cmp.Or(c.policy.Dry, dryTime)
	return c.free <= 0 && now.Sub(c.readAt) < believed || c.failAt.After(c.readAt) && now.Sub(c.failAt) < awayTime
}

// away reports whether the last call to the platform failed.
func (s *Share) away() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sync.failAt.After(s.sync.readAt)
}

// excessCount is how many times its target a share holds before it gives the
// excess back.
const excessCount = 2

// giveBack returns what the share holds far beyond its target, if its policy
// bounds what it holds, with the lock held.
func (s *Share) giveBack() {
	excess := s.room() - s.target()
	if s.sync.policy.Part == 0 || s.closing || excess < (excessCount-1)*s.target() || excess <= 0 {
		return
	}
	s.returned += excess
	s.check()
}

// scarce reports whether the platform had nothing free when last asked, not
// long ago, and the share is down to a few requests.
func (s *Share) scarce(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &s.sync
	return c.free <= 0 && now.Sub(c.readAt) < scarceTime && s.idle() < s.floor()
}

// exhausted reports whether a gatherer said so lately for no more than amount.
func (s *Share) exhausted(amount int64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.sync.deniedAt) < denyTime && amount >= s.sync.denied
}

// deny notes that a gatherer could not gather amount.
func (s *Share) deny(amount int64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sync.deniedAt, s.sync.denied = now, amount
}
