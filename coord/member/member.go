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
	// suspectAfter is the number of intervals without a new heartbeat after which a
	// process is suspected.
	suspectAfter = 5
	// recordTTL is how long a process is remembered after its last new heartbeat.
	recordTTL = 10 * time.Minute
	// sampleSize is the most members that one message carries.
	sampleSize = 48
)

// Member describes one process. The process itself sets the fields.
type Member struct {
	Process   string // "name/incarnation", unique over all processes and restarts
	Zone      string
	Address   string // IP address and port for calls from peers
	Heartbeat uint64 // number of heartbeats since the process started
	Leaving   bool
}

// Name returns the instance name in a process ID.
func Name(process string) string {
	name, _, _ := strings.Cut(process, "/")
	return name
}

type record struct {
	Member
	heardAt time.Time
}

// Table is one process's view of the fleet's members. Make one with NewTable.
type Table struct {
	interval time.Duration

	mu         sync.Mutex
	self       Member
	known      map[string]*record
	nextSample int // index of the first member of the next sample
	counts     atomic.Pointer[Counts]
}

// NewTable returns a table that knows only its own process. Each process must
// call Heartbeat once per interval.
func NewTable(self Member, interval time.Duration) *Table {
	return &Table{self: self, interval: interval, known: map[string]*record{}}
}

// Heartbeat increments this process's heartbeat counter, updates Counts and
// returns this process's entry as a member.
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
	// Others is the number of members other than this one.
	Others int
	// SameZone is the number of members of this zone that are not leaving, including
	// this one.
	SameZone int
	// Zones is the number of zones with a member, including this zone.
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

// Counts returns the counts of the last heartbeat. It is cheap enough to be called
// for each request.
func (t *Table) Counts() Counts {
	if c := t.counts.Load(); c != nil {
		return *c
	}
	return Counts{}
}

// Others returns the number of other members that were live at the last
// heartbeat.
func (t *Table) Others() int { return t.Counts().Others }

// Self returns this process's entry.
func (t *Table) Self() Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

// Leave marks this process as leaving.
func (t *Table) Leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.Leaving = true
	t.self.Heartbeat++
}

// Merge applies the updates whose heartbeat counter is higher than the known one,
// as received at the time now, and removes expired records.
func (t *Table) Merge(now time.Time, updates ...Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range updates {
		if m.Process == "" || m.Process == t.self.Process {
			continue
		}
		r := t.known[m.Process]
		if r == nil {
			r = &record{}
			t.known[m.Process] = r
		}
		if m.Heartbeat > r.Heartbeat {
			r.Member, r.heardAt = m, now
		}
	}
	for p, r := range t.known {
		if now.Sub(r.heardAt) > recordTTL {
			delete(t.known, p)
		}
	}
}

// Live returns the members that are not suspected: those of this zone first, each
// group in order of process ID.
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
	return now.Sub(r.heardAt) > suspectAfter*t.interval
}

// Suspect reports whether a process is suspected of having failed: its heartbeat
// counter has not risen for suspectAfter intervals, or it is unknown.
func (t *Table) Suspect(process string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if process == t.self.Process {
		return false
	}
	r := t.known[process]
	return r == nil || t.suspect(r, now)
}

// Address returns the address at which a process accepts calls from peers.
func (t *Table) Address(process string) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.known[process]
	if r == nil {
		return "", false
	}
	return r.Address, true
}

// Sample returns up to sampleSize live members for a message. Successive samples
// rotate through the members, so that every member is sent eventually.
func (t *Table) Sample(now time.Time) []Member {
	live := t.Live(now)
	if len(live) <= sampleSize {
		return live
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	sample := make([]Member, sampleSize)
	for i := range sample {
		sample[i] = live[(t.nextSample+i)%len(live)]
	}
	t.nextSample = (t.nextSample + sampleSize) % len(live)
	return sample
}

// Targets returns the members to send the next heartbeat to: up to count live
// members at random, at least one of them in another zone if there is one, and one
// suspect, which may have resumed or may be reachable again after a partition.
func (t *Table) Targets(now time.Time, count int) []Member {
	live := t.Live(now)
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	remote := slices.IndexFunc(live, func(m Member) bool { return m.Zone != t.self.Zone })
	if remote > 0 {
		live[0], live[remote] = live[remote], live[0]
	}
	targets := live[:min(count, len(live))]
	if m, ok := t.randomSuspect(now); ok {
		targets = append(targets, m)
	}
	return targets
}

// randomSuspect returns a suspected member at random.
func (t *Table) randomSuspect(now time.Time) (Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var suspects []Member
	for _, r := range t.known {
		if t.suspect(r, now) {
			suspects = append(suspects, r.Member)
		}
	}
	if len(suspects) == 0 {
		return Member{}, false
	}
	return suspects[rand.IntN(len(suspects))], true
}
