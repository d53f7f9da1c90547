package trial

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"jacinthladder.dev/internal/entry/call"
	"jacinthladder.dev/internal/stand/plain"
	"jacinthladder.dev/internal/stand/store"
)

var (
	randomCount = flag.Int("requests", 400, "number of requests that TestRandomisedRun sends")
	randomSeed  = flag.Uint64("seed", 1, "seed of the random choices of TestRandomisedRun")
)

// randomRun is one run of TestRandomisedRun. It sends random requests to a fleet,
// injects random faults and records the results.
type randomRun struct {
	fleet  *Fleet
	caller *caller

	mu           sync.Mutex
	random       *rand.Rand
	answered     int                 // requests with a complete response; all copies of a request count as one
	unknown      int                 // requests that may have run, and those whose caller disconnected
	refused      int                 // requests all of whose copies were refused with the outcome not-run
	refusalCodes map[string]int      // refused requests by error code
	idsByKey     map[string][]string // IDs of the at-most-once requests, by idempotency key
	notRunIDs    []string            // IDs of requests that were refused with the outcome not-run
	problems     []string            // descriptions of errors and wrong responses
}

// TestRandomisedRun sends requests to the model and the plain service while endpoints
// and the platform fail. Some requests are sent several times with the same idempotency key,
// and some callers disconnect. For a long run, use
//
//	go test ./internal/tools/trial -run TestRandomisedRun -requests 100000 -seed N -timeout 1h
func TestRandomisedRun(t *testing.T) {
	f := startFleet(t, func(c *Config) {
		c.Engine.TokenInterval = time.Millisecond
		c.Edit = func(file string, src []byte) ([]byte, error) {
			src, err := setField(src, "/times/gap", "150ms")
			if err == nil {
				src, err = setField(src, "/limits", map[string]int{})
			}
			if err != nil || file != c.PlainDocument {
				return src, err
			}
			if src, err = setField(src, "/times/first", "1s"); err != nil {
				return src, err
			}
			return setField(src, "/times/total", "2s")
		}
	})
	run := &randomRun{
		fleet: f, caller: newCaller(t, f, "certificates"),
		random: rand.New(rand.NewPCG(*randomSeed, 2)), idsByKey: map[string][]string{}, refusalCodes: map[string]int{},
	}
	// Each instance draws a share of the budget before the faults start. An instance
	// without a share cannot draw one during an outage of the platform, and rightly
	// refuses requests then.
	for i := range f.Nodes {
		body, _ := chatBody(-1-i, 40, false)
		if got, err := run.caller.chat(t.Context(), i, "", body); err != nil || got.status != http.StatusOK {
			t.Fatalf("chat request before the faults: got response %+v, error %v, want status 200 and no error", got, err)
		}
	}
	run.answered = len(f.Nodes)
	ctx, cancel := context.WithCancel(t.Context())
	var faults, work sync.WaitGroup
	faults.Go(func() { run.injectFaults(ctx) })
	slots := make(chan struct{}, 48)
	for n := range *randomCount {
		slots <- struct{}{}
		work.Go(func() {
			run.sendAndRecord(t, n)
			<-slots
		})
	}
	work.Wait()
	cancel()
	faults.Wait()
	run.clearFaults()
	run.check(t, stopAndCheck(t, f))
}

// intN returns a random number from 0 to n-1. The numbers depend on the seed of the
// run.
func (run *randomRun) intN(n int) int {
	run.mu.Lock()
	defer run.mu.Unlock()
	return run.random.IntN(n)
}

// injectFaults injects random faults into engines, plain services and the platform, one
// after the other, until ctx is done.
func (run *randomRun) injectFaults(ctx context.Context) {
	for ctx.Err() == nil {
		e := run.fleet.Engines[run.intN(len(run.fleet.Engines))]
		p := run.fleet.PlainServices[run.intN(len(run.fleet.PlainServices))]
		switch run.intN(9) {
		case 0:
			e.StallStreams()
		case 1:
			e.Crash()
			time.Sleep(time.Duration(run.intN(100)) * time.Millisecond)
			e.Restart()
		case 2:
			e.SetLeaving(true)
			time.Sleep(time.Duration(run.intN(100)) * time.Millisecond)
			e.SetLeaving(false)
		case 3:
			p.SetFaults(plain.Faults{BreakBefore: 1})
		case 4:
			p.SetFaults(plain.Faults{BreakAfter: 1})
		case 5:
			p.SetFaults(plain.Faults{Unanswered: 1})
		case 6:
			run.fleet.Platform.SetFaults(store.Faults{LostResponses: 3})
		case 7:
			run.fleet.Platform.SetFaults(store.Faults{Delay: 50 * time.Millisecond})
		case 8:
			run.fleet.Platform.SetFaults(store.Faults{Down: true})
			time.Sleep(time.Duration(run.intN(200)) * time.Millisecond)
			run.fleet.Platform.SetFaults(store.Faults{})
		}
		time.Sleep(time.Duration(run.intN(100)) * time.Millisecond)
	}
}

// clearFaults ends the faults of the platform and the plain services. Those of the
// engines are over when injectFaults returns.
func (run *randomRun) clearFaults() {
	run.fleet.Platform.SetFaults(store.Faults{})
	for _, p := range run.fleet.PlainServices {
		p.SetFaults(plain.Faults{})
	}
}

// sendAndRecord sends request n, checks each response and records the result. One in
// three requests has an idempotency key. Such a request is sent one to three times, to
// random instances, within 30 ms. For one in 40 requests the caller disconnects after
// 10 ms.
func (run *randomRun) sendAndRecord(t *testing.T, n int) {
	key, copies := "", 1
	if run.intN(3) == 0 {
		key = fmt.Sprint("key-", n)
		copies = 1 + run.intN(3)
	}
	kind, disconnects := run.intN(4), run.intN(40) == 0
	var g sync.WaitGroup
	responses := make([]response, copies)
	for i := range responses {
		instance, delay := run.intN(len(run.fleet.Nodes)), time.Duration(run.intN(30))*time.Millisecond
		g.Go(func() {
			if i > 0 {
				time.Sleep(delay)
			}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if disconnects {
				ctx, cancel = context.WithTimeout(ctx, 10*time.Millisecond)
				defer cancel()
			}
			responses[i] = run.send(ctx, n, instance, kind, key, disconnects)
		})
	}
	g.Wait()
	run.recordResult(kind, key, responses, disconnects)
}

// send sends request n to an instance and checks the response, unless the caller
// disconnects. The kinds are:
//   - 0: a chat with streaming
//   - 1: a chat without streaming
//   - 2: a POST to the plain service, which runs at most once
//   - 3: a GET from the plain service, which may be retried
func (run *randomRun) send(ctx context.Context, n, instance, kind int, key string, disconnects bool) response {
	var got response
	var err error
	var want string
	switch kind {
	case 0, 1:
		var body []byte
		body, want = chatBody(n, 40, kind == 0)
		got, err = run.caller.chat(ctx, instance, key, body)
	case 2:
		want = fmt.Sprintf(`"body":"transfer %d"`, n)
		got, err = run.caller.plain(ctx, instance, http.MethodPost, "/transfers", key, fmt.Appendf(nil, "transfer %d", n))
	default:
		want = fmt.Sprintf(`"path":"/cylinders/%d"`, n)
		got, err = run.caller.plain(ctx, instance, http.MethodGet, fmt.Sprintf("/cylinders/%d", n), key, nil)
	}
	if disconnects {
		return got
	}
	complete := got.status == http.StatusOK && !got.truncated
	correct := got.text == want || kind > 1 && strings.Contains(got.text, want)
	if err != nil || complete && !correct {
		run.addProblem("request %d of kind %d (0 streamed chat, 1 chat, 2 POST, 3 GET): got response %+v, error %v, want the text %q", n, kind, got, err, want)
	}
	if got.truncated && !strings.HasPrefix(want, got.text) {
		run.addProblem("request %d: got truncated text %q, want the start of %q", n, got.text, want)
	}
	return got
}

// addProblem records the description of an error or a wrong response, which check
// reports as a test failure.
func (run *randomRun) addProblem(format string, args ...any) {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.problems = append(run.problems, fmt.Sprintf(format, args...))
}

// recordResult counts the result of one request: answered, refused or unknown. The
// argument kind is one of the kinds of send. The responses are those to all copies of the
// request; there are several copies only if the request has an idempotency key.
func (run *randomRun) recordResult(kind int, key string, responses []response, disconnects bool) {
	run.mu.Lock()
	defer run.mu.Unlock()
	answered, notRun := false, true
	for _, r := range responses {
		answered = answered || r.status == http.StatusOK && !r.truncated && !disconnects
		notRun = notRun && r.outcome == call.NotRun && r.status != 0
		if kind == 2 && key != "" {
			run.idsByKey[key] = append(run.idsByKey[key], r.id)
		}
		if kind > 1 && r.outcome == call.NotRun && key == "" {
			run.notRunIDs = append(run.notRunIDs, r.id)
		}
	}
	switch {
	case answered:
		run.answered++
	case notRun:
		run.refused++
		run.refusalCodes[responses[0].text]++
		if kind == 2 {
			for _, r := range responses {
				run.notRunIDs = append(run.notRunIDs, r.id)
			}
		}
	default:
		run.unknown++
	}
}

// check reports the first five recorded problems. It checks that at-most-once requests
// with the same idempotency key ran at most once, and that no request that was refused
// with the outcome not-run ran at the plain service. There must be a usage record for
// each answered request, and none beyond the answered and unknown ones. At least half of
// the requests must be answered.
func (run *randomRun) check(t *testing.T, b Billing) {
	t.Helper()
	for i, p := range run.problems {
		if i < 5 {
			t.Error(p)
		}
	}
	runs := run.fleet.plainRuns()
	for key, ids := range run.idsByKey {
		sum := 0
		for _, id := range ids {
			sum += runs[id]
		}
		if sum > 1 {
			t.Errorf("at-most-once requests with the idempotency key %s ran %d times, want at most once", key, sum)
		}
	}
	for _, id := range run.notRunIDs {
		if runs[id] > 0 {
			t.Errorf("request %s ran at the plain service although it was refused with the outcome not-run, want no run", id)
		}
	}
	if b.Records < run.answered || b.Records > run.answered+run.unknown {
		t.Errorf("got %d usage records for %d answered requests and %d that may have run, want at least one record for each answered request and at most the sum of both", b.Records, run.answered, run.unknown)
	}
	if run.answered < *randomCount/2 {
		t.Errorf("%d of %d requests got a complete response, want at least half", run.answered, *randomCount)
	}
	t.Logf("seed %d: %d requests answered, %d refused, %d with an unknown outcome, %d usage records; refused requests by code %v", *randomSeed, run.answered, run.refused, run.unknown, b.Records, run.refusalCodes)
}
