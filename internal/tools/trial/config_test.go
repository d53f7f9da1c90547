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

// configTimeout is the longest time that a configuration accepted by the platform may
// take to be in force on all instances.
const configTimeout = 6 * time.Second

// inputPrice returns the input price of the model service that is in force on a
// node, or -1 if the node has no such service.
func inputPrice(n *node.Node) int64 {
	s := n.Config().Snapshot().Service("drafting-models")
	if s == nil {
		return -1
	}
	return s.Prices().Input()
}

// setInputPrice changes the input price in the document of the model service and applies
// the document.
func setInputPrice(t *testing.T, f *Fleet, input int64) {
	t.Helper()
	src, version, err := f.Admin.Service(t.Context(), "drafting-models")
	if err != nil {
		t.Fatal(err)
	}
	if src, err = setField(src, "/prices/input", input); err != nil {
		t.Fatal(err)
	}
	if _, _, err := f.Admin.Apply(t.Context(), "drafting-models", src, version); err != nil {
		t.Fatal(err)
	}
}

// awaitPrice waits until the given input price is in force on all given nodes. It fails
// the test after configTimeout.
func awaitPrice(t *testing.T, input int64, nodes ...*node.Node) {
	t.Helper()
	start := time.Now()
	for _, n := range nodes {
		for inputPrice(n) != input {
			if time.Since(start) > configTimeout {
				t.Fatalf("instance %s still has input price %d after 6 s, want %d", n.ProcessID(), inputPrice(n), input)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	t.Logf("input price in force on %d instances after %s", len(nodes), time.Since(start).Round(time.Millisecond))
}

func TestConfigurationTakesEffectWithinTimeout(t *testing.T) {
	f := startFleet(t, nil)
	setInputPrice(t, f, 3)
	awaitPrice(t, 3, f.Nodes...)
	f.Platform.SetFaults(store.Faults{Delay: 300 * time.Millisecond})
	setInputPrice(t, f, 4)
	awaitPrice(t, 4, f.Nodes...)
	f.Platform.SetFaults(store.Faults{})
}

func TestConfigurationReachesZonesWithoutPlatform(t *testing.T) {
	f := startFleet(t, nil)
	f.Platform.SetFaults(store.Faults{OfflineZones: []string{"apapa", "lekki", "yaba"}})
	setInputPrice(t, f, 3)
	awaitPrice(t, 3, f.Nodes...)
}

func TestInstanceStartedDuringOutageGetsConfiguration(t *testing.T) {
	f := startFleet(t, nil)
	setInputPrice(t, f, 3)
	awaitPrice(t, 3, f.Nodes...)
	// The platform is cut off from the new instance's zone directly after the
	// configuration has been accepted. The other zones still reach the platform
	// and the instance list, which is a separate service.
	f.Platform.SetFaults(store.Faults{OfflineZones: []string{"fresh"}})
	if err := f.Add("entry-6", "fresh"); err != nil {
		t.Fatal(err)
	}
	added := f.Nodes[len(f.Nodes)-1]
	for _, n := range f.Nodes[:2] {
		// The new instance cannot read the instance list either, so a peer that
		// knows the new instance has to call it first.
		n.Members().Merge(time.Now(), added.Members().Heartbeat())
	}
	awaitPrice(t, 3, added)
	f.Platform.SetFaults(store.Faults{})
}

func TestOlderVersionsAreIgnored(t *testing.T) {
	f := startFleet(t, nil)
	old, _ := f.Nodes[0].Config().Since(0)
	setInputPrice(t, f, 3)
	awaitPrice(t, 3, f.Nodes...)
	for _, n := range f.Nodes {
		if n.Config().Merge("an old peer", old) || inputPrice(n) != 3 {
			t.Errorf("merge of an older version into instance %s: got input price %d, or Merge reported a change, want input price 3 and no reported change", n.ProcessID(), inputPrice(n))
		}
	}
}

func TestInvalidDocumentIsNotApplied(t *testing.T) {
	f := startFleet(t, nil)
	src, version, err := f.Admin.Service(t.Context(), "drafting-models")
	if err != nil {
		t.Fatal(err)
	}
	invalid, err := setField(src, "/prices/input", -1)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := f.Admin.Apply(t.Context(), "drafting-models", invalid, version); err == nil {
		t.Error("Apply of a document with input price -1: got no error, want one")
	}
	// Write the document to the platform without the check that Apply makes.
	if _, err := f.Platform.Store("").Put(t.Context(), "service", "drafting-models", version, invalid); err != nil {
		t.Fatal(err)
	}
	time.Sleep(300 * time.Millisecond)
	for _, n := range f.Nodes {
		if inputPrice(n) != 2 {
			t.Errorf("instance %s has input price %d after an invalid document was stored, want 2 as before", n.ProcessID(), inputPrice(n))
		}
	}
}

func TestFewInstancesPerZoneWatch(t *testing.T) {
	f := startFleet(t, func(c *Config) {
		c.Zones = []string{"ikeja", "ikeja", "ikeja", "ikeja", "ikeja", "ikeja", "apapa"}
	})
	time.Sleep(1500 * time.Millisecond) // instances decide at an interval whether they watch the platform
	before := f.Platform.Counts()
	setInputPrice(t, f, 3)
	awaitPrice(t, 3, f.Nodes...)
	time.Sleep(500 * time.Millisecond)
	// Three instances watch, two in one zone and one in the other. Each watches
	// two kinds, and each watch returns once and is made again. An instance whose
	// earlier watch call ends meanwhile adds one call, so seven instances add at
	// most seven.
	if n := f.Platform.Counts().Watches - before.Watches; n > 3*2*2+7 {
		t.Errorf("one configuration change led to %d watch calls, want at most 19", n)
	}
}

// TestLeavingEndpointsGetNoNewRequests checks that all instances stop sending requests to
// an endpoint that is leaving, within 2 s after one of them learns of it from the
// endpoint's response or from a peer. Meanwhile the platform is down and its instance
// list is outdated. In the case "the instance list", the platform is up and all instances
// read from its instance list that the endpoint is leaving.
func TestLeavingEndpointsGetNoNewRequests(t *testing.T) {
	for name, announce := range map[string]func(f *Fleet){
		"its own answer": func(f *Fleet) { f.PlainServices[0].SetFaults(plain.Faults{Leaving: true}) },
		"a peer's word":  func(f *Fleet) { f.Nodes[0].Picker().MarkLeaving("ikeja-1", time.Minute) },
		"the instance list": func(f *Fleet) {
			f.Platform.PutInstance(roster.Entry{Name: "ikeja-1", Zone: "ikeja", Leaving: true})
			time.Sleep(5 * time.Second) // the interval at which instances read the list
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, nil)
			c := newCaller(t, f, "field-north")
			call := func(i int) {
				if got, err := c.plain(t.Context(), i, http.MethodPost, "/transfers", "", nil); err != nil || got.status != http.StatusOK {
					t.Errorf("POST /transfers: got response %+v, error %v, want status 200 and no error", got, err)
				}
			}
			for i := range f.Nodes {
				call(i)
			}
			f.Platform.SetFaults(store.Faults{ListDelay: 30 * time.Second, Down: name != "the instance list"})
			if name == "the instance list" {
				f.Platform.SetFaults(store.Faults{})
			}
			announce(f)
			call(0)
			time.Sleep(2 * time.Second)
			before := f.PlainServices[0].Total()
			for range 10 {
				for i := range f.Nodes {
					call(i)
				}
			}
			if after := f.PlainServices[0].Total(); after != before {
				t.Errorf("%d requests reached endpoint ikeja-1 more than 2 s after it was announced as leaving, want 0", after-before)
			}
			f.Platform.SetFaults(store.Faults{})
		})
	}
}

// TestFalseMembershipRecordsAreTolerated merges false membership records into all
// instances while a load runs. The records describe live instances as silent or leaving,
// with heartbeat counts that these instances have not reached.
func TestFalseMembershipRecordsAreTolerated(t *testing.T) {
	f := startFleet(t, func(c *Config) { c.Budgets["field-north-main"] = 200_000 })
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for n := uint64(1); ctx.Err() == nil; n++ {
			for _, node := range f.Nodes {
				m := f.Nodes[n%5].Members().Self()
				m.Heartbeat += 1_000_000 + n // genuine heartbeats are below this count and are ignored
				m.Leaving = n%2 == 0
				node.Members().Merge(time.Now().Add(-time.Duration(n%3)*time.Hour), m)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}()
	report, err := f.Load(t.Context(), faultLoad())
	cancel()
	<-done
	if err != nil || report.WrongResponses() > 0 || report.Failed() > 0 {
		t.Errorf("load while false membership records are merged: got error %v, want no error, wrong response or failed request; report:\n%s", err, report)
	}
	stopAndCheck(t, f)
}
