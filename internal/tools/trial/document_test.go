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

// editDocument returns an edit of the configuration that sets one field of the
// documents whose file name contains document.
func editDocument(document, path string, value any) func(*Config) {
	return func(c *Config) {
		c.Edit = func(d string, src []byte) ([]byte, error) {
			if !strings.Contains(d, document) {
				return src, nil
			}
			return setField(src, path, value)
		}
	}
}

// usageRecord stops the fleet and returns its usage record, which must be the
// only one.
func usageRecord(t *testing.T, f *Fleet) settle.Record {
	t.Helper()
	if b := stopAndCheck(t, f); b.Records != 1 {
		t.Fatalf("%d usage records, want 1", b.Records)
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

func TestDocumentTokenPrices(t *testing.T) {
	for path, want := range map[string]func(r settle.Record) int64{
		"/prices/input":  func(r settle.Record) int64 { return 9*r.Input + 6*r.Output },
		"/prices/output": func(r settle.Record) int64 { return 2*r.Input + 9*r.Output },
	} {
		t.Run(path, func(t *testing.T) {
			f := startFleet(t, editDocument("drafting", path, 9))
			body, _ := chatBody(1, 20, false)
			if got, err := newCaller(t, f, "field-north").chat(t.Context(), 0, "", body); err != nil || got.status != http.StatusOK {
				t.Fatalf("response %+v, error %v", got, err)
			}
			if r := usageRecord(t, f); r.Cost != want(r) || r.Input == 0 || r.Output == 0 {
				t.Errorf("usage record %+v, want cost %d", r, want(r))
			}
		})
	}
}

func TestDocumentCallPrice(t *testing.T) {
	f := startFleet(t, editDocument("custody", "/prices/call", 77))
	if got, err := newCaller(t, f, "field-north").plain(t.Context(), 0, http.MethodPost, "/transfers", "", nil); err != nil || got.status != http.StatusOK {
		t.Fatalf("response %+v, error %v", got, err)
	}
	if r := usageRecord(t, f); r.Cost != 77 {
		t.Errorf("usage record %+v, want cost 77", r)
	}
}

func TestDocumentCachedPrice(t *testing.T) {
	f := startFleet(t, editDocument("drafting", "/prices/cached", 0))
	c := newCaller(t, f, "field-north")
	body, _ := chatBody(1, 20, false)
	for range 2 {
		if got, err := c.chat(t.Context(), 0, "", body); err != nil || got.status != http.StatusOK {
			t.Fatalf("response %+v, error %v", got, err)
		}
	}
	if b := stopAndCheck(t, f); b.Records != 2 {
		t.Fatalf("billing %+v, want 2 records", b)
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
				t.Errorf("usage record %+v, want cost %d", r, want)
			}
		}
	}
	if cached == 0 {
		t.Error("no cached tokens were billed for the second prompt")
	}
}

func TestDocumentRefusals(t *testing.T) {
	chat := func(tokens int64) func(t *testing.T, c *caller) response {
		return func(t *testing.T, c *caller) response {
			body, _ := chatBody(1, tokens, false)
			got, err := c.chat(t.Context(), 0, "", body)
			if err != nil {
				t.Fatal(err)
			}
			return got
		}
	}
	post := func(t *testing.T, c *caller) response {
		got, err := c.plain(t.Context(), 0, http.MethodPost, "/transfers", "", nil)
		if err != nil {
			t.Fatal(err)
		}
		return got
	}
	for name, row := range map[string]struct {
		document, path string
		value          any
		send           func(t *testing.T, c *caller) response
		want           string
	}{
		"most tokens":     {"drafting", "/tokens/most", 300, chat(301), "bad_request"},
		"budgets":         {"drafting", "/budgets", map[string][]string{"training": {"training-main"}}, chat(10), "no_budget"},
		"models":          {"drafting", "/models", []string{"draft-other"}, chat(10), "unknown_model"},
		"kind":            {"custody", "/name", "ledger-2", post, "unknown_service"},
		"open limit":      {"custody", "/limits", map[string]any{"*": map[string]int{"open": 1}}, sendTwoAtOnce(post), "rate_limit"},
		"rate limit":      {"custody", "/limits", map[string]any{"*": map[string]float64{"rate": 0.5}}, sendTwoAtOnce(post), "rate_limit"},
		"first and total": {"custody", "/times", map[string]string{"first": "50ms", "total": "60ms", "wait": "10ms"}, sendWithoutResponse(post), "no_answer"},
	} {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, editDocument(row.document, row.path, row.value))
			if got := row.send(t, newCaller(t, f, "field-north")); got.text != row.want {
				t.Errorf("response %+v, want code %s", got, row.want)
			}
		})
	}
}

// sendTwoAtOnce returns a function that sends two requests at once and returns
// the refusal of one of them.
func sendTwoAtOnce(send func(t *testing.T, c *caller) response) func(t *testing.T, c *caller) response {
	return func(t *testing.T, c *caller) response {
		for _, p := range c.fleet.PlainServices {
			p.SetFaults(plain.Faults{Delay: 100 * time.Millisecond})
		}
		var g sync.WaitGroup
		responses := make([]response, 2)
		for i := range responses {
			g.Go(func() { responses[i] = send(t, c) })
		}
		g.Wait()
		if responses[0].status == http.StatusOK {
			return responses[1]
		}
		return responses[0]
	}
}

// sendWithoutResponse returns a function that sends a request while each
// endpoint leaves one request without a response.
func sendWithoutResponse(send func(t *testing.T, c *caller) response) func(t *testing.T, c *caller) response {
	return func(t *testing.T, c *caller) response {
		for _, p := range c.fleet.PlainServices {
			p.SetFaults(plain.Faults{Unanswered: 1})
		}
		return send(t, c)
	}
}

func TestDocumentRetryRules(t *testing.T) {
	for name, row := range map[string]struct {
		rules  any
		status int
	}{
		"with a rule":    {[]map[string]string{{"method": "POST", "path": "/transfers"}}, http.StatusOK},
		"without a rule": {[]map[string]string{}, http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, editDocument("custody", "/repeat", row.rules))
			// The endpoint in the instance's zone breaks the connection after the
			// run, so only a retry at another endpoint can succeed.
			f.PlainServices[3].SetFaults(plain.Faults{BreakAfter: 1})
			got, err := newCaller(t, f, "field-north").plain(t.Context(), 3, http.MethodPost, "/transfers", "", nil)
			if err != nil || got.status != row.status {
				t.Errorf("response %+v, error %v, want status %d", got, err, row.status)
			}
		})
	}
}

func TestDocumentReplayTTL(t *testing.T) {
	for keep, status := range map[string]int{"1ms": http.StatusGone, "1m": http.StatusOK} {
		t.Run(keep, func(t *testing.T) {
			f := startFleet(t, editDocument("custody", "/times/keep", keep))
			c := newCaller(t, f, "field-north")
			for i, want := range []int{http.StatusOK, status, status} {
				got, err := c.plain(t.Context(), i, http.MethodGet, "/cylinders/1", "k", nil)
				if err != nil || got.status != want {
					t.Errorf("call %d: response %+v, error %v, want status %d", i, got, err, want)
				}
				time.Sleep(5 * time.Millisecond)
			}
			if b := stopAndCheck(t, f); b.Records != 1 || len(f.plainRuns()) != 1 {
				t.Errorf("billing %+v, runs %v, want one record and one request that ran", b, f.plainRuns())
			}
		})
	}
}

func TestDocumentDefaultTokens(t *testing.T) {
	f := startFleet(t, editDocument("drafting", "/tokens/default", 7))
	message := json.RawMessage(`{"role":"user","content":"no bound"}`)
	body := []byte(`{"model":"draft-small","messages":[` + string(message) + `]}`)
	want := strings.Join(engine.Tokens(engine.Request{Model: "draft-small", Messages: []json.RawMessage{message}, MaxTokens: 7}), "")
	if got, err := newCaller(t, f, "field-north").chat(t.Context(), 0, "", body); err != nil || got.text != want {
		t.Errorf("response %+v, error %v, want text %q", got, err, want)
	}
}

func TestDocumentMaxAttempts(t *testing.T) {
	for tries, status := range map[int]int{1: http.StatusBadGateway, 3: http.StatusOK} {
		t.Run(strconv.Itoa(tries), func(t *testing.T) {
			f := startFleet(t, editDocument("custody", "/retries", map[string]any{"tries": tries, "ratio": 1}))
			f.PlainServices[3].SetFaults(plain.Faults{BreakAfter: 1})
			got, err := newCaller(t, f, "field-north").plain(t.Context(), 3, http.MethodGet, "/cylinders/1", "", nil)
			if err != nil || got.status != status {
				t.Errorf("response %+v, error %v, want status %d", got, err, status)
			}
		})
	}
}

// TestDocumentBudgetTimeout reserves nearly all of a budget for one request. A
// second request at another instance waits for the first to settle if the
// timeout allows it, and is refused otherwise.
func TestDocumentBudgetTimeout(t *testing.T) {
	for wait, want := range map[string]int{"5s": http.StatusOK, "1ms": http.StatusPaymentRequired} {
		t.Run(wait, func(t *testing.T) {
			f := startFleet(t, func(c *Config) {
				editDocument("drafting", "/times/wait", wait)(c)
				c.Engine.TokenInterval = 10 * time.Millisecond
				c.Budgets["field-north-main"] = 1_000
			})
			c := newCaller(t, f, "field-north")
			var g sync.WaitGroup
			g.Go(func() {
				body, _ := chatBody(1, 100, false)
				if got, err := c.chat(t.Context(), 0, "", body); err != nil || got.status != http.StatusOK {
					t.Errorf("first request: response %+v, error %v", got, err)
				}
			})
			time.Sleep(100 * time.Millisecond)
			body, _ := chatBody(2, 5, false)
			if got, err := c.chat(t.Context(), 2, "", body); err != nil || got.status != want {
				t.Errorf("second request: response %+v, error %v, want status %d", got, err, want)
			}
			g.Wait()
			stopAndCheck(t, f)
		})
	}
}

func TestDocumentEscrow(t *testing.T) {
	drawn := map[string]int64{}
	for endure, alone := range map[string]int64{"1s": 0, "10h": 5_000} {
		t.Run(endure, func(t *testing.T) {
			f := startFleet(t, func(c *Config) {
				c.Edit = func(_ string, src []byte) ([]byte, error) {
					return setField(src, "/escrow", map[string]any{"endure": endure, "alone": alone})
				}
			})
			c := newCaller(t, f, "field-north")
			for n := range 40 {
				body, _ := chatBody(n, 10, false)
				if got, err := c.chat(t.Context(), 0, "", body); err != nil || got.status != http.StatusOK {
					t.Fatalf("response %+v, error %v", got, err)
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
		t.Errorf("drew %d for 10h, %d for 1s, want more than twice as much for 10h", drawn["10h"], drawn["1s"])
	}
}
