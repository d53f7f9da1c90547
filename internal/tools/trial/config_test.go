package trial

import (
	"context"
	"net/http"
	"testing"
	"time"

	"jacinthladder.dev/internal/fleet/node"
	"jacinthladder.dev/internal/plat/roster"
	"jacinthladder.dev/internal/stand/plain"
	"jacinthladder.dev/internal/stand/store"
)

// within is the time in which accepted configuration must be in force.
const within = 6 * time.Second

// inputPrice returns the input price of the model service in force on a node.
func inputPrice(n *node.Node) int64 {
	s := n.Config().Snapshot().Service("drafting-models")
	if s == nil {
		return -1
	}
	return s.Prices().Input()
}

// reprice puts a new input price in force.
func reprice(t *testing.T, f *Fleet, input int64) {
	t.Helper()
	src, version, err := f.Admin.Service(t.Context(), "drafting-models")
	if err != nil {
		t.Fatal(err)
	}
	if src, err = patch(src, "/prices/input", input); err != nil {
		t.Fatal(err)
	}
	if _, _, err := f.Admin.Apply(t.Context(), "drafting-models", src, version); err != nil {
		t.Fatal(err)
	}
}

// awaitPrice waits until the nodes all have a price.
func awaitPrice(t *testing.T, input int64, nodes ...*node.Node) {
	t.Helper()
	began := time.Now()
	for _, n := range nodes {
		for inputPrice(n) != input {
			if time.Since(began) > within {
				t.Fatalf("%s has price %d, want %d", n.ProcessID(), inputPrice(n), input)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	t.Logf("in force on %d instances after %s", len(nodes), time.Since(began).Round(time.Millisecond))
}

func TestConfigurationIsInForceInSeconds(t *testing.T) {
	f := startFleet(t, nil)
	reprice(t, f, 3)
	awaitPrice(t, 3, f.Nodes...)
	f.Platform.Set(store.Faults{Slow: 300 * time.Millisecond})
	reprice(t, f, 4)
	awaitPrice(t, 4, f.Nodes...)
	f.Platform.Set(store.Faults{})
}

func TestConfigurationReachesAZoneCutOffFromThePlatform(t *testing.T) {
	f := startFleet(t, nil)
	f.Platform.Set(store.Faults{Offline: []string{"apapa", "lekki", "yaba"}})
	reprice(t, f, 3)
	awaitPrice(t, 3, f.Nodes...)
}

func TestInstanceStartedInAnOutageGetsTheConfiguration(t *testing.T) {
	f := startFleet(t, nil)
	reprice(t, f, 3)
	awaitPrice(t, 3, f.Nodes...)
	// The configuration has just been accepted when the platform goes down; the
	// instance list still answers, as it is a service of its own kind.
	f.Platform.Set(store.Faults{Offline: []string{"fresh"}})
	if err := f.Add("entry-6", "fresh"); err != nil {
		t.Fatal(err)
	}
	fresh := f.Nodes[len(f.Nodes)-1]
	for _, n := range f.Nodes[:2] {
		// The list does not reach it either: a peer that knows it speaks first.
		n.Members().Merge(time.Now(), fresh.Members().Heartbeat())
	}
	awaitPrice(t, 3, fresh)
	f.Platform.Set(store.Faults{})
}

func TestVersionsNeverStepBack(t *testing.T) {
	f := startFleet(t, nil)
	old, _ := f.Nodes[0].Config().Since(0)
	reprice(t, f, 3)
	awaitPrice(t, 3, f.Nodes...)
	for _, n := range f.Nodes {
		if n.Config().Merge("an old peer", old) || inputPrice(n) != 3 {
			t.Errorf("%s took an old version: price %d", n.ProcessID(), inputPrice(n))
		}
	}
}

func TestBadDocumentIsRefusedAsAWhole(t *testing.T) {
	f := startFleet(t, nil)
	src, version, err := f.Admin.Service(t.Context(), "drafting-models")
	if err != nil {
		t.Fatal(err)
	}
	bad, err := patch(src, "/prices/input", -1)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := f.Admin.Apply(t.Context(), "drafting-models", bad, version); err == nil {
		t.Error("a negative price was accepted")
	}
	// Past the operators' check, straight into the platform.
	if _, err := f.Platform.Store("").Put(t.Context(), "service", "drafting-models", version, bad); err != nil {
		t.Fatal(err)
	}
	time.Sleep(300 * time.Millisecond)
	for _, n := range f.Nodes {
		if inputPrice(n) != 2 {
			t.Errorf("%s has price %d", n.ProcessID(), inputPrice(n))
		}
	}
}

func TestFewInstancesWatch(t *testing.T) {
	f := startFleet(t, func(c *Config) {
		c.Zones = []string{"ikeja", "ikeja", "ikeja", "ikeja", "ikeja", "ikeja", "apapa"}
	})
	time.Sleep(1500 * time.Millisecond) // instances look at their duty
	before := f.Platform.Counts()
	reprice(t, f, 3)
	awaitPrice(t, 3, f.Nodes...)
	time.Sleep(500 * time.Millisecond)
	// Two watchers in one zone and one in the other, for two kinds, each with
	// an answer and a new watch; an instance whose old watch ends adds one.
	if n := f.Platform.Counts().Watches - before.Watches; n > 3*2*2+7 {
		t.Errorf("%d watches for one change", n)
	}
}

// TestLeavingEndpointsGetNoNewWork tells only one instance that an endpoint
// leaves, with the instance list old, and the platform down.
func TestLeavingEndpointsGetNoNewWork(t *testing.T) {
	for name, tell := range map[string]func(f *Fleet){
		"its own answer": func(f *Fleet) { f.Plains[0].Set(plain.Faults{Leaving: true}) },
		"a peer's word":  func(f *Fleet) { f.Nodes[0].Picker().MarkLeaving("ikeja-1", time.Minute) },
		"the instance list": func(f *Fleet) {
			f.Platform.Enlist(roster.Entry{Name: "ikeja-1", Zone: "ikeja", Leaving: true})
			time.Sleep(5 * time.Second) // the interval at which the list is read
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, nil)
			c := newCaller(t, f, "field-north")
			call := func(i int) {
				if got, err := c.plain(t.Context(), i, http.MethodPost, "/transfers", "", nil); err != nil || got.status != http.StatusOK {
					t.Errorf("%+v, %v", got, err)
				}
			}
			for i := range f.Nodes {
				call(i)
			}
			f.Platform.Set(store.Faults{Lag: 30 * time.Second, Down: name != "the instance list"})
			if name == "the instance list" {
				f.Platform.Set(store.Faults{})
			}
			tell(f)
			call(0)
			time.Sleep(2 * time.Second)
			before := f.Plains[0].Total()
			for range 10 {
				for i := range f.Nodes {
					call(i)
				}
			}
			if after := f.Plains[0].Total(); after != before {
				t.Errorf("%d calls went to the endpoint 2 s after it was said to leave", after-before)
			}
			f.Platform.Set(store.Faults{})
		})
	}
}

// TestLiesAboutMembersBreakNothing tells instances that live ones are silent
// and made-up ones live, under load.
func TestLiesAboutMembersBreakNothing(t *testing.T) {
	f := startFleet(t, func(c *Config) { c.Budgets["field-north-main"] = 200_000 })
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for n := uint64(1); ctx.Err() == nil; n++ {
			for _, node := range f.Nodes {
				m := f.Nodes[n%5].Members().Self()
				m.Heartbeat += 1_000_000 + n // news that can't be: later true beats count for nothing
				m.Leaving = n%2 == 0
				node.Members().Merge(time.Now().Add(-time.Duration(n%3)*time.Hour), m)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}()
	report, err := f.Load(t.Context(), shortLoad())
	stop()
	<-done
	if err != nil || report.WrongResponses() > 0 || report.Failed() > 0 {
		t.Errorf("%v\n%s", err, report)
	}
	stopped(t, f)
}
