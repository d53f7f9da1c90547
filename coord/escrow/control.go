package escrow

import (
	"cmp"
	"context"
	"time"
)

// syncState is what a holder keeps of a share besides its counters. The gate
// lets one synchronisation run at a time; the other fields belong to whoever
// holds the share's lock.
type syncState struct {
	busy          chan struct{}
	raising       chan struct{} // lets one request at a time raise marks
	policy        Policy
	free          int64 // what the book had free when last read
	readAt        time.Time
	failedAt      time.Time
	readStartedAt time.Time // start of the last read that succeeded
	seq           int64     // number of the last write
	sealed        bool      // ended by others: by a seal or an operator
	written       bool      // the book has had a row of the share

	demand             int64     // what requests in want ask for, in all
	shortfall          int64     // what is lacking, and peers out of reach have
	shortfallCheckedAt time.Time // when the book was last read to see others' wishes
	noRefillUntil      time.Time // before which no refill ahead of need is worth a try

	holders []string // processes of other open rows, the one with most left first

	viaHome    bool      // its home draws for it
	zoneSize   int       // holders among which the budget has a home, 0 if each draws
	returnedAt time.Time // when it last dealt with its home ahead of need

	deniedAt     time.Time // when a gatherer last failed
	deniedAmount int64     // for this amount

	witnesses []string         // witnesses named in the book
	proposed  []string         // witnesses that a write may have named
	acked     map[string]int64 // acknowledged mark by witness
}

func newSyncState() syncState {
	return syncState{busy: make(chan struct{}, 1), raising: make(chan struct{}, 1), free: 1, acked: map[string]int64{}}
}

// acquire takes the gate, or gives up when ctx ends.
func (c *syncState) acquire(ctx context.Context) error {
	select {
	case c.busy <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *syncState) release() { <-c.busy }

// target returns what the share should hold, with the lock held: what the
// demand needs for the time to endure, and enough for a start.
func (s *Share) target() int64 {
	if s.sync.viaHome {
		return int64(min(max(s.meter.fast, 0)*viaHomeHorizon.Seconds(), MaxPaid))
	}
	demand := s.meter.demand() * s.sync.policy.OutageTolerance.Seconds()
	start := s.sync.policy.MinTarget
	if start == 0 {
		start = minTargetRequests * min(s.largest, MaxPaid/minTargetRequests)
	}
	return max(int64(min(demand, MaxPaid)), start)
}

// currentPolicy returns the policy of the share.
func (s *Share) currentPolicy() Policy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sync.policy
}

// setPolicy takes over all of a policy but Alone.
func (s *Share) setPolicy(p Policy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.Unwitnessed = s.sync.policy.Unwitnessed
	s.sync.policy = p
}

// floor returns what a few requests need, with the lock held. A share below it
// hands in what is left of a scarce budget.
func (s *Share) floor() int64 {
	if f := s.sync.policy.Floor; f > 0 {
		return f
	}
	return floorRequests * min(s.largest, MaxPaid/floorRequests)
}

// lowPart is the part of its target below which a share is refilled, and
// lowPartHeld the same where the policy bounds what all shares hold.
const (
	refillThreshold        = 0.5
	boundedRefillThreshold = 0.7
)

// needsRefill reports whether the share should be refilled ahead of need.
func (s *Share) needsRefill() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	part := refillThreshold
	if s.sync.policy.Fraction > 0 {
		part = boundedRefillThreshold
	}
	return !s.closing && float64(s.idle()) < part*float64(s.target()) && time.Now().After(s.sync.noRefillUntil)
}

// roundThreshold is the part of its target below which a share is refilled when others
// are.
const roundThreshold = 0.9

// wantsRefill reports whether the share could do with a refill, or has far too much.
func (s *Share) wantsRefill() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	target := float64(s.target())
	idle := float64(s.idle())
	return !s.closing && (idle < roundThreshold*target && time.Now().After(s.sync.noRefillUntil) || idle > excessFactor*target)
}

// skipStore reports whether the platform said so lately that nothing is free, or
// failed so lately, that it is not worth a call.
func (s *Share) skipStore(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &s.sync
	believed := cmp.Or(c.policy.EmptyTTL, emptyTTL)
	return c.free <= 0 && now.Sub(c.readAt) < believed || c.failedAt.After(c.readAt) && now.Sub(c.failedAt) < failureBackoff
}

// storeFailed reports whether the last call to the platform failed.
func (s *Share) storeFailed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sync.failedAt.After(s.sync.readAt)
}

// excessFactor is how many times its target a share holds before it gives the
// excess back.
const excessFactor = 2

// returnExcess returns what the share holds far beyond its target, if its policy
// bounds what it holds, with the lock held.
func (s *Share) returnExcess() {
	excess := s.available() - s.target()
	if s.sync.policy.Fraction == 0 || s.closing || excess < (excessFactor-1)*s.target() || excess <= 0 {
		return
	}
	s.returned += excess
	s.checkInvariant()
}

// scarce reports whether the platform had nothing free when last asked, not
// long ago, and the share is down to a few requests.
func (s *Share) scarce(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &s.sync
	return c.free <= 0 && now.Sub(c.readAt) < scarceTTL && s.idle() < s.floor()
}

// deniedLately reports whether a gatherer said so lately for no more than amount.
func (s *Share) deniedLately(amount int64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.sync.deniedAt) < denialTTL && amount >= s.sync.deniedAmount
}

// noteDenial notes that a gatherer could not gather amount.
func (s *Share) noteDenial(amount int64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sync.deniedAt, s.sync.deniedAmount = now, amount
}
