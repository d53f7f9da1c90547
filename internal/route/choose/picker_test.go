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

// plainService returns a service with endpoints in zones a, a and b, of two
// slots each.
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

func newCall(account string, s *spec.Service) *call.Call {
	return call.NewPlain("r", account, "", 0, s, call.PlainCall{})
}

func newTestBoard() *Picker { return NewPicker("i", "a", quiet, nil, func(int) int { return 0 }) }

// pick chooses once and fails the test on a refusal.
func pick(t *testing.T, b *Picker, c *call.Call) *Pick {
	t.Helper()
	p, err := b.Pick(context.Background(), c, nil)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func TestOwnZoneFirstThenSpill(t *testing.T) {
	b, s := newTestBoard(), plainService(t, "1m")
	counts := map[string]int{}
	for range 6 {
		counts[pick(t, b, newCall("high", s)).Name()]++
	}
	for _, name := range []string{"a1", "a2", "b1"} {
		if counts[name] != 2 {
			t.Errorf("picked %v", counts)
		}
	}
	if first := pick(t, newTestBoard(), newCall("high", s)); first.Name() == "b1" {
		t.Error("the first call left its zone")
	}
}

func TestShedsByPriority(t *testing.T) {
	for aim, want := range map[string]struct{ low, high bool }{
		"100ms": {false, false},
		"1s":    {false, true},
		"1m":    {true, true},
	} {
		b, s := newTestBoard(), plainService(t, aim)
		// Each endpoint is full, and a request takes a second.
		for range 6 {
			pick(t, b, newCall("high", s))
		}
		for _, e := range b.groups["s"].endpoints {
			e.busy = time.Second
		}
		for account, admitted := range map[string]bool{"low": want.low, "high": want.high} {
			p, err := b.Pick(context.Background(), newCall(account, s), nil)
			var refused *call.Refusal
			if (err == nil) != admitted || err != nil && (!errors.As(err, &refused) || refused.Code() != call.NoCapacity) {
				t.Errorf("aim %s, account %s: %v, want admitted %v", aim, account, err, admitted)
			}
			if err == nil {
				p.End(Canceled)
			}
		}
	}
}

func TestEjectionAndHalfOpenTrial(t *testing.T) {
	b, s := newTestBoard(), plainService(t, "1m")
	c := newCall("high", s)
	for range failLimit {
		p, err := b.Pick(context.Background(), c, []string{"a2", "b1"})
		if err != nil {
			t.Fatal(err)
		}
		p.End(Failed)
	}
	for range 4 {
		if p := pick(t, b, c); p.Name() == "a1" {
			t.Fatal("an ejected endpoint was picked")
		}
	}
	b.groups["s"].endpoints[0].until = time.Now()
	first, err := b.Pick(context.Background(), c, []string{"a2", "b1"})
	if err != nil || first.Name() != "a1" {
		t.Fatalf("no trial after the ejection: %v", err)
	}
	if _, err := b.Pick(context.Background(), c, []string{"a2", "b1"}); err == nil {
		t.Error("a second request joined the trial")
	}
	first.End(Succeeded)
	if _, err := b.Pick(context.Background(), c, []string{"a2", "b1"}); err != nil {
		t.Errorf("refused after a trial that succeeded: %v", err)
	}
}

func TestLeavingEndpointsAreLeftAlone(t *testing.T) {
	b, s := newTestBoard(), plainService(t, "1m")
	c := newCall("high", s)
	pick(t, b, c).End(Leaving)
	left := b.Leaving()
	if len(left) != 1 {
		t.Fatalf("leaving %v", left)
	}
	for name, d := range left {
		if d > LeaveTTL {
			t.Errorf("news of %s is to be believed for %s", name, d)
		}
		for range 5 {
			if p := pick(t, b, c); p.Name() == name {
				t.Error("a leaving endpoint was picked")
			}
		}
		// A peer that heard it from here does not make the news last longer.
		before := b.groups["s"].endpoints[0].leaving
		b.MarkLeaving(name, d)
		if b.groups["s"].endpoints[0].leaving.Sub(before) > time.Second {
			t.Error("the news was made to last longer")
		}
		b.ApplyReport("s", name, 0, false)
		if len(b.Leaving()) != 1 {
			t.Error("a report that may be old ended the news")
		}
	}
}
