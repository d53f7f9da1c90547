package picker

import (
	"testing"
	"time"

	"jacinthladder.dev/internal/forward/meta"
)

func TestKnownLeaveIsNotRevertedByAnOlderEntry(t *testing.T) {
	now := time.Now()
	ready := Endpoint{ID: "e", Service: "s", Address: "127.0.0.1:1", Slots: 1, StartedAt: 7}
	restarted := ready
	restarted.StartedAt = 8
	leaving := ready
	leaving.Leaving = true
	for _, tc := range []struct {
		name string
		act  func(*Picker)
		want int // endpoints that get requests
	}{
		{"a response said so", func(p *Picker) { p.MarkLeaving("e", 7, now) }, 0},
		{"a response said so, the registry has not heard of it", func(p *Picker) { p.MarkLeaving("e", 7, now); p.Update(ready, now) }, 0},
		{"the registry went back", func(p *Picker) { p.Update(leaving, now); p.Update(ready, now) }, 0},
		{"the entry was removed and came back", func(p *Picker) { p.Update(leaving, now); p.Remove("e"); p.Update(ready, now) }, 0},
		{"a peer said so before the entry came", func(p *Picker) { p.Remove("e"); p.MarkLeaving("e", 7, now); p.Update(ready, now) }, 0},
		{"another endpoint has the ID", func(p *Picker) { p.Update(leaving, now); p.Update(restarted, now) }, 1},
		{"a peer speaks of the endpoint before", func(p *Picker) { p.Update(restarted, now); p.MarkLeaving("e", 7, now) }, 1},
		{"the entry of an earlier start came back", func(p *Picker) { p.Update(restarted, now); p.MarkLeaving("e", 8, now); p.Update(ready, now) }, 0},
		{"it came back after the removal of the later one", func(p *Picker) { p.Update(restarted, now); p.Remove("e"); p.Update(ready, now) }, 0},
		{"a response of the later one came first", func(p *Picker) { p.Remove("e"); p.MarkLeaving("e", 8, now); p.Update(ready, now) }, 0},
		{"the clock of the endpoint was set back", func(p *Picker) {
			p.Update(restarted, now)
			p.Remove("e")
			p.Update(ready, now.Add(startTTL+time.Second))
		}, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := NewPicker("ikeja")
			p.Update(ready, now)
			tc.act(p)
			if got := p.Available("s"); got != tc.want {
				t.Errorf("%d endpoints get requests, want %d", got, tc.want)
			}
		})
	}
}

func TestBusyEndpointGetsNoRequestUntilItsTime(t *testing.T) {
	now := time.Now()
	p := NewPicker("ikeja")
	info := PickInfo{Service: "s", Request: &meta.Request{}}
	for _, id := range []string{"a", "b"} {
		p.Update(Endpoint{ID: id, Service: "s", Address: id, Slots: 4}, now)
	}
	waits := map[string]time.Duration{"a": 2 * time.Second, "b": time.Second}
	for range waits {
		pk := p.Pick(info, now)
		pk.TurnAway(waits[pk.Endpoint().ID], now)
		pk.End(Busy, now)
	}
	if pk := p.Pick(info, now.Add(999*time.Millisecond)); pk != nil {
		t.Errorf("Pick placed a request at endpoint %s, which wants none yet", pk.Endpoint().ID)
	}
	if got, limited := p.BusyFor("s", now); got != time.Second || limited {
		t.Errorf("BusyFor returned %v, %t, want 1s, when endpoint b accepts requests, and false", got, limited)
	}
	pk := p.Pick(info, now.Add(time.Second))
	if pk == nil || pk.Endpoint().ID != "b" {
		t.Fatalf("Pick returned %+v after 1 s, want a request at endpoint b", pk)
	}
	if pk.state.currentFailRatio(now) != 0 {
		t.Error("an endpoint that turned a request away counts as failing")
	}
}
