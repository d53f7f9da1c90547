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

// editDocument returns an edit of a fleet's configuration. It makes the fleet set the
// field that the JSON Pointer path names to value, in each service document whose file
// name contains document.
func editDocument(document, path string, value any) func(*Config) {
	return func(c *Config) {
		c.Edit = func(file string, src []byte) ([]byte, error) {
			if !strings.Contains(file, document) {
				return src, nil
			}
			return setField(src, path, value)
		}
	}
}

// usageRecord stops all instances and returns the usage record that they stored. The
// test fails unless there is exactly one.
func usageRecord(t *testing.T, f *Fleet) settle.Record {
	t.Helper()
	if b := stopAndCheck(t, f); b.Records != 1 {
		t.Fatalf("the instances stored %d usage records, want 1", b.Records)
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
				t.Fatalf("chat request: got response %+v, error %v, want status 200 and no error", got, err)
			}
			if r := usageRecord(t, f); r.Cost != want(r) || r.Input == 0 || r.Output == 0 {
				t.Errorf("got usage record %+v, want cost %d, and input and output above 0", r, want(r))
			}
		})
	}
}

func TestDocumentCallPrice(t *testing.T) {
	f := startFleet(t, editDocument("custody", "/prices/call", 77))
	if got, err := newCaller(t, f, "field-north").plain(t.Context(), 0, http.MethodPost, "/transfers", "", nil); err != nil || got.status != http.StatusOK {
		t.Fatalf("POST /transfers: got response %+v, error %v, want status 200 and no error", got, err)
	}
	if r := usageRecord(t, f); r.Cost != 77 {
		t.Errorf("got usage record %+v, want cost 77", r)
	}
}

func TestDocumentCachedPrice(t *testing.T) {
	f := startFleet(t, editDocument("drafting", "/prices/cached", 0))
	c := newCaller(t, f, "field-north")
	body, _ := chatBody(1, 20, false)
	for range 2 {
		if got, err := c.chat(t.Context(), 0, "", body); err != nil || got.status != http.StatusOK {
			t.Fatalf("chat request: got response %+v, error %v, want status 200 and no error", got, err)
		}
	}
	if b := stopAndCheck(t, f); b.Records != 2 {
		t.Fatalf("billing of two chat requests: got %+v, want 2 usage records", b)
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
				t.Errorf("got usage record %+v, want cost %d with a cached price of 0", r, want)
			}
		}
	}
	if cached == 0 {
		t.Error("got 0 cached tokens in the usage records of two equal prompts, want more than 0")
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
				t.Errorf("request that the edited service document makes the instance refuse: got response %+v, want error code %s", got, row.want)
			}
		})
	}
}

// sendTwoAtOnce returns a function that calls send twice at the same time, while each
// run takes 100 ms. If the first response has status 200, the function returns the second
// one, else the first: the refusal if one of the two is refused.
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

// sendWithoutResponse returns a function that calls send after it has made each
// endpoint of the plain service leave one request without a response.
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
			// The endpoint in the zone of the instance breaks the connection after it
			// has run the request, so only a retry at another endpoint can succeed.
			f.PlainServices[3].SetFaults(plain.Faults{BreakAfter: 1})
			got, err := newCaller(t, f, "field-north").plain(t.Context(), 3, http.MethodPost, "/transfers", "", nil)
			if err != nil || got.status != row.status {
				t.Errorf("POST /transfers whose connection breaks after the run: got response %+v, error %v, want status %d", got, err, row.status)
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
					t.Errorf("call %d of GET /cylinders/1 with the same idempotency key: got response %+v, error %v, want status %d", i, got, err, want)
				}
				time.Sleep(5 * time.Millisecond)
			}
			if b := stopAndCheck(t, f); b.Records != 1 || len(f.plainRuns()) != 1 {
				t.Errorf("three calls with the same idempotency key: got billing %+v and runs by request ID %v, want one usage record and one request that ran", b, f.plainRuns())
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
		t.Errorf("chat without max_tokens: got response %+v, error %v, want text %q", got, err, want)
	}
}

func TestDocumentMaxAttempts(t *testing.T) {
	for tries, status := range map[int]int{1: http.StatusBadGateway, 3: http.StatusOK} {
		t.Run(strconv.Itoa(tries), func(t *testing.T) {
			f := startFleet(t, editDocument("custody", "/retries", map[string]any{"tries": tries, "ratio": 1}))
			f.PlainServices[3].SetFaults(plain.Faults{BreakAfter: 1})
			got, err := newCaller(t, f, "field-north").plain(t.Context(), 3, http.MethodGet, "/cylinders/1", "", nil)
			if err != nil || got.status != status {
				t.Errorf("GET /cylinders/1 whose connection breaks after the run: got response %+v, error %v, want status %d", got, err, status)
			}
		})
	}
}

// TestDocumentBudgetTimeout reserves nearly all of a budget for one request. A second
// request, at another instance, must wait until the first one is settled. It gets a
// response if the time in /times/wait is long enough, and is refused otherwise.
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
					t.Errorf("chat that reserves nearly all of the budget: got response %+v, error %v, want status 200 and no error", got, err)
				}
			})
			time.Sleep(100 * time.Millisecond)
			body, _ := chatBody(2, 5, false)
			if got, err := c.chat(t.Context(), 2, "", body); err != nil || got.status != want {
				t.Errorf("chat that waits for the budget: got response %+v, error %v, want status %d", got, err, want)
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
					t.Fatalf("chat request: got response %+v, error %v, want status 200 and no error", got, err)
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
				t.Errorf("share with escrow.alone %d has the witnesses %v, want witnesses exactly if escrow.alone is above 0", alone, r.Witnesses())
			}
		})
	}
	if drawn["10h"] <= 2*drawn["1s"] {
		t.Errorf("the instance drew %d micro-units with escrow.endure 10h and %d with 1s, want more than twice as much with 10h", drawn["10h"], drawn["1s"])
	}
}
