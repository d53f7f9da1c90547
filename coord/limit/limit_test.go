package limit

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

var key = Key{Account: "a", Service: "s"}

// cluster is a group of processes that report their demands to one another every
// second.
type cluster struct{ limiters []*Limiter }

func newCluster(count int) *cluster {
	c := &cluster{}
	names := make([]string, count-1)
	for i := range count {
		c.limiters = append(c.limiters, New(fmt.Sprint("p", i), func() []string { return names }))
	}
	return c
}

// run sends demands[i] requests per second to process i for the given number of
// seconds. It returns how many requests each process admitted. The function
// connected tells whether the reports of process from reach process to.
func (c *cluster) run(limit Limit, seconds int, demands []int, connected func(from, to int) bool) []int {
	admitted := make([]int, len(c.limiters))
	for range seconds {
		for slice := range 20 {
			for i, l := range c.limiters {
				for n := slice; n < demands[i]; n += 20 {
					if release, _, ok := l.Admit(key, limit); ok {
						admitted[i]++
						release()
					}
				}
			}
			time.Sleep(50 * time.Millisecond)
		}
		for i, from := range c.limiters {
			for j, to := range c.limiters {
				if i != j && connected(i, j) {
					to.SetPeer(from.self, from.Demands())
				}
			}
		}
	}
	return admitted
}

func sum(all []int) (s int) {
	for _, n := range all {
		s += n
	}
	return s
}

func allConnected(int, int) bool { return true }

func TestRateIsSharedByDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(5)
		demands := []int{200, 100, 20, 0, 0}
		c.run(Limit{Rate: 100}, 10, demands, allConnected)
		got := c.run(Limit{Rate: 100}, 20, demands, allConnected)
		if total := sum(got); total > 2_000*105/100 || total < 2_000*75/100 {
			t.Errorf("the processes admitted %v requests in 20 s, %d in total, want 1500 to 2100 with a common limit of 2000", got, total)
		}
		if got[0] < got[1] || got[1] < got[2] {
			t.Errorf("the processes admitted %v requests, want the first three in the descending order of their demands %v", got, demands)
		}
	})
}

func TestPartitionDoesNotExceedTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(4)
		demands := []int{100, 100, 100, 100}
		c.run(Limit{Rate: 100}, 10, demands, allConnected)
		sameSide := func(from, to int) bool { return from%2 == to%2 }
		got := c.run(Limit{Rate: 100}, 60, demands, sameSide)
		if total := sum(got); total > 6_000*105/100 {
			t.Errorf("the processes admitted %v requests in 60 s of a partition, %d in total, want at most 6300 with a common limit of 6000", got, total)
		}
	})
}

func TestInFlightRequestsAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New("p", func() []string { return nil })
		limit := Limit{InFlight: 3}
		var releases []func()
		for range 3 {
			release, _, ok := l.Admit(key, limit)
			if !ok {
				t.Fatal("Admit refused a request with fewer than 3 in flight and a limit of 3, want it admitted")
			}
			releases = append(releases, release)
		}
		if _, after, ok := l.Admit(key, limit); ok || after <= 0 {
			t.Errorf("a fourth request with 3 in flight and a limit of 3 was admitted, or its time to retry after is %s; want a refusal with a positive time", after)
		}
		releases[0]()
		if _, _, ok := l.Admit(key, limit); !ok {
			t.Error("Admit refused a request with 2 in flight and a limit of 3 after another request had ended, want it admitted")
		}
	})
}

func TestDemandOfSilentPeerExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New("p", func() []string { return nil })
		l.SetPeer("q", []Demand{{Key: key, Rate: 1_000}})
		c := &cluster{limiters: []*Limiter{l}}
		c.run(Limit{Rate: 100}, 10, []int{200}, allConnected)
		before := sum(c.run(Limit{Rate: 100}, 10, []int{200}, allConnected))
		time.Sleep(DemandTTL)
		c.run(Limit{Rate: 100}, 10, []int{200}, allConnected)
		after := sum(c.run(Limit{Rate: 100}, 10, []int{200}, allConnected))
		if before > 500 || after < 900 {
			t.Errorf("the limiter admitted %d requests in 10 s while the silent peer's demand counted, want at most 500; %d in 10 s after it expired, want at least 900", before, after)
		}
	})
}

func ExampleLimiter() {
	l := New("entry-1/ab", func() []string { return nil })
	k := Key{Account: "field-north", Service: "drafting"}
	_, _, first := l.Admit(k, Limit{InFlight: 1})
	_, _, second := l.Admit(k, Limit{InFlight: 1})
	fmt.Println(first, second)
	// Output: true false
}
