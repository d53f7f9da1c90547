package escrow

import (
	"cmp"
	"context"
	"time"
)

// syncState is what a holder keeps of a share besides its counters. All fields
// but the two channels are guarded by the share's lock.
type syncState struct {
	sem           chan struct{} // lets one synchronisation with the ledger run at a time
	raising       chan struct{} // lets one request at a time raise marks
	policy        Policy
	free          int64     // what the ledger had free when last read, or as the home reported
	readAt        time.Time // when free was last set
	failedAt      time.Time // when a call to the store last failed
	readStartedAt time.Time // start of the last successful read
	seq           int64     // sequence number of the last write
	sealed        bool      // ended by a seal or an operator
	written       bool      // the ledger has had a row of the share

	demand             int64     // total amount of the reservations that wait for more
	shortfall          int64     // what the share lacks while unreachable peers have it
	shortfallCheckedAt time.Time // when the ledger was last read for others' shortfalls
	noRefillUntil      time.Time // no refill ahead of need is tried before this time

	holders []string // processes of the other open rows, the one with most left first

	viaHome    bool      // another process, its home, draws for it
	zoneSize   int       // holders among which the budget has a home, 0 if each holder draws
	returnedAt time.Time // when it last returned a surplus to its home

	deniedAt     time.Time // when a peer last denied an amount
	deniedAmount int64     // the denied amount

	witnesses []string         // witnesses named in the ledger
	proposed  []string         // witnesses to be named by the next write, or by one of unknown outcome
	acked     map[string]int64 // acknowledged mark by witness
}

func newSyncState() syncState {
	return syncState{sem: make(chan struct{}, 1), raising: make(chan struct{}, 1), free: 1, acked: map[string]int64{}}
}

// acquire takes the semaphore, or fails when ctx ends.
func (c *syncState) acquire(ctx context.Context) error {
	select {
	case c.sem <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *syncState) release() { <-c.sem }

// target returns what the share should hold: what the demand needs for the
// outage tolerance, and at least the minimum target; or what the recent use
// needs for viaHomeHorizon if its home is another process. The caller holds the
// lock.
func (s *Share) target() int64 {
	if s.sync.viaHome {
		return int64(min(max(s.meter.fast, 0)*viaHomeHorizon.Seconds(), MaxPaid))
	}
	demand := s.meter.demand() * s.sync.policy.OutageTolerance.Seconds()
	minTarget := s.sync.policy.MinTarget
	if minTarget == 0 {
		minTarget = minTargetRequests * min(s.largest, MaxPaid/minTargetRequests)
	}
	return max(int64(min(demand, MaxPaid)), minTarget)
}

// currentPolicy returns the policy of the share.
func (s *Share) currentPolicy() Policy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sync.policy
}

// setPolicy sets the policy except for Unwitnessed, which stays as it is.
func (s *Share) setPolicy(p Policy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.Unwitnessed = s.sync.policy.Unwitnessed
	s.sync.policy = p
}

// floor returns what a few requests need. A share below it hands over what is
// left of a scarce budget. The caller holds the lock.
func (s *Share) floor() int64 {
	if f := s.sync.policy.Floor; f > 0 {
		return f
	}
	return floorRequests * min(s.largest, MaxPaid/floorRequests)
}

const (
	// refillThreshold is the fraction of its target below which a share is
	// refilled; boundedRefillThreshold replaces it where the policy bounds what
	// all shares hold.
	refillThreshold        = 0.5
	boundedRefillThreshold = 0.7
)

// needsRefill reports whether the share should be refilled ahead of need.
func (s *Share) needsRefill() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	threshold := refillThreshold
	if s.sync.policy.Fraction > 0 {
		threshold = boundedRefillThreshold
	}
	return !s.closing && float64(s.idle()) < threshold*float64(s.target()) && time.Now().After(s.sync.noRefillUntil)
}

// roundThreshold is the fraction of its target below which a share is refilled
// in a round that another share has started.
const roundThreshold = 0.9

// wantsRefill reports whether the share should take part in a round of refills:
// it is below its round threshold or holds a large excess.
func (s *Share) wantsRefill() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	target := float64(s.target())
	idle := float64(s.idle())
	return !s.closing && (idle < roundThreshold*target && time.Now().After(s.sync.noRefillUntil) || idle > excessFactor*target)
}

// skipStore reports whether a call to the store is not worthwhile, because a
// recent reading showed nothing free or a recent call failed.
func (s *Share) skipStore(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &s.sync
	ttl := cmp.Or(c.policy.EmptyTTL, emptyTTL)
	return c.free <= 0 && now.Sub(c.readAt) < ttl || c.failedAt.After(c.readAt) && now.Sub(c.failedAt) < failureBackoff
}

// storeFailed reports whether the last call to the store failed.
func (s *Share) storeFailed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sync.failedAt.After(s.sync.readAt)
}

// excessFactor is the multiple of its target above which a share returns the
// excess.
const excessFactor = 2

// returnExcess returns what the share holds far above its target, if the policy
// bounds what it holds. The caller holds the lock.
func (s *Share) returnExcess() {
	excess := s.available() - s.target()
	if s.sync.policy.Fraction == 0 || s.closing || excess < (excessFactor-1)*s.target() || excess <= 0 {
		return
	}
	s.returned += excess
	s.checkInvariant()
}

// scarce reports whether a recent reading showed nothing free and the share is
// below its floor.
func (s *Share) scarce(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &s.sync
	return c.free <= 0 && now.Sub(c.readAt) < scarceTTL && s.idle() < s.floor()
}

// deniedLately reports whether a peer recently denied amount or less.
func (s *Share) deniedLately(amount int64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.sync.deniedAt) < denialTTL && amount >= s.sync.deniedAmount
}

// noteDenial records that a peer could not provide amount.
func (s *Share) noteDenial(amount int64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sync.deniedAt, s.sync.deniedAmount = now, amount
}
