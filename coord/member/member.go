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
	// suspectAfter is the number of heartbeat intervals without a new heartbeat after
	// which a process is suspected of having failed.
	suspectAfter = 5
	// recordTTL is how long the record of a process is kept after its last new
	// heartbeat.
	recordTTL = 10 * time.Minute
	// sampleSize is the largest number of members that Lacking returns for one gossip
	// message.
	sampleSize = 48
	// remoteTargets is the number of heartbeats, in one interval and on average, from all
	// members of a zone together to other zones.
	remoteTargets = 4
)

// Member describes one process of the fleet, as spread by gossip. A process sets the
// fields of its own entry. Other processes pass the entry on unchanged.
type Member struct {
	Process   string // "name/incarnation", unique over all processes and restarts
	Zone      string
	Address   string // IP address and port for calls from peers
	Heartbeat uint64 // counter that the process increments at each heartbeat and when it starts to leave
	Leaving   bool   // the process is shutting down
}

// Name returns the instance name that a process ID of the form "name/incarnation"
// begins with.
func Name(process string) string {
	name, _, _ := strings.Cut(process, "/")
	return name
}

// record holds the entry with the highest heartbeat counter received of another
// process, and the time at which this entry arrived.
type record struct {
	Member
	key     uint64 // of the process in digests
	heardAt time.Time
}

// Table holds what one process knows about the members of the fleet. Make one with
// NewTable.
type Table struct {
	interval time.Duration // between two heartbeats of a process

	mu      sync.Mutex
	self    Member                   // this process's own entry
	known   map[string]*record       // other processes, by process ID
	byKey   map[uint64]*record       // the same by key
	nextKey uint64                   // first key of the range of the next digest
	counts  atomic.Pointer[Counts]   // result of Counts; nil before the first heartbeat
	staying atomic.Pointer[[]string] // result of Staying; nil before the first heartbeat
}

// NewTable returns a table that knows only its own process, self. The process must
// call Heartbeat once per interval. The interval is also the unit of the time after
// which another process is suspected.
func NewTable(self Member, interval time.Duration) *Table {
	return &Table{self: self, interval: interval, known: map[string]*record{}, byKey: map[uint64]*record{}}
}

// Heartbeat increments this process's heartbeat counter and returns this process's
// own entry. It also recomputes the result of Counts from the members that are live
// now.
func (t *Table) Heartbeat() Member {
	now := time.Now()
	live := t.Live(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := countLive(t.self, live)
	counts.Missing = t.countMissing(live, now)
	t.counts.Store(counts)
	staying := stayingIDs(t.self, live)
	t.staying.Store(&staying)
	t.self.Heartbeat++
	return t.self
}

// Counts holds numbers of live members at the last heartbeat of this process.
type Counts struct {
	// Others is the number of live members other than this process.
	Others int
	// SameZone is the number of live members in this process's zone that are not
	// leaving, including this process.
	SameZone int
	// Zones is the number of zones with a live member, including the zone of this
	// process.
	Zones int
	// Missing is the number of suspected members that have neither announced that they
	// leave nor been replaced by a later process of the same name.
	Missing int
}

// countLive returns the Counts of a process with the entry self, where live holds
// the other live members.
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

// countMissing returns the number of suspected members that have neither left nor been
// replaced by one of live. The caller holds the lock.
func (t *Table) countMissing(live []Member, now time.Time) int {
	replaced := map[string]bool{Name(t.self.Process): true}
	for _, m := range live {
		replaced[Name(m.Process)] = true
	}
	missing := map[string]bool{}
	for _, r := range t.known {
		if name := Name(r.Process); t.suspect(r, now) && !r.Leaving && !replaced[name] {
			missing[name] = true
		}
	}
	return len(missing)
}

// Counts returns the numbers of live members at the last call of Heartbeat, all 0
// before the first call. It takes no lock, so it is cheap enough to be called for
// each request.
func (t *Table) Counts() Counts {
	if c := t.counts.Load(); c != nil {
		return *c
	}
	return Counts{}
}

// Staying returns the process IDs of the live members that were not leaving at the last
// heartbeat, including this process. The caller must not change them.
func (t *Table) Staying() []string {
	if ids := t.staying.Load(); ids != nil {
		return *ids
	}
	return nil
}

// stayingIDs returns the process IDs of those members that are not leaving.
func stayingIDs(self Member, live []Member) []string {
	var ids []string
	for _, m := range append(live, self) {
		if !m.Leaving {
			ids = append(ids, m.Process)
		}
	}
	return ids
}

// Others returns the number of live members other than this process at the last
// heartbeat.
func (t *Table) Others() int { return t.Counts().Others }

// Self returns this process's own entry.
func (t *Table) Self() Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

// Leave marks this process as leaving. It also increments the heartbeat counter, so
// that other processes accept the new entry.
func (t *Table) Leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.Leaving = true
	t.self.Heartbeat++
}

// Merge stores the received entries whose heartbeat counter is higher than that of
// the known entry of the same process. The time now is recorded as the time of their
// arrival. Merge ignores entries of this process itself and entries without a
// process ID. It also removes the records of processes without a new heartbeat for
// longer than recordTTL.
func (t *Table) Merge(now time.Time, updates ...Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range updates {
		if m.Process == "" || m.Process == t.self.Process {
			continue
		}
		r := t.known[m.Process]
		if r == nil {
			r = &record{key: keyOf(m.Process)}
			t.known[m.Process], t.byKey[r.key] = r, r
		}
		if m.Heartbeat > r.Heartbeat {
			r.Member, r.heardAt = m, now
		}
	}
	for p, r := range t.known {
		if now.Sub(r.heardAt) > recordTTL {
			delete(t.known, p)
			delete(t.byKey, r.key)
		}
	}
}

// Live returns the entries of the other processes that are not suspected of having
// failed. Those in this process's zone come first. Within its zone and within all
// other zones together, the entries are in order of process ID.
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

// ZoneMembers returns the entries of the live processes in this process's zone that are not
// leaving. They include this process, as the first one, unless it is leaving.
func (t *Table) ZoneMembers(now time.Time) []Member {
	self := t.Self()
	var members []Member
	for _, m := range append([]Member{self}, t.Live(now)...) {
		if m.Zone == self.Zone && !m.Leaving {
			members = append(members, m)
		}
	}
	return members
}

// distance returns 0 for a member in this process's zone and 1 for any other member,
// as a sort key.
func (t *Table) distance(m Member) int {
	if m.Zone == t.self.Zone {
		return 0
	}
	return 1
}

// suspect reports whether the last new heartbeat of the process in r arrived more
// than suspectAfter intervals ago.
func (t *Table) suspect(r *record, now time.Time) bool {
	return now.Sub(r.heardAt) > suspectAfter*t.interval
}

// Suspect reports whether a process is suspected of having failed: its heartbeat
// counter has not risen for more than suspectAfter intervals, or the process is
// unknown. This process never suspects itself.
func (t *Table) Suspect(process string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if process == t.self.Process {
		return false
	}
	r := t.known[process]
	return r == nil || t.suspect(r, now)
}

// Address returns the address at which a process accepts calls from peers. The
// second result is false if the process is unknown or is this process itself.
func (t *Table) Address(process string) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.known[process]
	if r == nil {
		return "", false
	}
	return r.Address, true
}

// Targets returns the members to send the next heartbeat to, live ones at random. Most of them
// are in this process's zone: up to count - 1, and as many in other zones as are left. In a zone
// with more than remoteTargets members only some send to another zone each time. In addition,
// one suspected member is chosen at random if there is one, because it may have resumed or may
// be reachable again after a partition.
func (t *Table) Targets(now time.Time, count int) []Member {
	live, zone := t.Live(now), t.Self().Zone
	near := slices.IndexFunc(live, func(m Member) bool { return m.Zone != zone })
	if near < 0 {
		near = len(live)
	}
	remote := live[near:]
	targets := sample(live[:near], count-1)
	switch {
	case len(remote) == 0:
		targets = sample(live, count)
	case near < remoteTargets || rand.IntN(near+1) < remoteTargets:
		targets = append(targets, sample(remote, count-len(targets))...)
	}
	if m, ok := t.randomSuspect(now); ok {
		targets = append(targets, m)
	}
	return targets
}

// sample returns up to count of the given members, at random and in random order.
func sample(members []Member, count int) []Member {
	members = slices.Clone(members)
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	return members[:min(count, len(members))]
}

// randomSuspect returns a suspected member at random. The second result is false if
// no member is suspected.
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
