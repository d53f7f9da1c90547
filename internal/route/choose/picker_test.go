package choose

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"jacinthladder.dev/internal/conf/spec"
	"jacinthladder.dev/internal/entry/call"
)

// plainService returns a plain service with the endpoints a1 and a2 in zone a and b1
// in zone b, each with two slots. The parameter aim is the service's first token
// target, a duration that bounds the waits of calls. Account low has the priority 0
// and account high has the priority 9.
func plainService(t *testing.T, aim string) *spec.Service {
	t.Helper()
	src := fmt.Sprintf(`{"name":"s","kind":"plain","budgets":{"low":["x"],"high":["y"]},"ranks":{"low":0,"high":9},
		"times":{"aim":%q},"endpoints":[
		{"name":"a1","zone":"a","url":"http://127.0.0.1:1","slots":2},
		{"name":"a2","zone":"a","url":"http://127.0.0.1:1","slots":2},
		{"name":"b1","zone":"b","url":"http://127.0.0.1:1","slots":2}]}`, aim)
	s, err := spec.Parse("s", []byte(src), 1)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// newCall returns a call of an account to a plain service.
func newCall(account string, s *spec.Service) *call.Call {
	return call.NewPlain("r", account, "", 0, s, call.PlainCall{})
}

// newTestPicker returns the picker of an instance in zone a that has no peers. The
// picker begins each search at the first candidate.
func newTestPicker() *Picker {
	return NewPicker("i", "a", discardLogger, nil, func(int) int { return 0 })
}

// pick picks an endpoint for a call and fails the test if the call is refused.
func pick(t *testing.T, picker *Picker, c *call.Call) *Pick {
	t.Helper()
	p, err := picker.Pick(context.Background(), c, nil)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// TestPrefersOwnZone checks that the first call goes to an endpoint in the picker's
// own zone. It also checks that calls go to another zone when the endpoints in the
// own zone are clearly more loaded.
func TestPrefersOwnZone(t *testing.T) {
	picker, s := newTestPicker(), plainService(t, "1m")
	counts := map[string]int{}
	for range 6 {
		counts[pick(t, picker, newCall("high", s)).Name()]++
	}
	for _, name := range []string{"a1", "a2", "b1"} {
		if counts[name] != 2 {
			t.Errorf("six calls were assigned to the endpoints %v, want 2 at each of a1, a2 and b1", counts)
		}
	}
	if first := pick(t, newTestPicker(), newCall("high", s)); first.Name() == "b1" {
		t.Error("the first call was assigned to b1 in another zone, want a1 or a2")
	}
}

func TestRefusesByPriority(t *testing.T) {
	for aim, want := range map[string]struct{ low, high bool }{
		"100ms": {false, false},
		"1s":    {false, true},
		"1m":    {true, true},
	} {
		picker, s := newTestPicker(), plainService(t, aim)
		// All slots are in use, and a request takes one second.
		for range 6 {
			pick(t, picker, newCall("high", s))
		}
		for _, e := range picker.services["s"].endpoints {
			e.meanTime = time.Second
		}
		for account, admitted := range map[string]bool{"low": want.low, "high": want.high} {
			p, err := picker.Pick(context.Background(), newCall(account, s), nil)
			var refused *call.Refusal
			if (err == nil) != admitted || err != nil && (!errors.As(err, &refused) || refused.Code() != call.NoCapacity) {
				t.Errorf("Pick with a first token target of %s for account %s returned the error %v, want admission %v, and otherwise a refusal with the code NoCapacity", aim, account, err, admitted)
			}
			if err == nil {
				p.End(Canceled)
			}
		}
	}
}

func TestEjectionAndProbe(t *testing.T) {
	picker, s := newTestPicker(), plainService(t, "1m")
	c := newCall("high", s)
	for range failureThreshold {
		p, err := picker.Pick(context.Background(), c, []string{"a2", "b1"})
		if err != nil {
			t.Fatal(err)
		}
		p.End(Failed)
	}
	for range 4 {
		if p := pick(t, picker, c); p.Name() == "a1" {
			t.Fatal("Pick returned the ejected endpoint a1, want a2 or b1")
		}
	}
	picker.services["s"].endpoints[0].ejectedUntil = time.Now()
	first, err := picker.Pick(context.Background(), c, []string{"a2", "b1"})
	if err != nil || first.Name() != "a1" {
		t.Fatalf("Pick returned the error %v or another endpoint after the end of the ejection of a1, want a1 for a probe", err)
	}
	if _, err := picker.Pick(context.Background(), c, []string{"a2", "b1"}); err == nil {
		t.Error("Pick returned a1 for a second request during the probe of a1, want a refusal")
	}
	first.End(Succeeded)
	if _, err := picker.Pick(context.Background(), c, []string{"a2", "b1"}); err != nil {
		t.Errorf("Pick refused a request to a1 after a successful probe: %v, want a1", err)
	}
}

func TestLeavingEndpointIsNotPicked(t *testing.T) {
	picker, s := newTestPicker(), plainService(t, "1m")
	c := newCall("high", s)
	pick(t, picker, c).End(Leaving)
	left := picker.Leaving()
	if len(left) != 1 {
		t.Fatalf("Leaving returned the endpoints %v after one endpoint reported that it is leaving, want that endpoint alone", left)
	}
	for name, d := range left {
		if d > LeaveTTL {
			t.Errorf("the leave notice of %s is valid for another %s, want at most LeaveTTL (1m)", name, d)
		}
		for range 5 {
			if p := pick(t, picker, c); p.Name() == name {
				t.Error("Pick returned the leaving endpoint, want another one")
			}
		}
		// A notice that a peer sends back does not extend the validity.
		before := picker.services["s"].endpoints[0].leavingUntil
		picker.MarkLeaving(name, d)
		if picker.services["s"].endpoints[0].leavingUntil.Sub(before) > time.Second {
			t.Error("a leave notice that a peer sent back made the endpoint leave for more than one second longer, want no extension")
		}
		picker.ApplyReport("s", name, 0, false)
		if len(picker.Leaving()) != 1 {
			t.Error("a load report that the endpoint is not leaving ended a leave notice younger than maxReportDelay, want the notice to stay valid")
		}
	}
}
