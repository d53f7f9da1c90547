package member

import (
	"fmt"
	"testing"
	"time"
)

// fleet is members that exchange heartbeats by hand.
type fleet struct {
	tables []*Table
	now    time.Time
}

func newFleet(count, zones int) *fleet {
	f := &fleet{now: time.Unix(1_000_000, 0)}
	for i := range count {
		self := Member{Process: fmt.Sprintf("entry-%d/1", i), Zone: fmt.Sprint("z", i%zones), Address: fmt.Sprint("127.0.0.1:", i)}
		f.tables = append(f.tables, NewTable(self, time.Second))
	}
	// Each knows the next at the start, as from the instance list.
	for i, t := range f.tables {
		t.Merge(f.now, f.tables[(i+1)%count].Heartbeat())
	}
	return f
}

// round lets every member that talks exchange heartbeats with a few.
func (f *fleet) round(talks func(from, to int) bool) (messages int) {
	f.now = f.now.Add(time.Second)
	index := map[string]int{}
	for i, t := range f.tables {
		index[t.Self().Process] = i
	}
	for i, t := range f.tables {
		self := t.Heartbeat()
		for _, m := range t.Targets(f.now, 3) {
			j := index[m.Process]
			if !talks(i, j) {
				continue
			}
			messages++
			other := f.tables[j]
			other.Merge(f.now, append(t.Sample(f.now), self)...)
			t.Merge(f.now, append(other.Sample(f.now), other.Self())...)
		}
	}
	return messages
}

func all(int, int) bool { return true }

func TestNewsReachesEveryMember(t *testing.T) {
	f := newFleet(40, 4)
	for range 15 {
		if messages := f.round(all); messages > 40*4 {
			t.Fatalf("%d messages in a round of 40 members", messages)
		}
	}
	for i, tab := range f.tables {
		if n := len(tab.Live(f.now)); n != 39 {
			t.Errorf("member %d knows %d others of 39", i, n)
		}
	}
}

func TestSilenceAndReturn(t *testing.T) {
	f := newFleet(8, 4)
	for range 10 {
		f.round(all)
	}
	paused := func(from, to int) bool { return from != 3 && to != 3 }
	for range 2 * suspectAfter {
		f.round(paused)
	}
	if !f.tables[0].Suspect("entry-3/1", f.now) {
		t.Error("a paused member is not silent")
	}
	if f.tables[0].Suspect("entry-4/1", f.now) {
		t.Error("a live member is silent")
	}
	for range 5 {
		f.round(all)
	}
	if f.tables[0].Suspect("entry-3/1", f.now) {
		t.Error("a member that woke is still silent")
	}
}

func TestPartitionLeavesEachSideWhole(t *testing.T) {
	f := newFleet(10, 2)
	for range 10 {
		f.round(all)
	}
	same := func(from, to int) bool { return from%2 == to%2 }
	for range 2 * suspectAfter {
		f.round(same)
	}
	for i, tab := range f.tables {
		if n := len(tab.Live(f.now)); n != 4 {
			t.Errorf("member %d sees %d others on its side of 4", i, n)
		}
	}
}

func TestOldNewsChangesNothing(t *testing.T) {
	tab := NewTable(Member{Process: "a/1", Zone: "x"}, time.Second)
	now := time.Unix(1_000, 0)
	tab.Merge(now, Member{Process: "b/1", Heartbeat: 5, Leaving: true})
	tab.Merge(now.Add(time.Minute), Member{Process: "b/1", Heartbeat: 5}, Member{Process: "b/1", Heartbeat: 4})
	if !tab.Suspect("b/1", now.Add(time.Minute)) {
		t.Error("old news made a silent member live")
	}
	tab.Merge(now, Member{Process: "a/1", Heartbeat: 9, Leaving: true}, Member{})
	if tab.Self().Leaving || len(tab.Live(now)) != 1 {
		t.Error("news of the own process was taken in")
	}
}

func TestMessagesAreBounded(t *testing.T) {
	tab := NewTable(Member{Process: "a/1", Zone: "x"}, time.Second)
	now := time.Unix(1_000, 0)
	for i := range 2_600 {
		tab.Merge(now, Member{Process: fmt.Sprintf("m%d/1", i), Zone: "x", Heartbeat: 1})
	}
	seen := map[string]bool{}
	for range 2_600/sampleSize + 1 {
		sample := tab.Sample(now)
		if len(sample) > sampleSize {
			t.Fatalf("a message carries %d members", len(sample))
		}
		for _, m := range sample {
			seen[m.Process] = true
		}
	}
	if len(seen) != 2_600 {
		t.Errorf("samples came to %d members of 2600", len(seen))
	}
	tab.Merge(now.Add(2*recordTTL), Member{Process: "b/1", Heartbeat: 1})
	if n := len(tab.known); n != 1 {
		t.Errorf("%d members are remembered", n)
	}
}

func BenchmarkMerge(b *testing.B) {
	for _, size := range []int{5, 50, 500, 2_600} {
		b.Run(fmt.Sprintf("members=%d", size), func(b *testing.B) {
			tab := NewTable(Member{Process: "a/1", Zone: "z0"}, time.Second)
			now := time.Now()
			news := make([]Member, size)
			for i := range news {
				news[i] = Member{Process: fmt.Sprintf("m%d/1", i), Zone: fmt.Sprint("z", i%15), Heartbeat: 1}
			}
			tab.Merge(now, news...)
			n := uint64(1)
			for b.Loop() {
				n++
				sample := tab.Sample(now)
				for i := range sample {
					sample[i].Heartbeat = n
				}
				tab.Merge(now, sample...)
				tab.Targets(now, 3)
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

// A census counts zones with a member, and near ones that stay.
func TestCensus(t *testing.T) {
	table := NewTable(Member{Process: "a/1", Zone: "ikeja"}, time.Second)
	if got := table.Counts(); got != (Counts{}) {
		t.Errorf("%+v before the first heartbeat", got)
	}
	table.Merge(time.Now(),
		Member{Process: "b/1", Zone: "ikeja", Heartbeat: 1},
		Member{Process: "c/1", Zone: "ikeja", Heartbeat: 1, Leaving: true},
		Member{Process: "d/1", Zone: "yaba", Heartbeat: 1},
		Member{Process: "e/1", Zone: "yaba", Heartbeat: 1},
	)
	table.Heartbeat()
	if got, want := table.Counts(), (Counts{Others: 4, SameZone: 2, Zones: 2}); got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
}
