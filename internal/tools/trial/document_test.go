package trial

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"jacinthladder.dev/internal/entry/settle"
	"jacinthladder.dev/internal/stand/engine"
	"jacinthladder.dev/internal/stand/plain"
)

// edit changes one field of one of the two documents.
func edit(document, path string, value any) func(*Config) {
	return func(c *Config) {
		c.Edit = func(d string, src []byte) ([]byte, error) {
			if !strings.Contains(d, document) {
				return src, nil
			}
			return patch(src, path, value)
		}
	}
}

// record returns the one usage record of a fleet, after it has stopped.
func record(t *testing.T, f *Fleet) settle.Record {
	t.Helper()
	if b := stopped(t, f); b.Records != 1 {
		t.Fatalf("%d records", b.Records)
	}
	o, err := f.Platform.Store("").Get(context.Background(), settle.UsageKind, f.Platform.Names(settle.UsageKind, "")[0])
	if err != nil {
		t.Fatal(err)
	}
	var records []settle.Record
	if err := json.Unmarshal(o.Value(), &records); err != nil {
		t.Fatal(err)
	}
	return records[0]
}

func TestPricesOfTheDocument(t *testing.T) {
	for path, want := range map[string]func(r settle.Record) int64{
		"/prices/input":  func(r settle.Record) int64 { return 9*r.Input + 6*r.Output },
		"/prices/output": func(r settle.Record) int64 { return 2*r.Input + 9*r.Output },
	} {
		t.Run(path, func(t *testing.T) {
			f := startFleet(t, edit("drafting", path, 9))
			body, _ := chatBody(1, 20, false)
			if got, err := newCaller(t, f, "field-north").chat(t.Context(), 0, "", body); err != nil || got.status != http.StatusOK {
				t.Fatalf("%+v, %v", got, err)
			}
			if r := record(t, f); r.Cost != want(r) || r.Input == 0 || r.Output == 0 {
				t.Errorf("%+v, want cost %d", r, want(r))
			}
		})
	}
}

func TestCallPriceOfTheDocument(t *testing.T) {
	f := startFleet(t, edit("custody", "/prices/call", 77))
	if got, err := newCaller(t, f, "field-north").plain(t.Context(), 0, http.MethodPost, "/transfers", "", nil); err != nil || got.status != http.StatusOK {
		t.Fatalf("%+v, %v", got, err)
	}
	if r := record(t, f); r.Cost != 77 {
		t.Errorf("%+v", r)
	}
}

func TestCachedPriceOfTheDocument(t *testing.T) {
	f := startFleet(t, edit("drafting", "/prices/cached", 0))
	c := newCaller(t, f, "field-north")
	body, _ := chatBody(1, 20, false)
	for range 2 {
		if got, err := c.chat(t.Context(), 0, "", body); err != nil || got.status != http.StatusOK {
			t.Fatalf("%+v, %v", got, err)
		}
	}
	if b := stopped(t, f); b.Records != 2 {
		t.Fatalf("%+v", b)
	}
	cached := int64(0)
	for _, name := range f.Platform.Names(settle.UsageKind, "") {
		o, err := f.Platform.Store("").Get(context.Background(), settle.UsageKind, name)
		if err != nil {
			t.Fatal(err)
		}
		var records []settle.Record
		if err := json.Unmarshal(o.Value(), &records); err != nil {
			t.Fatal(err)
		}
		for _, r := range records {
			cached += r.Cached
			if want := 2*(r.Input-r.Cached) + 6*r.Output; r.Cost != want {
				t.Errorf("%+v, want cost %d", r, want)
			}
		}
	}
	if cached == 0 {
		t.Error("the second prompt was not found in the cache")
	}
}

func TestRefusalsOfTheDocument(t *testing.T) {
	chat := func(tokens int64) func(t *testing.T, c *caller) reply {
		return func(t *testing.T, c *caller) reply {
			body, _ := chatBody(1, tokens, false)
			got, err := c.chat(t.Context(), 0, "", body)
			if err != nil {
				t.Fatal(err)
			}
			return got
		}
	}
	post := func(t *testing.T, c *caller) reply {
		got, err := c.plain(t.Context(), 0, http.MethodPost, "/transfers", "", nil)
		if err != nil {
			t.Fatal(err)
		}
		return got
	}
	for name, row := range map[string]struct {
		document, path string
		value          any
		send           func(t *testing.T, c *caller) reply
		want           string
	}{
		"most tokens":     {"drafting", "/tokens/most", 300, chat(301), "bad_request"},
		"budgets":         {"drafting", "/budgets", map[string][]string{"training": {"training-main"}}, chat(10), "no_budget"},
		"models":          {"drafting", "/models", []string{"draft-other"}, chat(10), "unknown_model"},
		"kind":            {"custody", "/name", "ledger-2", post, "unknown_service"},
		"open limit":      {"custody", "/limits", map[string]any{"*": map[string]int{"open": 1}}, twice(post), "rate_limit"},
		"rate limit":      {"custody", "/limits", map[string]any{"*": map[string]float64{"rate": 0.5}}, twice(post), "rate_limit"},
		"first and total": {"custody", "/times", map[string]string{"first": "50ms", "total": "60ms", "wait": "10ms"}, silently(post), "no_answer"},
	} {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, edit(row.document, row.path, row.value))
			if got := row.send(t, newCaller(t, f, "field-north")); got.text != row.want {
				t.Errorf("got %+v, want %s", got, row.want)
			}
		})
	}
}

// twice sends two requests at once and returns the one that was refused.
func twice(send func(t *testing.T, c *caller) reply) func(t *testing.T, c *caller) reply {
	return func(t *testing.T, c *caller) reply {
		for _, p := range c.fleet.Plains {
			p.Set(plain.Faults{Slow: 100 * time.Millisecond})
		}
		var g sync.WaitGroup
		replies := make([]reply, 2)
		for i := range replies {
			g.Go(func() { replies[i] = send(t, c) })
		}
		g.Wait()
		if replies[0].status == http.StatusOK {
			return replies[1]
		}
		return replies[0]
	}
}

// silently sends a request to endpoints that never answer.
func silently(send func(t *testing.T, c *caller) reply) func(t *testing.T, c *caller) reply {
	return func(t *testing.T, c *caller) reply {
		for _, p := range c.fleet.Plains {
			p.Set(plain.Faults{Silent: 1})
		}
		return send(t, c)
	}
}

func TestRepeatRulesOfTheDocument(t *testing.T) {
	for name, row := range map[string]struct {
		rules  any
		status int
	}{
		"with a rule":    {[]map[string]string{{"method": "POST", "path": "/transfers"}}, http.StatusOK},
		"without a rule": {[]map[string]string{}, http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, edit("custody", "/repeat", row.rules))
			// Break the endpoint of the instance's own zone: only a repeat at
			// another can answer.
			f.Plains[3].Set(plain.Faults{After: 1})
			got, err := newCaller(t, f, "field-north").plain(t.Context(), 3, http.MethodPost, "/transfers", "", nil)
			if err != nil || got.status != row.status {
				t.Errorf("%+v, %v, want status %d", got, err, row.status)
			}
		})
	}
}

func TestKeepTimeOfTheDocument(t *testing.T) {
	for keep, status := range map[string]int{"1ms": http.StatusGone, "1m": http.StatusOK} {
		t.Run(keep, func(t *testing.T) {
			f := startFleet(t, edit("custody", "/times/keep", keep))
			c := newCaller(t, f, "field-north")
			for i, want := range []int{http.StatusOK, status, status} {
				got, err := c.plain(t.Context(), i, http.MethodGet, "/cylinders/1", "k", nil)
				if err != nil || got.status != want {
					t.Errorf("call %d: %+v, %v, want status %d", i, got, err, want)
				}
				time.Sleep(5 * time.Millisecond)
			}
			if b := stopped(t, f); b.Records != 1 || len(f.runs()) != 1 {
				t.Errorf("%+v, runs %v", b, f.runs())
			}
		})
	}
}

func TestDefaultTokensOfTheDocument(t *testing.T) {
	f := startFleet(t, edit("drafting", "/tokens/default", 7))
	message := json.RawMessage(`{"role":"user","content":"no bound"}`)
	body := []byte(`{"model":"draft-small","messages":[` + string(message) + `]}`)
	want := strings.Join(engine.Answer(engine.Request{Model: "draft-small", Messages: []json.RawMessage{message}, MaxTokens: 7}), "")
	if got, err := newCaller(t, f, "field-north").chat(t.Context(), 0, "", body); err != nil || got.text != want {
		t.Errorf("%+v, %v, want %q", got, err, want)
	}
}

func TestTriesOfTheDocument(t *testing.T) {
	for tries, status := range map[int]int{1: http.StatusBadGateway, 3: http.StatusOK} {
		t.Run(strconv.Itoa(tries), func(t *testing.T) {
			f := startFleet(t, edit("custody", "/retries", map[string]any{"tries": tries, "ratio": 1}))
			f.Plains[3].Set(plain.Faults{After: 1})
			got, err := newCaller(t, f, "field-north").plain(t.Context(), 3, http.MethodGet, "/cylinders/1", "", nil)
			if err != nil || got.status != status {
				t.Errorf("%+v, %v, want status %d", got, err, status)
			}
		})
	}
}

// TestWaitTimeOfTheDocument lets one request hold nearly all of a budget. A
// second, at another instance, waits for it to settle, or not.
func TestWaitTimeOfTheDocument(t *testing.T) {
	for wait, want := range map[string]int{"5s": http.StatusOK, "1ms": http.StatusPaymentRequired} {
		t.Run(wait, func(t *testing.T) {
			f := startFleet(t, func(c *Config) {
				edit("drafting", "/times/wait", wait)(c)
				c.Engine.Step = 10 * time.Millisecond
				c.Budgets["field-north-main"] = 1_000
			})
			c := newCaller(t, f, "field-north")
			var g sync.WaitGroup
			g.Go(func() {
				body, _ := chatBody(1, 100, false)
				if got, err := c.chat(t.Context(), 0, "", body); err != nil || got.status != http.StatusOK {
					t.Errorf("the first: %+v, %v", got, err)
				}
			})
			time.Sleep(100 * time.Millisecond)
			body, _ := chatBody(2, 5, false)
			if got, err := c.chat(t.Context(), 2, "", body); err != nil || got.status != want {
				t.Errorf("the second: %+v, %v, want status %d", got, err, want)
			}
			g.Wait()
			stopped(t, f)
		})
	}
}

func TestEscrowOfTheDocument(t *testing.T) {
	drawn := map[string]int64{}
	for endure, alone := range map[string]int64{"1s": 0, "10h": 5_000} {
		t.Run(endure, func(t *testing.T) {
			f := startFleet(t, func(c *Config) {
				c.Edit = func(_ string, src []byte) ([]byte, error) {
					return patch(src, "/escrow", map[string]any{"endure": endure, "alone": alone})
				}
			})
			c := newCaller(t, f, "field-north")
			for n := range 40 {
				body, _ := chatBody(n, 10, false)
				if got, err := c.chat(t.Context(), 0, "", body); err != nil || got.status != http.StatusOK {
					t.Fatalf("%+v, %v", got, err)
				}
				time.Sleep(20 * time.Millisecond)
			}
			b, err := f.Admin.Budget(t.Context(), "field-north-main")
			if err != nil {
				t.Fatal(err)
			}
			r := b.Row(b.ShareIDs()[0])
			drawn[endure] = r.Granted()
			if (len(r.Witnesses()) > 0) != (alone > 0) {
				t.Errorf("escrow.alone %d, witnesses %v", alone, r.Witnesses())
			}
		})
	}
	if drawn["10h"] <= 2*drawn["1s"] {
		t.Errorf("drawn for 10h %d, for 1s %d", drawn["10h"], drawn["1s"])
	}
}
