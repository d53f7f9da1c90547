package trial

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"sync"
	"testing"
	"time"

	"jacinthladder.dev/internal/entry/call"
	"jacinthladder.dev/internal/stand/plain"
	"jacinthladder.dev/internal/stand/store"
)

func TestKeyedRetriesAtOtherInstancesGetTheFirstResponse(t *testing.T) {
	f := startFleet(t, func(c *Config) { c.Engine.TokenInterval = 5 * time.Millisecond })
	c := newCaller(t, f, "field-north")
	body, want := chatBody(1, 64, true)
	var g sync.WaitGroup
	for i := range f.Nodes {
		g.Go(func() {
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			if got, err := c.chat(t.Context(), i, "key-1", body); err != nil || got.text != want || got.truncated {
				t.Errorf("instance %d: response %+v, error %v, want text %q", i, got, err, want)
			}
		})
	}
	g.Wait()
	// The finished response is replayed, and a different body with the same key is
	// rejected.
	if got, err := c.chat(t.Context(), 3, "key-1", body); err != nil || got.text != want {
		t.Errorf("replay: response %+v, error %v", got, err)
	}
	other, _ := chatBody(2, 64, true)
	for i := range f.Nodes {
		if got, err := c.chat(t.Context(), i, "key-1", other); err != nil || got.status != http.StatusUnprocessableEntity {
			t.Errorf("different body with the same key at instance %d: response %+v, error %v, want status 422", i, got, err)
		}
	}
	if n := f.finishedRuns(); n != 1 {
		t.Errorf("engines finished the request %d times, want 1", n)
	}
	if b := stopAndCheck(t, f); b.Records != 1 {
		t.Errorf("%d usage records, want 1", b.Records)
	}
}

func TestKeyedPlainCallsRunAtMostOnce(t *testing.T) {
	for name, fault := range map[string]struct {
		plain    plain.Faults
		platform store.Faults
		answered bool
	}{
		"healthy":              {answered: true},
		"breaks after the run": {plain: plain.Faults{BreakAfter: 100}},
		"breaks before it":     {plain: plain.Faults{BreakBefore: 100}},
		"refuses connections":  {plain: plain.Faults{Down: true}},
		"claim's answer lost":  {platform: store.Faults{LostResponses: 1}, answered: true},
		"all answers lost":     {platform: store.Faults{LostResponses: 1000}, answered: true},
		"slow platform":        {platform: store.Faults{Delay: 200 * time.Millisecond}, answered: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, nil)
			c := newCaller(t, f, "field-north")
			// A first call draws a share of the budget, so that the faults on the
			// platform affect the claim and not the draw.
			if got, err := c.plain(t.Context(), 0, http.MethodPost, "/transfers", "", nil); err != nil || got.status != http.StatusOK {
				t.Fatalf("response %+v, error %v", got, err)
			}
			for _, p := range f.PlainServices {
				p.SetFaults(fault.plain)
			}
			f.Platform.SetFaults(fault.platform)
			var g sync.WaitGroup
			responses := make([]response, 10)
			for i := range responses {
				g.Go(func() {
					var err error
					responses[i], err = c.plain(t.Context(), i%5, http.MethodPost, "/transfers", "transfer-1", []byte("cylinder 7"))
					if err != nil {
						t.Error(err)
					}
				})
			}
			g.Wait()
			f.Platform.SetFaults(store.Faults{})
			total := 0
			for _, n := range f.plainRuns() {
				if n > 1 {
					t.Errorf("one request ID ran %d times, want at most 1", n)
				}
				total += n
			}
			if total > 2 { // the first call, and the keyed one
				t.Errorf("%d runs with one key, want at most 1", total-1)
			}
			for i, r := range responses {
				if fault.answered && (r.status != http.StatusOK || r.text != responses[0].text) {
					t.Errorf("response %d: %+v, want status 200 and the text of the first, %+v", i, r, responses[0])
				}
				if r.outcome == call.NotRun && total > 1 && r.text != string(call.ClaimUnavailable) {
					t.Errorf("response %d has the outcome not-run, but the key has run: %+v", i, r)
				}
			}
			stopAndCheck(t, f)
		})
	}
}

func TestSafeRequestsAreServedDuringPlatformOutage(t *testing.T) {
	f := startFleet(t, nil)
	c := newCaller(t, f, "field-north")
	for i := range f.Nodes {
		if got, err := c.plain(t.Context(), i, http.MethodPost, "/transfers", "", nil); err != nil || got.status != http.StatusOK {
			t.Fatalf("response %+v, error %v", got, err)
		}
	}
	f.Platform.SetFaults(store.Faults{Down: true})
	before := len(f.plainRuns())
	got, err := c.plain(t.Context(), 0, http.MethodPost, "/transfers", "transfer-1", nil)
	if err != nil || got.text != string(call.ClaimUnavailable) || got.outcome != call.NotRun {
		t.Errorf("keyed call: response %+v, error %v", got, err)
	}
	if len(f.plainRuns()) != before {
		t.Error("a call ran that was refused with the outcome not-run")
	}
	body, want := chatBody(1, 32, false)
	for name, send := range map[string]func() (response, error){
		"unkeyed call":          func() (response, error) { return c.plain(t.Context(), 0, http.MethodPost, "/transfers", "", nil) },
		"keyed repeatable call": func() (response, error) { return c.plain(t.Context(), 0, http.MethodGet, "/cylinders/7", "k", nil) },
		"keyed chat":            func() (response, error) { return c.chat(t.Context(), 0, "k", body) },
	} {
		got, err := send()
		if err != nil || got.status != http.StatusOK {
			t.Errorf("%s: response %+v, error %v", name, got, err)
		}
		if name == "keyed chat" && got.text != want {
			t.Errorf("chat text %q, want %q", got.text, want)
		}
	}
	f.Platform.SetFaults(store.Faults{})
	// The refused call did not claim the key, so the key can be used.
	if got, err := c.plain(t.Context(), 1, http.MethodPost, "/transfers", "transfer-1", nil); err != nil || got.status != http.StatusOK {
		t.Errorf("keyed call after the outage: response %+v, error %v", got, err)
	}
	stopAndCheck(t, f)
}

func TestStalledAndLostStreamsAreCompleted(t *testing.T) {
	for name, injectFault := range map[string]func(f *Fleet){
		"silent": func(f *Fleet) {
			for _, e := range f.Engines {
				e.StallStreams()
			}
		},
		"crashed": func(f *Fleet) {
			for _, e := range f.Engines {
				e.Crash()
				e.Restart()
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, func(c *Config) {
				c.Engine.TokenInterval = 5 * time.Millisecond
				c.Edit = func(_ string, src []byte) ([]byte, error) { return setField(src, "/times/gap", "100ms") }
			})
			c := newCaller(t, f, "field-north")
			body, want := chatBody(1, 100, true)
			var g sync.WaitGroup
			for i := range f.Nodes {
				g.Go(func() {
					start := time.Now()
					got, err := c.chat(t.Context(), i, "", body)
					if err != nil || got.text != want || got.truncated {
						t.Errorf("instance %d: response %+v, error %v, want text %q", i, got, err, want)
					}
					if elapsed := time.Since(start); elapsed > 10*time.Second {
						t.Errorf("response took %s, want at most 10s", elapsed)
					}
				})
			}
			time.Sleep(100 * time.Millisecond)
			injectFault(f)
			g.Wait()
			if b := stopAndCheck(t, f); b.Records != len(f.Nodes) {
				t.Errorf("%d usage records for %d responses", b.Records, len(f.Nodes))
			}
		})
	}
}

func TestDisconnectedCallerIsBilledOnce(t *testing.T) {
	f := startFleet(t, func(c *Config) { c.Engine.TokenInterval = 5 * time.Millisecond })
	c := newCaller(t, f, "field-north")
	body, _ := chatBody(1, 2000, true)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	if got, err := c.chat(ctx, 0, "", body); err == nil && !got.truncated {
		t.Fatalf("response is complete, want it canceled: %d bytes", len(got.text))
	}
	deadline := time.Now().Add(5 * time.Second)
	for idle := false; !idle && time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		idle = true
		for _, e := range f.Engines {
			idle = idle && e.Load().Running == 0
		}
	}
	if n := f.finishedRuns(); n != 0 {
		t.Errorf("engines finished %d runs for a disconnected caller, want 0", n)
	}
	if b := stopAndCheck(t, f); b.Records != 1 || b.Cost == 0 {
		t.Errorf("billing %+v, want one record with a cost", b)
	}
}

func TestPlannedStopCompletesOpenRequests(t *testing.T) {
	f := startFleet(t, func(c *Config) { c.Engine.TokenInterval = 5 * time.Millisecond })
	c := newCaller(t, f, "field-north")
	var g, written sync.WaitGroup
	const perInstance = 10
	for i := range f.Nodes {
		for n := range perInstance {
			written.Add(1)
			ctx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{
				WroteRequest: func(httptrace.WroteRequestInfo) { written.Done() },
			})
			g.Go(func() {
				body, want := chatBody(i*perInstance+n, 64, true)
				if got, err := c.chat(ctx, i, "", body); err != nil || got.text != want || got.truncated {
					t.Errorf("instance %d: response %+v, error %v", i, got, err)
				}
			})
		}
	}
	// Wait until all requests have been sent. Some may not be accepted yet.
	written.Wait()
	if b := stopAndCheck(t, f); b.Records != perInstance*len(f.Nodes) {
		t.Errorf("%d usage records for %d responses", b.Records, perInstance*len(f.Nodes))
	}
	g.Wait()
}

func TestRetriesStayWithinRetryRatio(t *testing.T) {
	f := startFleet(t, nil)
	c := newCaller(t, f, "field-north")
	for _, p := range f.PlainServices {
		p.SetFaults(plain.Faults{BreakAfter: 1 << 30})
	}
	const requests = 300
	for n := range requests {
		if _, err := c.plain(t.Context(), 0, http.MethodGet, fmt.Sprintf("/cylinders/%d", n), "", nil); err != nil {
			t.Fatal(err)
		}
	}
	total := 0
	for _, n := range f.plainRuns() {
		total += n
	}
	// Retries may be a tenth of the requests, plus the credit of a new service.
	const initialCredit = 3
	if limit := requests + requests/10 + initialCredit; total > limit {
		t.Errorf("%d runs for %d requests, want at most %d", total, requests, limit)
	}
	for _, p := range f.PlainServices {
		p.SetFaults(plain.Faults{})
	}
	stopAndCheck(t, f)
}
