package escrow

import (
	"math"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Share is one holder's part of one budget. Its methods are safe for concurrent
// use and never wait for the network.
type Share struct {
	budget      string
	id          string
	onViolation func(error)
	onScarce    func(*Share) // called after a settlement if the store has nothing free and no reservation waits

	mu           sync.Mutex
	granted      int64
	returned     int64
	used         int64
	reserved     int64
	sent         int64
	received     int64
	limit        int64 // upper bound of the outflow: acknowledged mark + unwitnessed amount
	closing      bool  // takes no more reservations and transfers
	violation    error // first violation of S2, nil if there is none
	largest      int64 // largest amount asked for so far
	waiters      queue
	meter        rateMeter
	sentTo       map[string]int64 // cumulative, by share ID of the receiver
	acked        map[string]int64 // how much of sentTo its receiver has credited, by share ID
	receivedFrom map[string]int64 // cumulative, by share ID of the sender

	sync syncState
}

// NewShare returns a share that holds nothing. No other share may ever have the
// same ID. The first violation of invariant S2 is reported to onViolation,
// unless that is nil.
func NewShare(budget, id string, onViolation func(error)) *Share {
	return &Share{
		budget:       budget,
		id:           id,
		onViolation:  onViolation,
		limit:        math.MaxInt64,
		sentTo:       map[string]int64{},
		acked:        map[string]int64{},
		receivedFrom: map[string]int64{},
		sync:         newSyncState(),
	}
}

// Budget returns the budget's name.
func (s *Share) Budget() string { return s.budget }

// ID returns the share's ID, the process ID of its holder and a number.
func (s *Share) ID() string { return s.id }

// Hold is an open reservation. It must be settled exactly once.
type Hold struct {
	share  *Share
	amount int64
}

// Amount returns the reserved amount, the most that Settle spends.
func (h Hold) Amount() int64 { return h.amount }

// Share returns the share that holds the reservation.
func (h Hold) Share() *Share { return h.share }

// Settle ends the reservation. It spends used, at most the reserved amount,
// frees the rest, and returns the amount spent.
func (h Hold) Settle(used int64) int64 { return h.share.settle(h.amount, used) }

// Reserve reserves amount, an upper bound of what a request will use. It
// reports false if the share does not have that much available.
func (s *Share) Reserve(amount int64) (Hold, bool) {
	s.mu.Lock()
	ok := s.reserveLocked(amount)
	s.mu.Unlock()
	return Hold{share: s, amount: amount}, ok
}

// reserveLocked reserves amount and reports whether that succeeded. The caller
// holds the lock.
func (s *Share) reserveLocked(amount int64) bool {
	if amount < 0 || s.violation != nil || s.closing {
		return false
	}
	if amount > s.largest {
		s.largest = amount
	}
	if amount > s.available() {
		return false
	}
	s.reserved += amount
	return s.checkInvariant()
}

// settle ends a reservation of amount, spends used of it, at most amount and at
// least 0, and returns what it spent.
func (s *Share) settle(amount, used int64) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	used = min(max(used, 0), amount)
	s.reserved -= amount
	s.used += used
	s.meter.add(used)
	s.checkInvariant()
	s.admitWaiters()
	if s.sync.free <= 0 && s.onScarce != nil && len(s.waiters) == 0 {
		s.onScarce(s)
	}
	return used
}

// idle returns what the share holds that is neither used nor reserved. The
// caller holds the lock.
func (s *Share) idle() int64 {
	return s.granted + s.received - s.sent - s.returned - s.used - s.reserved
}

// outflow returns what has left the share or may still leave it through open
// reservations: used, reserved and sent. The caller holds the lock.
func (s *Share) outflow() int64 { return s.used + s.reserved + s.sent }

// available returns what can be reserved now: the idle amount, as far as the
// limit of the outflow allows. The caller holds the lock.
func (s *Share) available() int64 { return min(s.idle(), s.limit-s.outflow()) }

// checkInvariant reports whether invariant S2 holds and the outflow is within
// its limit. The first violation is reported to onViolation, and the share then
// refuses all further reservations. The caller holds the lock.
func (s *Share) checkInvariant() bool {
	if s.idle() >= 0 && s.reserved >= 0 && s.outflow() <= s.limit {
		return true
	}
	if s.violation == nil {
		s.violation = errors.Wrapf(ErrInvariant, "share %s of budget %s with counters %+v", s.id, s.budget, s.statsLocked())
		if s.onViolation != nil {
			s.onViolation(s.violation)
		}
	}
	return false
}

// Stats are the counters of a share at one moment, in micro-units.
type Stats struct {
	granted, returned, used, reserved, sent, received, limit int64
	free                                                     int64
	age                                                      time.Duration
	waiting                                                  int
	rate                                                     float64
}

// Granted returns what the share drew from the ledger.
func (st Stats) Granted() int64 { return st.granted }

// Returned returns what the share gave back to the ledger.
func (st Stats) Returned() int64 { return st.returned }

// Used returns the total cost of settled reservations.
func (st Stats) Used() int64 { return st.used }

// Reserved returns the total amount of open reservations.
func (st Stats) Reserved() int64 { return st.reserved }

// Sent returns what was transferred to peers.
func (st Stats) Sent() int64 { return st.sent }

// Received returns what was transferred from peers.
func (st Stats) Received() int64 { return st.received }

// Idle returns what the share holds that is neither used nor reserved.
func (st Stats) Idle() int64 {
	return st.granted + st.received - st.sent - st.returned - st.used - st.reserved
}

// Free returns what the ledger had free when it was last read, or what the home
// of the budget last reported instead, and how long ago that was.
func (st Stats) Free() (int64, time.Duration) { return st.free, st.age }

// Waiting returns the number of waiting reservations.
func (st Stats) Waiting() int { return st.waiting }

// Rate returns the use by which the share is sized, in micro-units per second.
func (st Stats) Rate() float64 { return st.rate }

// statsLocked returns the current counters. The caller holds the lock.
func (s *Share) statsLocked() Stats {
	return Stats{
		granted: s.granted, returned: s.returned, used: s.used, reserved: s.reserved,
		sent: s.sent, received: s.received, limit: s.limit, waiting: len(s.waiters), rate: s.meter.demand(),
		free: s.sync.free, age: time.Since(s.sync.readAt),
	}
}

// Stats returns a copy of the share's current counters.
func (s *Share) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.statsLocked()
}

// fillRow copies the share's counters, transfers and rate into its row r, all
// but what it drew. The caller holds the lock.
func (s *Share) fillRow(r *Row) {
	r.fields.Used = s.used
	r.fields.Sent = cloneMap(s.sentTo)
	r.fields.Received = cloneMap(s.receivedFrom)
	r.fields.Returned = max(r.fields.Returned, s.returned)
	r.fields.Rate = int64(math.Round(s.meter.demand()))
}

// cloneMap returns a copy of m, nil if m is empty.
func cloneMap(m map[string]int64) map[string]int64 {
	if len(m) == 0 {
		return nil
	}
	c := make(map[string]int64, len(m))
	for k, v := range m {
		c[k] = v
	}
	return c
}

// rateMeter measures the use per second by two exponential moving averages. The
// slow average is the plain average since the start while the meter has run for
// less than slowWindow.
type rateMeter struct {
	rate      float64 // average over slowWindow, in micro-units per second
	fast      float64 // average over fastWindow, to detect a sudden rise
	pending   int64   // micro-units used since the last tick
	startedAt time.Time
	tickedAt  time.Time
}

// slowWindow is the time constant of the average rateMeter.rate.
const slowWindow = 30 * time.Second

// fastWindow is the time constant of the average rateMeter.fast.
const fastWindow = 4 * time.Second

// demand returns the use per second by which a share is sized: the larger of
// the two averages, at least 0. An average is negative at a home that has just
// got back what other members of its zone did not need.
func (m *rateMeter) demand() float64 { return max(m.rate, m.fast, 0) }

// add counts amount as used since the last tick; a negative amount was given
// back.
func (m *rateMeter) add(amount int64) { m.pending += amount }

// tick adds what was used since the last tick to the averages. It does nothing
// within half a tickInterval after the last tick.
func (m *rateMeter) tick(now time.Time) {
	if m.tickedAt.IsZero() {
		m.startedAt, m.tickedAt = now, now
		return
	}
	passed := now.Sub(m.tickedAt)
	if passed < tickInterval/2 {
		return
	}
	current := float64(m.pending) / passed.Seconds()
	weight := max(1-math.Exp(-passed.Seconds()/slowWindow.Seconds()), passed.Seconds()/now.Sub(m.startedAt).Seconds())
	m.rate += (current - m.rate) * weight
	m.fast += (current - m.fast) * (1 - math.Exp(-passed.Seconds()/fastWindow.Seconds()))
	m.pending = 0
	m.tickedAt = now
}
