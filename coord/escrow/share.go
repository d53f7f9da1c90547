package escrow

import (
	"math"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Share is the part of one budget that one holder may spend. Its methods are
// safe for concurrent use and never wait for the network.
type Share struct {
	budget      string
	id          string
	onViolation func(error)
	onScarce    func(*Share) // called after a settlement if the ledger had nothing free when last read and no reservation waits

	mu           sync.Mutex
	granted      int64
	returned     int64
	used         int64
	reserved     int64
	sent         int64
	received     int64
	limit        int64 // upper bound of the outflow: acknowledged mark + Policy.Unwitnessed, in micro-units
	closing      bool  // takes no more reservations and transfers
	violation    error // first violation of S2, nil if there is none
	largest      int64 // largest amount that a reservation has asked for so far
	waiters      queue
	meter        rateMeter
	sentTo       map[string]int64 // total micro-units transferred to each share, by share ID of the receiver
	acked        map[string]int64 // part of sentTo that the receiver has credited, by share ID of the receiver
	receivedFrom map[string]int64 // total micro-units credited from each share, by share ID of the sender

	sync syncState
}

// NewShare returns a share of a budget that holds nothing yet. Its ID must
// never be reused for another share. The first violation of invariant S2 (a
// share spends no more than it received) is reported to onViolation, unless
// that is nil.
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

// Hold is an open reservation of a share. It must be settled exactly once.
type Hold struct {
	share  *Share
	amount int64
}

// Amount returns the reserved amount in micro-units, the most that Settle
// spends.
func (h Hold) Amount() int64 { return h.amount }

// Share returns the share that holds the reservation.
func (h Hold) Share() *Share { return h.share }

// Settle ends the reservation. It spends used micro-units, at most the reserved
// amount and at least 0, frees the rest, and returns the amount spent.
func (h Hold) Settle(used int64) int64 { return h.share.settle(h.amount, used) }

// Reserve reserves amount, in micro-units, an upper bound of the cost of a
// request. It reports false, and reserves nothing, if the share does not have
// that much available or takes no more reservations.
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

// settle ends a reservation of amount. It spends used micro-units of that
// amount, at most amount and at least 0, and returns the amount spent.
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

// idle returns the amount that the share holds and that is neither used nor
// reserved, in micro-units. The caller holds the lock.
func (s *Share) idle() int64 {
	return s.granted + s.received - s.sent - s.returned - s.used - s.reserved
}

// outflow returns the amount, in micro-units, that has left the share or may
// still leave it through open reservations: used, reserved and sent. The caller
// holds the lock.
func (s *Share) outflow() int64 { return s.used + s.reserved + s.sent }

// available returns the amount that can be reserved now: the idle amount, as
// far as the limit of the outflow allows. The caller holds the lock.
func (s *Share) available() int64 { return min(s.idle(), s.limit-s.outflow()) }

// checkInvariant reports whether the share has spent no more than it received
// (invariant S2) and its outflow is within its limit. The first violation is
// reported to onViolation, and the share then refuses all further reservations.
// The caller holds the lock.
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

// Stats are the counters of a share at one moment, in micro-units unless an
// accessor says otherwise.
type Stats struct {
	granted, returned, used, reserved, sent, received, limit int64
	free                                                     int64
	age                                                      time.Duration
	waiting                                                  int
	rate                                                     float64
}

// Granted returns the total that the share has drawn from the ledger.
func (st Stats) Granted() int64 { return st.granted }

// Returned returns the total that the share has given back to the ledger.
func (st Stats) Returned() int64 { return st.returned }

// Used returns the total cost of settled reservations.
func (st Stats) Used() int64 { return st.used }

// Reserved returns the total amount of open reservations.
func (st Stats) Reserved() int64 { return st.reserved }

// Sent returns the total that the share has transferred to peers' shares.
func (st Stats) Sent() int64 { return st.sent }

// Received returns the total that the share has received from peers' shares.
func (st Stats) Received() int64 { return st.received }

// Idle returns the amount that the share holds and that is neither used nor
// reserved.
func (st Stats) Idle() int64 {
	return st.granted + st.received - st.sent - st.returned - st.used - st.reserved
}

// Free returns the amount that the ledger had free when it was last read, and
// the time since that reading. For a share that gets its amounts from the home
// of the budget, both refer to the home's last report instead.
func (st Stats) Free() (int64, time.Duration) { return st.free, st.age }

// Waiting returns the number of reservations that wait in the share's queue.
func (st Stats) Waiting() int { return st.waiting }

// Rate returns the rate of spending by which the target of the share is set, in
// micro-units per second.
func (st Stats) Rate() float64 { return st.rate }

// statsLocked does the work of Stats. The caller holds the lock.
func (s *Share) statsLocked() Stats {
	return Stats{
		granted: s.granted, returned: s.returned, used: s.used, reserved: s.reserved,
		sent: s.sent, received: s.received, limit: s.limit, waiting: len(s.waiters), rate: s.meter.demand(),
		free: s.sync.free, age: time.Since(s.sync.readAt),
	}
}

// Stats returns a copy of the share's counters, all taken at one moment.
func (s *Share) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.statsLocked()
}

// fillRow copies the share's counters, transfers and rate of spending into its
// row r. The drawn amount is not copied, since the row itself is its source.
// The caller holds the lock.
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

// rateMeter measures a share's rate of spending, in micro-units per second, by
// two exponential moving averages. While the meter has run for less than slowWindow, the slow
// average is the plain average since the start.
type rateMeter struct {
	rate      float64 // average spending over slowWindow, in micro-units per second
	fast      float64 // average spending over fastWindow, in micro-units per second, to detect a sudden rise
	pending   int64   // micro-units spent since the last tick
	startedAt time.Time
	tickedAt  time.Time
}

// slowWindow is the time constant of rateMeter.rate, the slow moving average.
const slowWindow = 30 * time.Second

// fastWindow is the time constant of rateMeter.fast, the fast moving average.
const fastWindow = 4 * time.Second

// demand returns the rate of spending by which the target of a share is set, in
// micro-units per second: the larger of the two averages, at least 0. An
// average is negative at a home that has just got back unused amounts from
// other members of its zone.
func (m *rateMeter) demand() float64 { return max(m.rate, m.fast, 0) }

// add counts amount, in micro-units, as spent since the last tick. A negative
// amount was given back.
func (m *rateMeter) add(amount int64) { m.pending += amount }

// tick includes the spending since the last tick in the averages. It does
// nothing within half a tickInterval after the last tick.
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
