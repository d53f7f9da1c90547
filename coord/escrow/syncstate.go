package escrow

import (
	"cmp"
	"context"
	"time"
)

// syncState is the state of a share besides its counters: its policy, the last
// reading of the ledger, its demand and its witnesses. All fields but the two
// channels are guarded by the share's lock.
type syncState struct {
	sem           chan struct{} // semaphore: one synchronisation of the share with the ledger runs at a time
	raising       chan struct{} // semaphore: one reservation at a time raises the share's marks at its witnesses, if they are too low for its amount
	policy        Policy
	free          int64     // micro-units free in the ledger when last read, or available at the home as it last reported
	readAt        time.Time // when free was last set
	failedAt      time.Time // when a call to the store last failed
	readStartedAt time.Time // start of the last successful read of the ledger
	seq           int64     // sequence number of the last write of the share's row
	sealed        bool      // the share was ended by a peer's seal or by an operator
	written       bool      // a reading or a write of the ledger has shown a row of the share

	demand             int64     // total micro-units of the reservations that wait for the share to get more
	shortfall          int64     // micro-units that the share lacks and only unreachable peers have; 0 if there are none
	shortfallCheckedAt time.Time // when the ledger was last read for the shortfalls of other shares
	killSeenAt         time.Time // when an earlier process of this instance was found to have been killed
	noRefillUntil      time.Time // no refill ahead of need is tried before this time

	holders []string // process IDs of the holders of the other open rows, the holder with the largest idle amount first

	viaHome    bool      // this share gets its amounts from another process, the home of the budget, and not from the ledger
	zoneSize   int       // number of holders in the zone, one of which is the home of the budget; 0 if each holder draws from the ledger
	returnedAt time.Time // when the share last returned a surplus to its home

	denied      failedAttempt // the last amount that a peer denied
	unreachable failedAttempt // the last amount that was tried in vain at all sources, some of them unreachable

	witnesses []string         // process IDs of the witnesses that the share's row names
	proposed  []string         // process IDs of the witnesses that the next write of the row will name, or a write of unknown outcome may have named
	acked     map[string]int64 // highest acknowledged mark of the share in micro-units, by process ID of the witness
}

// newSyncState returns the state of a new share. Its field free is 1, since 0
// would mean that a reading of the ledger showed nothing free.
func newSyncState() syncState {
	return syncState{sem: make(chan struct{}, 1), raising: make(chan struct{}, 1), free: 1, acked: map[string]int64{}}
}

// acquire takes the semaphore for a synchronisation of the share with the
// ledger. It returns the error of ctx if that ends first.
func (c *syncState) acquire(ctx context.Context) error {
	select {
	case c.sem <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *syncState) release() { <-c.sem }

// target returns the amount that the share should have idle, in micro-units.
// For a share that gets its amounts from another process, the home of the
// budget, that is the use in viaHomeHorizon at the recent rate of spending.
// Otherwise it is the use in the outage tolerance at the rate of spending, and
// at least the minimum target. The caller holds the lock.
func (s *Share) target() int64 {
	if s.sync.viaHome {
		return int64(min(max(s.meter.fast, 0)*viaHomeHorizon.Seconds(), MaxPaid))
	}
	demand := s.meter.demand() * s.outageTolerance(time.Now()).Seconds()
	minTarget := s.sync.policy.MinTarget
	if minTarget == 0 {
		minTarget = minTargetRequests * min(s.largest, MaxPaid/minTargetRequests)
	}
	return max(int64(min(demand, MaxPaid)), minTarget)
}

// outageTolerance returns the time for which the target of the share covers its demand.
// The caller holds the lock.
func (s *Share) outageTolerance(now time.Time) time.Duration {
	p := s.sync.policy
	if p.ToleranceAfterKill > 0 && now.Sub(s.sync.killSeenAt) < killMemory {
		return min(p.OutageTolerance, p.ToleranceAfterKill)
	}
	return p.OutageTolerance
}

// noteKill records that an earlier process of this instance was killed.
func (s *Share) noteKill(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sync.killSeenAt = now
}

// currentPolicy returns a copy of the policy of the share.
func (s *Share) currentPolicy() Policy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sync.policy
}

// setPolicy replaces the policy of the share, except that the share keeps its
// value of Unwitnessed.
func (s *Share) setPolicy(p Policy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.Unwitnessed = s.sync.policy.Unwitnessed
	s.sync.policy = p
}

// floor returns the amount below which the share counts as nearly empty, enough
// for a few requests. A share below its floor transfers its available amount to
// the collector while the budget is scarce. The caller holds the lock.
func (s *Share) floor() int64 {
	if f := s.sync.policy.Floor; f > 0 {
		return f
	}
	return floorRequests * min(s.largest, MaxPaid/floorRequests)
}

const (
	// refillThreshold is the fraction of its target below which the idle amount of
	// a share is refilled.
	refillThreshold = 0.5
	// boundedRefillThreshold replaces refillThreshold if Policy.Fraction bounds
	// the amounts that the shares may hold.
	boundedRefillThreshold = 0.7
)

// needsRefill reports whether the idle amount of the share is so far below its
// target that the share should be refilled ahead of need. It is false for a
// closing share and during the pause after a grant that was too small to be
// worth a write.
func (s *Share) needsRefill() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	threshold := refillThreshold
	if s.sync.policy.Fraction > 0 {
		threshold = boundedRefillThreshold
	}
	return !s.closing && float64(s.idle()) < threshold*float64(s.target()) && time.Now().After(s.sync.noRefillUntil)
}

// roundThreshold is the fraction of its target below which the idle amount of a
// share is refilled in a round of refills that another share has caused.
const roundThreshold = 0.9

// joinsRound reports whether the share should take part in a round of refills.
// There are two reasons. Either the share has less than roundThreshold of its
// target idle, is to be refilled, and no pause after a grant that was too small
// applies. Or it has more than excessFactor times its target idle and is to
// return the excess.
func (s *Share) joinsRound() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	target := float64(s.target())
	idle := float64(s.idle())
	return !s.closing && (idle < roundThreshold*target && time.Now().After(s.sync.noRefillUntil) || idle > excessFactor*target)
}

// skipStore reports whether a refill should not call the store now. It should
// not while a reading of the ledger that showed nothing free is still valid
// (Policy.EmptyTTL). It also should not within failureBackoff after a failed
// call, unless the ledger was read since.
func (s *Share) skipStore(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &s.sync
	ttl := cmp.Or(c.policy.EmptyTTL, emptyTTL)
	return c.free <= 0 && now.Sub(c.readAt) < ttl || c.failedAt.After(c.readAt) && now.Sub(c.failedAt) < failureBackoff
}

// storeFailed reports whether the last call to the store for this share failed:
// a call has failed since the ledger was last read or the home last reported in
// its place.
func (s *Share) storeFailed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sync.failedAt.After(s.sync.readAt)
}

// excessFactor is the multiple of its target from which on a share returns the
// excess over the target to the ledger.
const excessFactor = 2

// returnExcess counts the available amount above the share's target as returned
// to the ledger. The next write of the row records it there. It does so only if
// the share has at least excessFactor times its target available and
// Policy.Fraction bounds the amounts that shares hold. The caller holds the
// lock.
func (s *Share) returnExcess() {
	excess := s.available() - s.target()
	if s.sync.policy.Fraction == 0 || s.closing || excess < (excessFactor-1)*s.target() || excess <= 0 {
		return
	}
	s.returned += excess
	s.checkInvariant()
}

// scarce reports whether the budget is scarce and the share is nearly empty: a
// reading of the ledger within scarceTTL showed nothing free, and the share's
// idle amount is below its floor.
func (s *Share) scarce(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &s.sync
	return c.free <= 0 && now.Sub(c.readAt) < scarceTTL && s.idle() < s.floor()
}

// failedAttempt is an amount that a share could not get, and when it tried.
type failedAttempt struct {
	at     time.Time
	amount int64 // in micro-units
}

// covers reports whether an attempt at amount would fail as well: it is as much or more, and the
// failed attempt is younger than ttl.
func (f failedAttempt) covers(amount int64, ttl time.Duration, now time.Time) bool {
	return now.Sub(f.at) < ttl && amount >= f.amount
}

// failedLately returns the error with which amount, or a smaller one, has just failed:
// ErrExhausted if a peer has denied it within denialTTL, ErrUnreachable if it was tried in vain at all
// sources within unreachableTTL, and nil otherwise.
func (s *Share) failedLately(amount int64, now time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.sync.denied.covers(amount, denialTTL, now):
		return ErrExhausted
	case s.sync.unreachable.covers(amount, unreachableTTL, now):
		return ErrUnreachable
	}
	return nil
}

// noteDenial records that a peer could not provide amount at the time now.
// failedLately uses the record.
func (s *Share) noteDenial(amount int64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sync.denied = failedAttempt{at: now, amount: amount}
}

// noteUnreachable records that amount was tried in vain at all sources at the time now.
// failedLately uses the record.
func (s *Share) noteUnreachable(amount int64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sync.unreachable = failedAttempt{at: now, amount: amount}
}
