package member

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// suspectAfter is after how many intervals without news a process is silent.
	suspectAfter = 5
	// recordTTL is how long a silent process is remembered.
	recordTTL = 10 * time.Minute
	// sampleSize is the most members that one message carries.
	sampleSize = 48
)

// Member is one process as it describes itself.
type Member struct {
	Process   string // "name/incarnation", which no other process ever has
	Zone      string
	Address   string // IP number and port for peers
	Heartbeat uint64 // heartbeats since it began
	Leaving   bool
}

// Name returns the instance name in a process ID.
func Name(process string) string {
	name, _, _ := strings.Cut(process, "/")
	return name
}

type record struct {
	Member
	heard time.Time
}

// Table is what one process knows of the fleet. Make one with NewTable.
type Table struct {
	interval time.Duration

	mu     sync.Mutex
	self   Member
	known  map[string]*record
	next   int // where the next sample begins
	counts atomic.Pointer[Counts]
}

// NewTable returns a table that knows only its own process, which counts a
// heartbeat at every interval.
func NewTable(self Member, interval time.Duration) *Table {
	return &Table{self: self, interval: interval, known: map[string]*record{}}
}

// Heartbeat counts a heartbeat and returns the own entry.
func (t *Table) Heartbeat() Member {
	live := t.Live(time.Now())
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Store(countLive(t.self, live))
	t.self.Heartbeat++
	return t.self
}

// Counts counts the members that were live at the last heartbeat.
type Counts struct {
	// Others are all but this one.
	Others int
	// SameZone are those of the own zone that are not leaving, this one with them.
	SameZone int
	// Zones are those with a member, the own zone with them.
	Zones int
}

func countLive(self Member, live []Member) *Counts {
	c := &Counts{Others: len(live)}
	zones := map[string]bool{self.Zone: true}
	for _, m := range append(live, self) {
		zones[m.Zone] = true
		if m.Zone == self.Zone && !m.Leaving {
			c.SameZone++
		}
	}
	c.Zones = len(zones)
	return c
}

// Counts returns the count of the last heartbeat. It is cheap enough for each
// request.
func (t *Table) Counts() Counts {
	if c := t.counts.Load(); c != nil {
		return *c
	}
	return Counts{}
}

// Others returns the number of other members that were live at the last
// heartbeat.
func (t *Table) Others() int { return t.Counts().Others }

// Self returns the own entry.
func (t *Table) Self() Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

// Leave marks the own process as leaving.
func (t *Table) Leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.Leaving = true
	t.self.Heartbeat++
}

// Merge takes in news of members at a time.
func (t *Table) Merge(now time.Time, news ...Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range news {
		if m.Process == "" || m.Process == t.self.Process {
			continue
		}
		r := t.known[m.Process]
		if r == nil {
			r = &record{}
			t.known[m.Process] = r
		}
		if m.Heartbeat > r.Heartbeat {
			r.Member, r.heard = m, now
		}
	}
	for p, r := range t.known {
		if now.Sub(r.heard) > recordTTL {
			delete(t.known, p)
		}
	}
}

// Live returns the members that are not silent, those of the own zone first,
// then in order of process ID.
func (t *Table) Live(now time.Time) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var live []Member
	for _, r := range t.known {
		if !t.suspect(r, now) {
			live = append(live, r.Member)
		}
	}
	slices.SortFunc(live, func(a, b Member) int {
		return cmp.Or(cmp.Compare(t.distance(a), t.distance(b)), cmp.Compare(a.Process, b.Process))
	})
	return live
}

func (t *Table) distance(m Member) int {
	if m.Zone == t.self.Zone {
		return 0
	}
	return 1
}

func (t *Table) suspect(r *record, now time.Time) bool {
	return now.Sub(r.heard) > suspectAfter*t.interval
}

// Suspect reports whether a process that was once heard has fallen silent. A
// process that was never heard is silent too.
func (t *Table) Suspect(process string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if process == t.self.Process {
		return false
	}
	r := t.known[process]
	return r == nil || t.suspect(r, now)
}

// Address returns where a process takes calls of peers.
func (t *Table) Address(process string) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.known[process]
	if r == nil {
		return "", false
	}
	return r.Address, true
}

// Sample returns up to sampleSize members that are not silent for a message.
// Samples go round, so that in time every member is sent.
func (t *Table) Sample(now time.Time) []Member {
	live := t.Live(now)
	if len(live) <= sampleSize {
		return live
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	sample := make([]Member, sampleSize)
	for i := range sample {
		sample[i] = live[(t.next+i)%len(live)]
	}
	t.next = (t.next + sampleSize) % len(live)
	return sample
}

// Targets returns up to count live members at random, at least one of them in
// another zone where there is one, and one that is silent: it may have woken,
// or a partition may have ended.
func (t *Table) Targets(now time.Time, count int) []Member {
	live := t.Live(now)
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	far := slices.IndexFunc(live, func(m Member) bool { return m.Zone != t.self.Zone })
	if far > 0 {
		live[0], live[far] = live[far], live[0]
	}
	targets := live[:min(count, len(live))]
	if m, ok := t.randomSuspect(now); ok {
		targets = append(targets, m)
	}
	return targets
}

// randomSuspect returns a silent member at random.
func (t *Table) randomSuspect(now time.Time) (Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var silent []Member
	for _, r := range t.known {
		if t.suspect(r, now) {
			silent = append(silent, r.Member)
		}
	}
	if len(silent) == 0 {
		return Member{}, false
	}
	return silent[rand.IntN(len(silent))], true
}
