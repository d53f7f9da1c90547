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

func TestKeyedRetriesElsewhereGetTheFirstRun(t *testing.T) {
	f := startFleet(t, func(c *Config) { c.Engine.Step = 5 * time.Millisecond })
	c := newCaller(t, f, "field-north")
	body, want := chatBody(1, 64, true)
	var g sync.WaitGroup
	for i := range f.Nodes {
		g.Go(func() {
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			if got, err := c.chat(t.Context(), i, "key-1", body); err != nil || got.text != want || got.broken {
				t.Errorf("instance %d: %+v, %v, want %q", i, got, err, want)
			}
		})
	}
	g.Wait()
	// Replay of the finished answer, and a different body under the key.
	if got, err := c.chat(t.Context(), 3, "key-1", body); err != nil || got.text != want {
		t.Errorf("replay: %+v, %v", got, err)
	}
	other, _ := chatBody(2, 64, true)
	for i := range f.Nodes {
		if got, err := c.chat(t.Context(), i, "key-1", other); err != nil || got.status != http.StatusUnprocessableEntity {
			t.Errorf("another body at %d: %+v, %v", i, got, err)
		}
	}
	if n := f.served(); n != 1 {
		t.Errorf("engines ran the request %d times", n)
	}
	if b := stopped(t, f); b.Records != 1 {
		t.Errorf("%d records", b.Records)
	}
}

func TestCallsThatMustNotRunTwice(t *testing.T) {
	for name, fault := range map[string]struct {
		plain    plain.Faults
		platform store.Faults
		answered bool
	}{
		"healthy":              {answered: true},
		"breaks after the run": {plain: plain.Faults{After: 100}},
		"breaks before it":     {plain: plain.Faults{Before: 100}},
		"refuses connections":  {plain: plain.Faults{Down: true}},
		"claim's answer lost":  {platform: store.Faults{Lose: 1}, answered: true},
		"all answers lost":     {platform: store.Faults{Lose: 1000}, answered: true},
		"slow platform":        {platform: store.Faults{Slow: 200 * time.Millisecond}, answered: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, nil)
			c := newCaller(t, f, "field-north")
			// A first call draws a share, so that the faults meet the claim.
			if got, err := c.plain(t.Context(), 0, http.MethodPost, "/transfers", "", nil); err != nil || got.status != http.StatusOK {
				t.Fatalf("%+v, %v", got, err)
			}
			for _, p := range f.Plains {
				p.Set(fault.plain)
			}
			f.Platform.Set(fault.platform)
			var g sync.WaitGroup
			answers := make([]reply, 10)
			for i := range answers {
				g.Go(func() {
					var err error
					answers[i], err = c.plain(t.Context(), i%5, http.MethodPost, "/transfers", "transfer-1", []byte("cylinder 7"))
					if err != nil {
						t.Error(err)
					}
				})
			}
			g.Wait()
			f.Platform.Set(store.Faults{})
			ran := 0
			for _, n := range f.runs() {
				if n > 1 {
					t.Errorf("a request ran %d times", n)
				}
				ran += n
			}
			if ran > 2 { // the first call, and the keyed one
				t.Errorf("%d runs under one key", ran-1)
			}
			for i, a := range answers {
				if fault.answered && (a.status != http.StatusOK || a.text != answers[0].text) {
					t.Errorf("answer %d: %+v, the first %+v", i, a, answers[0])
				}
				if a.outcome == call.NotRun && ran > 1 && a.text != string(call.ClaimUnavailable) {
					t.Errorf("answer %d says not run: %+v", i, a)
				}
			}
			stopped(t, f)
		})
	}
}

func TestPlatformAwayServesWhatIsSafe(t *testing.T) {
	f := startFleet(t, nil)
	c := newCaller(t, f, "field-north")
	for i := range f.Nodes {
		if got, err := c.plain(t.Context(), i, http.MethodPost, "/transfers", "", nil); err != nil || got.status != http.StatusOK {
			t.Fatalf("%+v, %v", got, err)
		}
	}
	f.Platform.Set(store.Faults{Down: true})
	before := len(f.runs())
	got, err := c.plain(t.Context(), 0, http.MethodPost, "/transfers", "transfer-1", nil)
	if err != nil || got.text != string(call.ClaimUnavailable) || got.outcome != call.NotRun {
		t.Errorf("keyed call: %+v, %v", got, err)
	}
	if len(f.runs()) != before {
		t.Error("a call that was refused as not run ran")
	}
	body, want := chatBody(1, 32, false)
	for name, send := range map[string]func() (reply, error){
		"unkeyed call":          func() (reply, error) { return c.plain(t.Context(), 0, http.MethodPost, "/transfers", "", nil) },
		"keyed repeatable call": func() (reply, error) { return c.plain(t.Context(), 0, http.MethodGet, "/cylinders/7", "k", nil) },
		"keyed chat":            func() (reply, error) { return c.chat(t.Context(), 0, "k", body) },
	} {
		got, err := send()
		if err != nil || got.status != http.StatusOK {
			t.Errorf("%s: %+v, %v", name, got, err)
		}
		if name == "keyed chat" && got.text != want {
			t.Errorf("chat %q, want %q", got.text, want)
		}
	}
	f.Platform.Set(store.Faults{})
	// The key was not claimed, so it can be used now.
	if got, err := c.plain(t.Context(), 1, http.MethodPost, "/transfers", "transfer-1", nil); err != nil || got.status != http.StatusOK {
		t.Errorf("after the outage: %+v, %v", got, err)
	}
	stopped(t, f)
}

func TestSilentAndLostStreamsAreMended(t *testing.T) {
	for name, hurt := range map[string]func(f *Fleet){
		"silent": func(f *Fleet) {
			for _, e := range f.Engines {
				e.Hush()
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
				c.Engine.Step = 5 * time.Millisecond
				c.Edit = func(_ string, src []byte) ([]byte, error) { return patch(src, "/times/gap", "100ms") }
			})
			c := newCaller(t, f, "field-north")
			body, want := chatBody(1, 100, true)
			var g sync.WaitGroup
			for i := range f.Nodes {
				g.Go(func() {
					began := time.Now()
					got, err := c.chat(t.Context(), i, "", body)
					if err != nil || got.text != want || got.broken {
						t.Errorf("instance %d: %+v, %v, want %q", i, got, err, want)
					}
					if took := time.Since(began); took > 10*time.Second {
						t.Errorf("took %s", took)
					}
				})
			}
			time.Sleep(100 * time.Millisecond)
			hurt(f)
			g.Wait()
			if b := stopped(t, f); b.Records != len(f.Nodes) {
				t.Errorf("%d records for %d answers", b.Records, len(f.Nodes))
			}
		})
	}
}

func TestCallerThatGoesIsBilledOnce(t *testing.T) {
	f := startFleet(t, func(c *Config) { c.Engine.Step = 5 * time.Millisecond })
	c := newCaller(t, f, "field-north")
	body, _ := chatBody(1, 2000, true)
	ctx, leave := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer leave()
	if got, err := c.chat(ctx, 0, "", body); err == nil && !got.broken {
		t.Fatalf("the answer came whole: %d bytes", len(got.text))
	}
	deadline := time.Now().Add(5 * time.Second)
	for idle := false; !idle && time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		idle = true
		for _, e := range f.Engines {
			idle = idle && e.Load().Running == 0
		}
	}
	if n := f.served(); n != 0 {
		t.Errorf("the engine finished %d runs for a caller that left", n)
	}
	if b := stopped(t, f); b.Records != 1 || b.Cost == 0 {
		t.Errorf("bills %+v", b)
	}
}

func TestPlannedStopCutsOffNothing(t *testing.T) {
	f := startFleet(t, func(c *Config) { c.Engine.Step = 5 * time.Millisecond })
	c := newCaller(t, f, "field-north")
	var g, written sync.WaitGroup
	const each = 10
	for i := range f.Nodes {
		for n := range each {
			written.Add(1)
			ctx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{
				WroteRequest: func(httptrace.WroteRequestInfo) { written.Done() },
			})
			g.Go(func() {
				body, want := chatBody(i*each+n, 64, true)
				if got, err := c.chat(ctx, i, "", body); err != nil || got.text != want || got.broken {
					t.Errorf("instance %d: %+v, %v", i, got, err)
				}
			})
		}
	}
	// From here on every request has been sent, though perhaps not accepted.
	written.Wait()
	if b := stopped(t, f); b.Records != each*len(f.Nodes) {
		t.Errorf("%d records for %d answers", b.Records, each*len(f.Nodes))
	}
	g.Wait()
}

func TestStormOfRetriesStaysWithinItsBound(t *testing.T) {
	f := startFleet(t, nil)
	c := newCaller(t, f, "field-north")
	for _, p := range f.Plains {
		p.Set(plain.Faults{After: 1 << 30})
	}
	const requests = 300
	for n := range requests {
		if _, err := c.plain(t.Context(), 0, http.MethodGet, fmt.Sprintf("/cylinders/%d", n), "", nil); err != nil {
			t.Fatal(err)
		}
	}
	ran := 0
	for _, n := range f.runs() {
		ran += n
	}
	// A tenth of the requests, and what the fund holds at the start.
	const start = 3
	if most := requests + requests/10 + start; ran > most {
		t.Errorf("%d runs for %d requests, at most %d allowed", ran, requests, most)
	}
	for _, p := range f.Plains {
		p.Set(plain.Faults{})
	}
	stopped(t, f)
}
