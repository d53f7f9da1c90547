package member

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// cluster is a group of members that exchange heartbeats in rounds, in simulated
// time.
type cluster struct {
	tables []*Table
	now    time.Time
}

func newCluster(count, zones int) *cluster {
	c := &cluster{now: time.Unix(1_000_000, 0)}
	for i := range count {
		self := Member{Process: fmt.Sprintf("entry-%d/1", i), Zone: fmt.Sprint("z", i%zones), Address: fmt.Sprint("127.0.0.1:", i)}
		c.tables = append(c.tables, NewTable(self, time.Second))
	}
	// At the start each member knows the next one, as if from the instance list.
	for i, t := range c.tables {
		t.Merge(c.now, c.tables[(i+1)%count].Heartbeat())
	}
	return c
}

// round advances the time by one heartbeat interval. Every member then exchanges
// heartbeats with its targets, except those for which connected returns false. round
// returns the number of exchanges, and how many of them were between zones.
func (c *cluster) round(connected func(from, to int) bool) (messages, remote int) {
	c.now = c.now.Add(time.Second)
	index := map[string]int{}
	for i, t := range c.tables {
		index[t.Self().Process] = i
	}
	for i, t := range c.tables {
		self := t.Heartbeat()
		for _, m := range t.Targets(c.now, 3) {
			j := index[m.Process]
			if !connected(i, j) {
				continue
			}
			messages++
			if m.Zone != self.Zone {
				remote++
			}
			exchange(t, c.tables[j], c.now)
		}
	}
	return messages, remote
}

// exchange sends a heartbeat from one table to another, and the reply back.
func exchange(from, to *Table, now time.Time) {
	digest := from.Digest(now)
	to.Merge(now, from.Self())
	to.MergeDigest(now, digest)
	reply := to.Digest(now)
	from.Merge(now, append(to.Lacking(now, digest), to.Self())...)
	from.MergeDigest(now, reply)
}

func allConnected(int, int) bool { return true }

func TestUpdatesReachEveryMember(t *testing.T) {
	c := newCluster(40, 4)
	for range 15 {
		if messages, _ := c.round(allConnected); messages > 40*4 {
			t.Fatalf("%d exchanges took place in a round of 40 members, want at most 160", messages)
		}
	}
	for i, table := range c.tables {
		if n := len(table.Live(c.now)); n != 39 {
			t.Errorf("member %d has %d live members in its table after 15 rounds, want 39", i, n)
		}
	}
}

func TestSuspectAndRecovery(t *testing.T) {
	c := newCluster(8, 4)
	for range 10 {
		c.round(allConnected)
	}
	notPaused := func(from, to int) bool { return from != 3 && to != 3 }
	for range 2 * suspectAfter {
		c.round(notPaused)
	}
	if !c.tables[0].Suspect("entry-3/1", c.now) {
		t.Error("entry-0 does not suspect the paused member entry-3/1 after 10 rounds without its heartbeats, want it suspected")
	}
	if c.tables[0].Suspect("entry-4/1", c.now) {
		t.Error("entry-0 suspects the live member entry-4/1, want it not suspected")
	}
	for range 5 {
		c.round(allConnected)
	}
	if c.tables[0].Suspect("entry-3/1", c.now) {
		t.Error("entry-0 still suspects the member entry-3/1 5 rounds after it resumed, want it not suspected")
	}
}

func TestPartitionKeepsEachSideLive(t *testing.T) {
	c := newCluster(10, 2)
	for range 10 {
		c.round(allConnected)
	}
	sameSide := func(from, to int) bool { return from%2 == to%2 }
	for range 2 * suspectAfter {
		c.round(sameSide)
	}
	for i, table := range c.tables {
		if n := len(table.Live(c.now)); n != 4 {
			t.Errorf("member %d has %d live members in its table during a partition, want the 4 others on its side", i, n)
		}
	}
}

// In a fleet of 78 members in 6 zones all members know each other's heartbeats in time, although
// few messages go between zones.
func TestFewMessagesBetweenZonesKeepAllMembersLive(t *testing.T) {
	const count, zones, rounds = 78, 6, 200
	c := newCluster(count, zones)
	for range 20 {
		c.round(allConnected)
	}
	between, suspected := 0, 0
	for range rounds {
		_, remote := c.round(allConnected)
		between += remote
		for _, table := range c.tables {
			suspected += count - 1 - len(table.Live(c.now))
		}
	}
	if most := rounds * zones * remoteTargets * 5 / 4; between > most {
		t.Errorf("%d messages went between zones, want at most %d", between, most)
	}
	if suspected > 0 {
		t.Errorf("live members were suspected %d times, want never", suspected)
	}
}

// A member that leaves and a new one are known to all in few intervals.
func TestLeavesAndJoinsReachAllZones(t *testing.T) {
	const count, zones, most = 78, 6, 8
	c := newCluster(count, zones)
	for range 20 {
		c.round(allConnected)
	}
	c.tables[5].Leave()
	joined := NewTable(Member{Process: "new/1", Zone: "z2", Address: "127.0.0.1:9999"}, time.Second)
	joined.Merge(c.now, c.tables[0].Self())
	c.tables = append(c.tables, joined)
	for range most {
		c.round(allConnected)
	}
	for i, table := range c.tables[:count] {
		_, known := table.Address("new/1")
		left := i == 5 || slices.ContainsFunc(table.Live(c.now), func(m Member) bool { return m.Process == "entry-5/1" && m.Leaving })
		if !known || !left {
			t.Errorf("after %d intervals, member %d knows the new member: %t, and that the other one leaves: %t, want both", most, i, known, left)
		}
	}
}

func TestStaleUpdatesAreIgnored(t *testing.T) {
	table := NewTable(Member{Process: "a/1", Zone: "x"}, time.Second)
	now := time.Unix(1_000, 0)
	table.Merge(now, Member{Process: "b/1", Heartbeat: 5, Leaving: true})
	table.Merge(now.Add(time.Minute), Member{Process: "b/1", Heartbeat: 5}, Member{Process: "b/1", Heartbeat: 4})
	if !table.Suspect("b/1", now.Add(time.Minute)) {
		t.Error("the member b/1 is not suspected after Merge received its entry without a higher heartbeat counter, want it suspected")
	}
	table.Merge(now, Member{Process: "a/1", Heartbeat: 9, Leaving: true}, Member{})
	if table.Self().Leaving || len(table.Live(now)) != 1 {
		t.Error("Merge stored an entry of the table's own process or an entry without a process ID, want both ignored")
	}
}

func TestMessagesAreBounded(t *testing.T) {
	table := NewTable(Member{Process: "a/1", Zone: "x"}, time.Second)
	now := time.Unix(1_000, 0)
	for i := range 2_600 {
		table.Merge(now, Member{Process: fmt.Sprintf("m%d/1", i), Zone: "x", Heartbeat: 1})
	}
	seen, from := map[uint64]bool{}, uint64(0)
	for range 2_600/digestSize + 1 {
		d := table.Digest(now)
		if len(d.Pulses) > digestSize {
			t.Fatalf("Digest returned %d pulses, want at most %d", len(d.Pulses), digestSize)
		}
		if d.From != from {
			t.Fatalf("the range of the digest begins at key %d, want %d, where the last one ended", d.From, from)
		}
		from = d.To + 1
		for _, p := range d.Pulses {
			seen[p.Key] = true
		}
		if lacking := table.Lacking(now, Digest{To: math.MaxUint64}); len(lacking) > sampleSize {
			t.Fatalf("Lacking returned %d members, want at most %d", len(lacking), sampleSize)
		}
	}
	if len(seen) != 2_600 {
		t.Errorf("successive digests contained %d different members, want all 2600", len(seen))
	}
	table.Merge(now.Add(2*recordTTL), Member{Process: "b/1", Heartbeat: 1})
	if n := len(table.known); n != 1 {
		t.Errorf("the table has records of %d members after all but b/1 expired, want 1", n)
	}
}

func BenchmarkMerge(b *testing.B) {
	for _, size := range []int{5, 50, 500, 2_600} {
		b.Run(fmt.Sprintf("members=%d", size), func(b *testing.B) {
			table := NewTable(Member{Process: "a/1", Zone: "z0"}, time.Second)
			now := time.Now()
			updates := make([]Member, size)
			for i := range updates {
				updates[i] = Member{Process: fmt.Sprintf("m%d/1", i), Zone: fmt.Sprint("z", i%15), Heartbeat: 1}
			}
			table.Merge(now, updates...)
			n := uint64(1)
			for b.Loop() {
				n++
				digest := table.Digest(now)
				for i := range digest.Pulses {
					digest.Pulses[i].Heartbeat = n
				}
				table.MergeDigest(now, digest)
				table.Lacking(now, digest)
				table.Targets(now, 3)
			}
		})
	}
}

func ExampleTable() {
	now := time.Now()
	t := NewTable(Member{Process: "entry-1/ab", Zone: "ikeja"}, time.Second)
	t.Merge(now, Member{Process: "entry-2/cd", Zone: "lekki", Heartbeat: 1})
	fmt.Println(t.Suspect("entry-2/cd", now), t.Suspect("entry-2/cd", now.Add(time.Minute)))
	// Output: false true
}

// TestCounts checks that Counts covers every zone with a member, and the members of
// the same zone that are not leaving.
func TestCounts(t *testing.T) {
	table := NewTable(Member{Process: "a/1", Zone: "ikeja"}, time.Second)
	if got := table.Counts(); got != (Counts{}) {
		t.Errorf("Counts returned %+v before the first heartbeat, want all fields 0", got)
	}
	table.Merge(time.Now(),
		Member{Process: "b/1", Zone: "ikeja", Heartbeat: 1},
		Member{Process: "c/1", Zone: "ikeja", Heartbeat: 1, Leaving: true},
		Member{Process: "d/1", Zone: "yaba", Heartbeat: 1},
		Member{Process: "e/1", Zone: "yaba", Heartbeat: 1},
	)
	table.Heartbeat()
	if got, want := table.Counts(), (Counts{Others: 4, SameZone: 2, Zones: 2}); got != want {
		t.Errorf("Counts returned %+v after a heartbeat, want %+v", got, want)
	}
}

func TestMissingMembersAreThoseThatEndedWithoutNotice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := NewTable(Member{Process: "entry-0/1", Zone: "z"}, time.Second)
		table.Merge(time.Now(),
			Member{Process: "entry-1/1", Heartbeat: 1},                // stays silent
			Member{Process: "entry-2/1", Heartbeat: 1},                // is replaced
			Member{Process: "entry-3/1", Heartbeat: 1, Leaving: true}, // has left
			Member{Process: "entry-4/1", Heartbeat: 1},                // lives
			Member{Process: "entry-5/1", Heartbeat: 1},                // will leave
		)
		time.Sleep(10 * time.Second)
		table.Merge(time.Now(),
			Member{Process: "entry-2/2", Heartbeat: 1}, Member{Process: "entry-4/1", Heartbeat: 2},
			Member{Process: "entry-5/1", Heartbeat: 2, Leaving: true},
		)
		table.Heartbeat()
		if got := table.Counts(); got.Missing != 1 || got.Others != 3 {
			t.Errorf("Counts returned %+v, want 1 missing and 3 others", got)
		}
		staying := slices.Sorted(slices.Values(table.Staying()))
		if want := []string{"entry-0/1", "entry-2/2", "entry-4/1"}; !slices.Equal(staying, want) {
			t.Errorf("Staying returned %v, want %v", staying, want)
		}
	})
}
