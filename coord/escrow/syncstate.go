package escrow

import (
	"cmp"
	"context"
	"time"
)

// syncState is what a holder keeps of a share besides its counters: its policy,
// what is known of the ledger, its demand and its witnesses. All fields but the
// two channels are guarded by the share's lock.
type syncState struct {
	sem           chan struct{} // lets one synchronisation with the ledger run at a time
	raising       chan struct{} // lets one request at a time raise marks for its amount
	policy        Policy
	free          int64     // what the ledger had free when last read, or what the home reported instead
	readAt        time.Time // when free was last set
	failedAt      time.Time // when a call to the store last failed
	readStartedAt time.Time // start of the last successful read of the ledger
	seq           int64     // sequence number of the last write of the share's row
	sealed        bool      // the share was ended by a seal or an operator
	written       bool      // the ledger has had a row of the share

	demand             int64     // total amount of the reservations that wait for the share to get more
	shortfall          int64     // what the share lacks while only unreachable peers have it
	shortfallCheckedAt time.Time // when the ledger was last read for others' shortfalls
	noRefillUntil      time.Time // no refill ahead of need is tried before this time

	holders []string // processes of the other open rows, the one with the largest idle amount first

	viaHome    bool      // another process, the home of the budget, draws for this share
	zoneSize   int       // number of holders in the zone, one of which is the home; 0 if each holder draws from the ledger
	returnedAt time.Time // when the share last returned a surplus to its home

	deniedAt     time.Time // when a peer last denied an amount
	deniedAmount int64     // the amount that was denied then

	witnesses []string         // witnesses named in the ledger
	proposed  []string         // witnesses to be named by the next write, or by one of unknown outcome
	acked     map[string]int64 // acknowledged mark by witness
}

// newSyncState returns the state of a new share. Its free amount is 1, since 0
// would mean that a reading showed nothing free.
func newSyncState() syncState {
	return syncState{sem: make(chan struct{}, 1), raising: make(chan struct{}, 1), free: 1, acked: map[string]int64{}}
}

// acquire takes the semaphore for a synchronisation with the ledger, or fails
// when ctx ends.
func (c *syncState) acquire(ctx context.Context) error {
	select {
	case c.sem <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *syncState) release() { <-c.sem }

// target returns what the share should have idle. If its home is another
// process, that is what the recent use needs for viaHomeHorizon. Otherwise it
// is what the demand needs for the outage tolerance, and at least the minimum
// target. The caller holds the lock.
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

// currentPolicy returns the policy by which the share is managed.
func (s *Share) currentPolicy() Policy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sync.policy
}

// setPolicy replaces the policy of the share except for Unwitnessed, which
// stays as it is.
func (s *Share) setPolicy(p Policy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.Unwitnessed = s.sync.policy.Unwitnessed
	s.sync.policy = p
}

// floor returns the amount below which the share counts as nearly empty, enough
// for a few requests. A share below its floor hands over what it has left of a
// scarce budget. The caller holds the lock.
func (s *Share) floor() int64 {
	if f := s.sync.policy.Floor; f > 0 {
		return f
	}
	return floorRequests * min(s.largest, MaxPaid/floorRequests)
}

const (
	// refillThreshold is the fraction of its target below which the idle amount
	// of a share is refilled. boundedRefillThreshold replaces it if
	// Policy.Fraction bounds what all shares hold.
	refillThreshold        = 0.5
	boundedRefillThreshold = 0.7
)

// needsRefill reports whether the share is so far below its target that it
// should be refilled ahead of need. It is false during the pause after a grant
// that was too small.
func (s *Share) needsRefill() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	threshold := refillThreshold
	if s.sync.policy.Fraction > 0 {
		threshold = boundedRefillThreshold
	}
	return !s.closing && float64(s.idle()) < threshold*float64(s.target()) && time.Now().After(s.sync.noRefillUntil)
}

// roundThreshold is the fraction of its target below which a share takes part
// in a round of refills that another share has started.
const roundThreshold = 0.9

// joinsRound reports whether the share should take part in a round of refills.
// It does if it is below roundThreshold of its target, to be refilled, or if it
// holds a large excess, to return that.
func (s *Share) joinsRound() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	target := float64(s.target())
	idle := float64(s.idle())
	return !s.closing && (idle < roundThreshold*target && time.Now().After(s.sync.noRefillUntil) || idle > excessFactor*target)
}

// skipStore reports whether no refill is worth a call to the store now, because
// a recent reading of the ledger showed nothing free or a recent call failed.
func (s *Share) skipStore(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &s.sync
	ttl := cmp.Or(c.policy.EmptyTTL, emptyTTL)
	return c.free <= 0 && now.Sub(c.readAt) < ttl || c.failedAt.After(c.readAt) && now.Sub(c.failedAt) < failureBackoff
}

// storeFailed reports whether a call to the store has failed since the ledger
// was last read or the home last reported in its place.
func (s *Share) storeFailed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sync.failedAt.After(s.sync.readAt)
}

// excessFactor is the multiple of its target above which a share returns what
// exceeds the target.
const excessFactor = 2

// returnExcess counts what the share has available above its target as returned
// to the ledger, for the next write of its row. It does so only if the share
// has at least excessFactor times its target available and Policy.Fraction
// bounds what the share holds. The caller holds the lock.
func (s *Share) returnExcess() {
	excess := s.available() - s.target()
	if s.sync.policy.Fraction == 0 || s.closing || excess < (excessFactor-1)*s.target() || excess <= 0 {
		return
	}
	s.returned += excess
	s.checkInvariant()
}

// scarce reports whether a reading of the ledger within scarceTTL showed
// nothing free and the share is below its floor.
func (s *Share) scarce(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &s.sync
	return c.free <= 0 && now.Sub(c.readAt) < scarceTTL && s.idle() < s.floor()
}

// deniedLately reports whether a peer has denied amount, or less, within
// denialTTL.
func (s *Share) deniedLately(amount int64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.sync.deniedAt) < denialTTL && amount >= s.sync.deniedAmount
}

// noteDenial records that a peer could not provide amount, for deniedLately.
func (s *Share) noteDenial(amount int64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sync.deniedAt, s.sync.deniedAmount = now, amount
}
