package escrow

import (
	"math"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Share is one holder's part of one budget. Its methods are safe for
// concurrent use and never wait for the network.
type Share struct {
	budget string
	id     string
	fault  func(error)
	nudge  func(*Share) // told when a scarce budget has something to hand in

	mu       sync.Mutex
	granted  int64
	returned int64
	used     int64
	reserved int64
	sent     int64
	received int64
	limit    int64 // the most that may flow out: acknowledged mark + alone
	closing  bool
	broken   error
	largest  int64 // largest reservation of late
	waiters  queue
	flow     meter
	sentTo   map[string]int64 // cumulative, by share ID of the receiver
	acked    map[string]int64 // how much of sentTo the receiver has credited
	gotFrom  map[string]int64 // cumulative, by share ID of the sender

	sync control
}

// NewShare returns an empty share with an ID that no other share ever had.
// A broken rule is reported to fault, once.
func NewShare(budget, id string, fault func(error)) *Share {
	return &Share{
		budget:  budget,
		id:      id,
		fault:   fault,
		limit:   math.MaxInt64,
		sentTo:  map[string]int64{},
		acked:   map[string]int64{},
		gotFrom: map[string]int64{},
		sync:    newControl(),
	}
}

// Budget returns the budget's name.
func (s *Share) Budget() string { return s.budget }

// ID returns the share's ID.
func (s *Share) ID() string { return s.id }

// Hold is an open reservation. Settle it exactly once.
type Hold struct {
	share  *Share
	amount int64
}

// Amount returns the reserved amount, the most that Settle takes.
func (h Hold) Amount() int64 { return h.amount }

// Share returns the share that the reservation draws on.
func (h Hold) Share() *Share { return h.share }

// Settle ends the reservation. It spends used, at most the reserved amount,
// frees the rest, and returns what was spent.
func (h Hold) Settle(used int64) int64 { return h.share.settle(h.amount, used) }

// Reserve sets amount aside, an upper bound of what a request will use. It
// reports false if the share has no room for it now.
func (s *Share) Reserve(amount int64) (Hold, bool) {
	s.mu.Lock()
	ok := s.take(amount)
	s.mu.Unlock()
	return Hold{share: s, amount: amount}, ok
}

// take reserves amount with the lock held.
func (s *Share) take(amount int64) bool {
	if amount < 0 || s.broken != nil || s.closing {
		return false
	}
	if amount > s.largest {
		s.largest = amount
	}
	if amount > s.room() {
		return false
	}
	s.reserved += amount
	return s.check()
}

func (s *Share) settle(amount, used int64) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	used = min(max(used, 0), amount)
	s.reserved -= amount
	s.used += used
	s.flow.add(used)
	s.check()
	s.wake()
	if s.sync.free <= 0 && s.nudge != nil && len(s.waiters) == 0 {
		s.nudge(s)
	}
	return used
}

// idle returns what is neither used nor reserved.
func (s *Share) idle() int64 {
	return s.granted + s.received - s.sent - s.returned - s.used - s.reserved
}

// outflow returns what has left the share or may yet, on open reservations.
func (s *Share) outflow() int64 { return s.used + s.reserved + s.sent }

// room returns what can be reserved now.
func (s *Share) room() int64 { return min(s.idle(), s.limit-s.outflow()) }

// check asserts rule S2. A share that breaks it refuses for good.
func (s *Share) check() bool {
	if s.idle() >= 0 && s.reserved >= 0 && s.outflow() <= s.limit {
		return true
	}
	if s.broken == nil {
		s.broken = errors.Wrapf(ErrBroken, "share %s of %s: %+v", s.id, s.budget, s.figures())
		if s.fault != nil {
			s.fault(s.broken)
		}
	}
	return false
}

// Figures are the counters of a share at one moment, in micro-units.
type Figures struct {
	granted, returned, used, reserved, sent, received, limit int64
	free                                                     int64
	age                                                      time.Duration
	waiting                                                  int
	rate                                                     float64
}

// Granted returns what was drawn from the platform.
func (f Figures) Granted() int64 { return f.granted }

// Returned returns what was given back to the platform.
func (f Figures) Returned() int64 { return f.returned }

// Used returns what requests have cost.
func (f Figures) Used() int64 { return f.used }

// Reserved returns what open reservations hold.
func (f Figures) Reserved() int64 { return f.reserved }

// Sent returns what was given to peers.
func (f Figures) Sent() int64 { return f.sent }

// Received returns what came from peers.
func (f Figures) Received() int64 { return f.received }

// Idle returns what is neither used nor reserved.
func (f Figures) Idle() int64 {
	return f.granted + f.received - f.sent - f.returned - f.used - f.reserved
}

// Free returns what the book had free when it was last read, and how long ago
// that was.
func (f Figures) Free() (int64, time.Duration) { return f.free, f.age }

// Waiting returns the reservations that wait.
func (f Figures) Waiting() int { return f.waiting }

// Rate returns the use in micro-units per second.
func (f Figures) Rate() float64 { return f.rate }

func (s *Share) figures() Figures {
	return Figures{
		granted: s.granted, returned: s.returned, used: s.used, reserved: s.reserved,
		sent: s.sent, received: s.received, limit: s.limit, waiting: len(s.waiters), rate: s.flow.demand(),
		free: s.sync.free, age: time.Since(s.sync.readAt),
	}
}

// Figures returns the counters as they stand.
func (s *Share) Figures() Figures {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.figures()
}

// Report returns the row that this share would write, as far as the share
// knows it: counters, transfers and state.
func (s *Share) report(r *Row) {
	r.raw.Used = s.used
	r.raw.Sent = copied(s.sentTo)
	r.raw.Received = copied(s.gotFrom)
	r.raw.Returned = max(r.raw.Returned, s.returned)
	r.raw.Rate = int64(math.Round(s.flow.demand()))
}

func copied(m map[string]int64) map[string]int64 {
	if len(m) == 0 {
		return nil
	}
	c := make(map[string]int64, len(m))
	for k, v := range m {
		c[k] = v
	}
	return c
}

// meter measures use per second as a moving average. While it is young it is
// the plain average since the beginning.
type meter struct {
	rate  float64
	fast  float64 // the same over fastTime, to see a sudden rise
	since int64
	begun time.Time
	last  time.Time
}

// meterTime is the time constant of the average.
const meterTime = 30 * time.Second

// fastTime is the time constant of the fast average.
const fastTime = 4 * time.Second

// demand returns the use per second that a share should reckon with. A home that
// has just got back what its mates did not need measures less than nothing.
func (m *meter) demand() float64 { return max(m.rate, m.fast, 0) }

func (m *meter) add(amount int64) { m.since += amount }

// tick folds what was added since the last tick into the average.
func (m *meter) tick(now time.Time) {
	if m.last.IsZero() {
		m.begun, m.last = now, now
		return
	}
	passed := now.Sub(m.last)
	if passed < tickTime/2 {
		return
	}
	fresh := float64(m.since) / passed.Seconds()
	weight := max(1-math.Exp(-passed.Seconds()/meterTime.Seconds()), passed.Seconds()/now.Sub(m.begun).Seconds())
	m.rate += (fresh - m.rate) * weight
	m.fast += (fresh - m.fast) * (1 - math.Exp(-passed.Seconds()/fastTime.Seconds()))
	m.since = 0
	m.last = now
}
