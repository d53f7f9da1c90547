package limit

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

var key = Key{Account: "a", Service: "s"}

// fleet is processes that tell one another their demands every second.
type fleet struct{ all []*Limiter }

func newFleet(count int) *fleet {
	f := &fleet{}
	names := make([]string, count-1)
	for i := range count {
		f.all = append(f.all, New(fmt.Sprint("p", i), func() []string { return names }))
	}
	return f
}

// play sends demands[i] requests a second to process i for so long, and returns
// how many each admitted. Told says whether a process hears another.
func (f *fleet) play(m Limit, seconds int, demands []int, told func(from, to int) bool) []int {
	admitted := make([]int, len(f.all))
	for range seconds {
		for slice := range 20 {
			for i, l := range f.all {
				for n := slice; n < demands[i]; n += 20 {
					if release, _, ok := l.Admit(key, m); ok {
						admitted[i]++
						release()
					}
				}
			}
			time.Sleep(50 * time.Millisecond)
		}
		for i, from := range f.all {
			for j, to := range f.all {
				if i != j && told(i, j) {
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

func always(int, int) bool { return true }

func TestRateIsSharedByDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(5)
		demands := []int{200, 100, 20, 0, 0}
		f.play(Limit{Rate: 100}, 10, demands, always)
		got := f.play(Limit{Rate: 100}, 20, demands, always)
		if total := sum(got); total > 2_000*105/100 || total < 2_000*75/100 {
			t.Errorf("admitted %v, in all %d of 2000", got, total)
		}
		if got[0] < got[1] || got[1] < got[2] {
			t.Errorf("admitted %v does not follow the demand %v", got, demands)
		}
	})
}

func TestPartitionDoesNotExceedTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(4)
		demands := []int{100, 100, 100, 100}
		f.play(Limit{Rate: 100}, 10, demands, always)
		same := func(from, to int) bool { return from%2 == to%2 }
		got := f.play(Limit{Rate: 100}, 60, demands, same)
		if total := sum(got); total > 6_000*105/100 {
			t.Errorf("admitted %v, in all %d of 6000 through a partition", got, total)
		}
	})
}

func TestOpenRequestsAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New("p", func() []string { return nil })
		m := Limit{InFlight: 3}
		var releases []func()
		for range 3 {
			release, _, ok := l.Admit(key, m)
			if !ok {
				t.Fatal("refused below the limit")
			}
			releases = append(releases, release)
		}
		if _, after, ok := l.Admit(key, m); ok || after <= 0 {
			t.Errorf("admitted a fourth of 3, or no time to come back: %s", after)
		}
		releases[0]()
		if _, _, ok := l.Admit(key, m); !ok {
			t.Error("refused after one has ended")
		}
	})
}

func TestDemandOfTheAbsentIsForgottenInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New("p", func() []string { return nil })
		l.SetPeer("q", []Demand{{Key: key, Rate: 1_000}})
		f := &fleet{all: []*Limiter{l}}
		f.play(Limit{Rate: 100}, 10, []int{200}, always)
		before := sum(f.play(Limit{Rate: 100}, 10, []int{200}, always))
		time.Sleep(DemandTTL)
		f.play(Limit{Rate: 100}, 10, []int{200}, always)
		after := sum(f.play(Limit{Rate: 100}, 10, []int{200}, always))
		if before > 500 || after < 900 {
			t.Errorf("admitted %d beside the absent, %d after it was forgotten", before, after)
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
