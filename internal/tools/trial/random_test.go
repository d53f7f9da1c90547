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
	randomCount = flag.Int("requests", 400, "requests of the randomised run")
	randomSeed  = flag.Uint64("seed", 1, "seed of the randomised run")
)

// chaos is the randomised run: its requests, what came back, and its faults.
type chaos struct {
	fleet  *Fleet
	caller *caller

	mu       sync.Mutex
	random   *rand.Rand
	answered int // requests answered whole, duplicates left out
	unsure   int // requests that may have run, and callers that left
	refused  int
	codes    map[string]int      // refusals by code
	keys     map[string][]string // request IDs by key of calls that must not run twice
	notRun   []string            // request IDs refused as not run
	problems []string
}

// TestRandomisedRun sends requests of all kinds, with duplicates and callers
// that leave, while endpoints and platform fail. A long run is
//
//	go test ./internal/tools/trial -run TestRandomisedRun -requests 100000 -seed N -timeout 1h
func TestRandomisedRun(t *testing.T) {
	f := startFleet(t, func(c *Config) {
		c.Engine.Step = time.Millisecond
		c.Edit = func(document string, src []byte) ([]byte, error) {
			src, err := patch(src, "/times/gap", "150ms")
			if err == nil {
				src, err = patch(src, "/limits", map[string]int{})
			}
			if err != nil || document != c.Plain {
				return src, err
			}
			if src, err = patch(src, "/times/first", "1s"); err != nil {
				return src, err
			}
			return patch(src, "/times/total", "2s")
		}
	})
	z := &chaos{
		fleet: f, caller: newCaller(t, f, "certificates"),
		random: rand.New(rand.NewPCG(*randomSeed, 2)), keys: map[string][]string{}, codes: map[string]int{},
	}
	// Each instance draws a share while all is well: one that starts in an outage
	// has nothing to spend, and rightly refuses.
	for i := range f.Nodes {
		body, _ := chatBody(-1-i, 40, false)
		if got, err := z.caller.chat(t.Context(), i, "", body); err != nil || got.status != http.StatusOK {
			t.Fatalf("%+v, %v", got, err)
		}
	}
	z.answered = len(f.Nodes)
	ctx, stop := context.WithCancel(t.Context())
	var faults, work sync.WaitGroup
	faults.Go(func() { z.hurt(ctx) })
	slots := make(chan struct{}, 48)
	for n := range *randomCount {
		slots <- struct{}{}
		work.Go(func() {
			z.request(t, n)
			<-slots
		})
	}
	work.Wait()
	stop()
	faults.Wait()
	z.heal()
	z.verdict(t, stopped(t, f))
}

func (z *chaos) draw(n int) int {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.random.IntN(n)
}

// hurt causes one fault after another.
func (z *chaos) hurt(ctx context.Context) {
	for ctx.Err() == nil {
		e := z.fleet.Engines[z.draw(len(z.fleet.Engines))]
		p := z.fleet.Plains[z.draw(len(z.fleet.Plains))]
		switch z.draw(9) {
		case 0:
			e.Hush()
		case 1:
			e.Crash()
			time.Sleep(time.Duration(z.draw(100)) * time.Millisecond)
			e.Restart()
		case 2:
			e.Leave(true)
			time.Sleep(time.Duration(z.draw(100)) * time.Millisecond)
			e.Leave(false)
		case 3:
			p.Set(plain.Faults{Before: 1})
		case 4:
			p.Set(plain.Faults{After: 1})
		case 5:
			p.Set(plain.Faults{Silent: 1})
		case 6:
			z.fleet.Platform.Set(store.Faults{Lose: 3})
		case 7:
			z.fleet.Platform.Set(store.Faults{Slow: 50 * time.Millisecond})
		case 8:
			z.fleet.Platform.Set(store.Faults{Down: true})
			time.Sleep(time.Duration(z.draw(200)) * time.Millisecond)
			z.fleet.Platform.Set(store.Faults{})
		}
		time.Sleep(time.Duration(z.draw(100)) * time.Millisecond)
	}
}

func (z *chaos) heal() {
	z.fleet.Platform.Set(store.Faults{})
	for _, p := range z.fleet.Plains {
		p.Set(plain.Faults{})
	}
}

// request sends request n, maybe twice at once under one key, and checks each
// answer.
func (z *chaos) request(t *testing.T, n int) {
	key, times := "", 1
	if z.draw(3) == 0 {
		key = fmt.Sprint("key-", n)
		times = 1 + z.draw(3)
	}
	kind, leaves := z.draw(4), z.draw(40) == 0
	var g sync.WaitGroup
	replies := make([]reply, times)
	for i := range replies {
		at, late := z.draw(len(z.fleet.Nodes)), time.Duration(z.draw(30))*time.Millisecond
		g.Go(func() {
			if i > 0 {
				time.Sleep(late)
			}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if leaves {
				ctx, cancel = context.WithTimeout(ctx, 10*time.Millisecond)
				defer cancel()
			}
			replies[i] = z.send(ctx, n, at, kind, key, leaves)
		})
	}
	g.Wait()
	z.note(kind, key, replies, leaves)
}

func (z *chaos) send(ctx context.Context, n, at, kind int, key string, leaves bool) reply {
	var got reply
	var err error
	var want string
	switch kind {
	case 0, 1:
		var body []byte
		body, want = chatBody(n, 40, kind == 0)
		got, err = z.caller.chat(ctx, at, key, body)
	case 2:
		want = fmt.Sprintf(`"body":"transfer %d"`, n)
		got, err = z.caller.plain(ctx, at, http.MethodPost, "/transfers", key, fmt.Appendf(nil, "transfer %d", n))
	default:
		want = fmt.Sprintf(`"path":"/cylinders/%d"`, n)
		got, err = z.caller.plain(ctx, at, http.MethodGet, fmt.Sprintf("/cylinders/%d", n), key, nil)
	}
	if leaves {
		return got
	}
	whole := got.status == http.StatusOK && !got.broken
	right := got.text == want || kind > 1 && strings.Contains(got.text, want)
	if err != nil || whole && !right {
		z.problem("request %d of kind %d: %+v, %v, want %q", n, kind, got, err, want)
	}
	if got.broken && !strings.HasPrefix(want, got.text) {
		z.problem("request %d broke off at %q, want %q", n, got.text, want)
	}
	return got
}

func (z *chaos) problem(format string, args ...any) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.problems = append(z.problems, fmt.Sprintf(format, args...))
}

// note counts what came back under one key, or for one request without.
func (z *chaos) note(kind int, key string, replies []reply, leaves bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	answered, notRun := false, true
	for _, r := range replies {
		answered = answered || r.status == http.StatusOK && !r.broken && !leaves
		notRun = notRun && r.outcome == call.NotRun && r.status != 0
		if kind == 2 && key != "" {
			z.keys[key] = append(z.keys[key], r.id)
		}
		if kind > 1 && r.outcome == call.NotRun && key == "" {
			z.notRun = append(z.notRun, r.id)
		}
	}
	switch {
	case answered:
		z.answered++
	case notRun:
		z.refused++
		z.codes[replies[0].text]++
		if kind == 2 {
			for _, r := range replies {
				z.notRun = append(z.notRun, r.id)
			}
		}
	default:
		z.unsure++
	}
}

// verdict checks what must hold over the whole run.
func (z *chaos) verdict(t *testing.T, b Bills) {
	t.Helper()
	for i, p := range z.problems {
		if i < 5 {
			t.Error(p)
		}
	}
	runs := z.fleet.runs()
	for key, ids := range z.keys {
		sum := 0
		for _, id := range ids {
			sum += runs[id]
		}
		if sum > 1 {
			t.Errorf("%s ran %d times", key, sum)
		}
	}
	for _, id := range z.notRun {
		if runs[id] > 0 {
			t.Errorf("%s was refused as not run, and ran", id)
		}
	}
	if b.Records < z.answered || b.Records > z.answered+z.unsure {
		t.Errorf("%d records for %d answers and %d that may have run", b.Records, z.answered, z.unsure)
	}
	if z.answered < *randomCount/2 {
		t.Errorf("only %d of %d were answered", z.answered, *randomCount)
	}
	t.Logf("seed %d: %d answered, %d refused, %d unsure, %d records; refusals %v", *randomSeed, z.answered, z.refused, z.unsure, b.Records, z.codes)
}
