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
				t.Errorf("chat through instance %d: got response %+v, error %v, want the complete text %q", i, got, err, want)
			}
		})
	}
	g.Wait()
	// The response to the finished request is replayed to a request with the same key,
	// and a request with the same key and a different body is rejected.
	if got, err := c.chat(t.Context(), 3, "key-1", body); err != nil || got.text != want {
		t.Errorf("chat repeated with the key of a finished request: got response %+v, error %v, want the text of the first response", got, err)
	}
	other, _ := chatBody(2, 64, true)
	for i := range f.Nodes {
		if got, err := c.chat(t.Context(), i, "key-1", other); err != nil || got.status != http.StatusUnprocessableEntity {
			t.Errorf("chat with a different body and the same key through instance %d: got response %+v, error %v, want status 422", i, got, err)
		}
	}
	if n := f.finishedRuns(); n != 1 {
		t.Errorf("engines finished %d runs for all requests with the same idempotency key, want 1", n)
	}
	if b := stopAndCheck(t, f); b.Records != 1 {
		t.Errorf("instances stored %d usage records for all requests with the same idempotency key, want 1", b.Records)
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
			// A first call makes the instance draw from the budget, so that the platform's
			// faults affect the claim of the idempotency key and not the draw.
			if got, err := c.plain(t.Context(), 0, http.MethodPost, "/transfers", "", nil); err != nil || got.status != http.StatusOK {
				t.Fatalf("POST /transfers before the faults: got response %+v, error %v, want status 200 and no error", got, err)
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
					t.Errorf("a request ran %d times at the plain service, counted by its request ID, want at most once", n)
				}
				total += n
			}
			if total > 2 { // the first call without a key, and one with it
				t.Errorf("requests with the idempotency key transfer-1 ran %d times, want at most once", total-1)
			}
			for i, r := range responses {
				if fault.answered && (r.status != http.StatusOK || r.text != responses[0].text) {
					t.Errorf("request %d with the idempotency key transfer-1: got response %+v, want status 200 and the text of the response to request 0, %+v", i, r, responses[0])
				}
				if r.outcome == call.NotRun && total > 1 && r.text != string(call.ClaimUnavailable) {
					t.Errorf("request %d with the idempotency key transfer-1: got the outcome not-run although a request with this key ran, want another outcome or the code claim_unavailable; response %+v", i, r)
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
			t.Fatalf("POST /transfers before the faults: got response %+v, error %v, want status 200 and no error", got, err)
		}
	}
	f.Platform.SetFaults(store.Faults{Down: true})
	before := len(f.plainRuns())
	got, err := c.plain(t.Context(), 0, http.MethodPost, "/transfers", "transfer-1", nil)
	if err != nil || got.text != string(call.ClaimUnavailable) || got.outcome != call.NotRun {
		t.Errorf("POST /transfers with an idempotency key during the platform outage: got response %+v, error %v, want code claim_unavailable and the outcome not-run", got, err)
	}
	if len(f.plainRuns()) != before {
		t.Error("a call that was refused with the outcome not-run ran at the plain service, want no run")
	}
	body, want := chatBody(1, 32, false)
	for name, send := range map[string]func() (response, error){
		"unkeyed call":          func() (response, error) { return c.plain(t.Context(), 0, http.MethodPost, "/transfers", "", nil) },
		"keyed repeatable call": func() (response, error) { return c.plain(t.Context(), 0, http.MethodGet, "/cylinders/7", "k", nil) },
		"keyed chat":            func() (response, error) { return c.chat(t.Context(), 0, "k", body) },
	} {
		got, err := send()
		if err != nil || got.status != http.StatusOK {
			t.Errorf("%s during the platform outage: got response %+v, error %v, want status 200 and no error", name, got, err)
		}
		if name == "keyed chat" && got.text != want {
			t.Errorf("keyed chat during the platform outage: got text %q, want %q", got.text, want)
		}
	}
	f.Platform.SetFaults(store.Faults{})
	// The refused call did not claim the idempotency key, so another call can use it.
	if got, err := c.plain(t.Context(), 1, http.MethodPost, "/transfers", "transfer-1", nil); err != nil || got.status != http.StatusOK {
		t.Errorf("POST /transfers with the same idempotency key after the platform outage: got response %+v, error %v, want status 200 and no error", got, err)
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
						t.Errorf("chat through instance %d: got response %+v, error %v, want the complete text %q", i, got, err, want)
					}
					if elapsed := time.Since(start); elapsed > 10*time.Second {
						t.Errorf("chat whose stream stalls or breaks took %s, want at most 10s", elapsed)
					}
				})
			}
			time.Sleep(100 * time.Millisecond)
			injectFault(f)
			g.Wait()
			if b := stopAndCheck(t, f); b.Records != len(f.Nodes) {
				t.Errorf("instances stored %d usage records for %d requests, want one for each request", b.Records, len(f.Nodes))
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
		t.Fatalf("request whose caller disconnects after 100 ms: got a complete response of %d bytes, want an error or a truncated response", len(got.text))
	}
	deadline := time.Now().Add(5 * time.Second)
	for idle := false; !idle && time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		idle = true
		for _, e := range f.Engines {
			idle = idle && e.Load().Running == 0
		}
	}
	if n := f.finishedRuns(); n != 0 {
		t.Errorf("engines finished %d runs after the caller disconnected, want 0", n)
	}
	if b := stopAndCheck(t, f); b.Records != 1 || b.Cost == 0 {
		t.Errorf("billing of one request whose caller disconnected: got %+v, want one usage record with a cost above 0", b)
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
					t.Errorf("chat open at instance %d during its planned stop: got response %+v, error %v, want the complete text and no error", i, got, err)
				}
			})
		}
	}
	// Wait until all requests have been sent. The instances may not have accepted all of
	// them yet.
	written.Wait()
	if b := stopAndCheck(t, f); b.Records != perInstance*len(f.Nodes) {
		t.Errorf("instances stored %d usage records for %d requests, want one for each request", b.Records, perInstance*len(f.Nodes))
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
	// The number of retries may be a tenth of the number of requests, plus the credit of
	// three retries that a new service has.
	const initialCredit = 3
	if limit := requests + requests/10 + initialCredit; total > limit {
		t.Errorf("the plain service ran %d times for %d requests, want at most %d runs with retries", total, requests, limit)
	}
	for _, p := range f.PlainServices {
		p.SetFaults(plain.Faults{})
	}
	stopAndCheck(t, f)
}
