package choose

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cespare/xxhash/v2"

	"jacinthladder.dev/internal/conf/spec"
	"jacinthladder.dev/internal/entry/call"
	"jacinthladder.dev/internal/stand/engine"
)

var tableFile = flag.String("table", "", "write the table of policies to this file")

var quiet = &log.Logger{Handler: discard.Default, Level: log.FatalLevel}

const (
	zoneCount    = 4
	enginesEach  = 3
	slotsEach    = 16
	stepTime     = 10 * time.Millisecond
	prefillTime  = 200 * time.Microsecond
	prefixTokens = 500
	themeCount   = 48
	cacheSize    = 6
	maxTokens    = 40
)

// service returns the document of the fleet that the policies route for.
func service(t testing.TB) *spec.Service {
	t.Helper()
	var endpoints []string
	for z := range zoneCount {
		for n := range enginesEach {
			endpoints = append(endpoints, fmt.Sprintf(`{"name":"e%d-%d","zone":"z%d","url":"http://127.0.0.1:1","slots":%d}`, z, n, z, slotsEach))
		}
	}
	src := fmt.Sprintf(`{"name":"s","kind":"model","models":["m"],"budgets":{"a":["b"]},"ranks":{"*":4},"endpoints":[%s]}`, strings.Join(endpoints, ","))
	s, err := spec.Parse("s", []byte(src), 1)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// rig is five instances before twelve engines in four zones.
type rig struct {
	engines map[string]*engine.Engine
	names   []string
	boards  []*Picker
	service *spec.Service
	mu      sync.Mutex
	random  *rand.Rand
	open    map[string][]int // by policies that count: per instance and engine
	turn    []int
}

func newRig(t testing.TB, seed uint64) *rig {
	r := &rig{engines: map[string]*engine.Engine{}, service: service(t), random: rand.New(rand.NewPCG(seed, 3)), open: map[string][]int{}}
	for _, e := range r.service.Endpoints() {
		r.names = append(r.names, e.Name())
		r.engines[e.Name()] = engine.New(engine.Config{
			Name: e.Name(), Slots: e.Slots(), Prefill: prefillTime, Step: stepTime, Cache: cacheSize,
			Lag: 500 * time.Millisecond, Keep: time.Second,
		})
	}
	for i := range 5 {
		r.boards = append(r.boards, NewPicker(fmt.Sprint("i", i), fmt.Sprint("z", i%zoneCount), quiet, func() int { return 4 }, r.draw))
		r.turn = append(r.turn, i)
	}
	for _, n := range r.names {
		r.open[n] = make([]int, 5)
	}
	return r
}

func (r *rig) draw(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.IntN(n)
}

// policy picks an engine for a call at an instance, and takes the result.
type policy struct {
	name string
	pick func(r *rig, instance int, c *call.Call, tried []string) (name string, done func(Result), err error)
}

var policies = []policy{
	{"this", func(r *rig, i int, c *call.Call, tried []string) (string, func(Result), error) {
		p, err := r.boards[i].Pick(context.Background(), c, tried)
		if err != nil {
			return "", nil, err
		}
		return p.Name(), p.End, nil
	}},
	{"random", func(r *rig, _ int, _ *call.Call, _ []string) (string, func(Result), error) {
		return r.names[r.draw(len(r.names))], func(Result) {}, nil
	}},
	{"round-robin", func(r *rig, i int, _ *call.Call, _ []string) (string, func(Result), error) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.turn[i]++
		return r.names[r.turn[i]%len(r.names)], func(Result) {}, nil
	}},
	{"least-loaded", func(r *rig, i int, _ *call.Call, _ []string) (string, func(Result), error) {
		start := r.draw(len(r.names))
		r.mu.Lock()
		defer r.mu.Unlock()
		best := r.names[start]
		for n := range r.names {
			if name := r.names[(start+n)%len(r.names)]; r.open[name][i] < r.open[best][i] {
				best = name
			}
		}
		r.open[best][i]++
		return best, func(Result) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.open[best][i]--
		}, nil
	}},
}

// outcome is what one cell of the table saw.
type outcome struct {
	mu       sync.Mutex
	first    []time.Duration
	gap      []time.Duration
	hits     int
	refused  int
	failed   int
	answered int
}

func (o *outcome) note(t engine.Timing) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.answered++
	o.first = append(o.first, t.First)
	o.gap = append(o.gap, t.Gap)
	if t.Hit {
		o.hits++
	}
}

func (o *outcome) count(field *int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	*field++
}

func quantile(all []time.Duration, q float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[min(int(q*float64(len(all))), len(all)-1)]
}

// run sends requests at a part of the fleet's capacity for a while.
func (r *rig) run(p policy, part float64, length time.Duration, hurt func(r *rig)) *outcome {
	// A request runs for 30 tokens on average after its prefill.
	const meanTime = 30*stepTime + prefixTokens*prefillTime/2
	perSecond := part * float64(len(r.names)*slotsEach) / meanTime.Seconds()
	o := &outcome{}
	var work sync.WaitGroup
	ctx, stop := context.WithCancel(context.Background())
	work.Go(func() { r.report(ctx) })
	hurt(r)
	var requests sync.WaitGroup
	for began, n := time.Now(), 0; time.Since(began) < length; n++ {
		r.mu.Lock()
		pause := r.random.ExpFloat64() / perSecond
		r.mu.Unlock()
		time.Sleep(time.Duration(pause * float64(time.Second)))
		instance, theme := n%len(r.boards), r.draw(themeCount)
		requests.Go(func() { r.request(p, o, instance, n, theme) })
	}
	requests.Wait()
	stop()
	work.Wait()
	time.Sleep(2 * time.Second) // engines forget their runs
	return o
}

// report hands the engines' lagged reports to the boards every second.
func (r *rig) report(ctx context.Context) {
	for ctx.Err() == nil {
		for _, n := range r.names {
			l := r.engines[n].Load()
			for _, b := range r.boards {
				b.ApplyReport("s", n, l.Running+l.Waiting, l.Leaving)
			}
		}
		select {
		case <-time.After(time.Second):
		case <-ctx.Done():
		}
	}
}

func (r *rig) request(p policy, o *outcome, instance, n, theme int) {
	prefix := json.RawMessage(fmt.Sprintf(`{"role":"system","content":"%d %s"}`, theme, strings.Repeat("abcd", prefixTokens)))
	user := json.RawMessage(fmt.Sprintf(`{"role":"user","content":"%d"}`, n))
	q := engine.Request{Model: "m", Messages: []json.RawMessage{prefix, user}, MaxTokens: maxTokens}
	c := call.NewChat(fmt.Sprint("r", n), "a", "", 0, r.service, call.Chat{Model: "m", PrefixHash: xxhash.Sum64(prefix)})
	var tried []string
	began := time.Now()
	for range 3 {
		name, done, err := p.pick(r, instance, c, tried)
		if err != nil {
			o.count(&o.refused)
			return
		}
		sent := time.Since(began)
		t, err := r.engines[name].Try(context.Background(), c.ID()+name, 4, q)
		if err == nil {
			done(Succeeded)
			t.First += sent
			o.note(t)
			return
		}
		done(Failed)
		tried = append(tried, name)
	}
	o.count(&o.failed)
}

var hurts = []struct {
	name string
	hurt func(r *rig)
}{
	{"healthy", func(*rig) {}},
	{"one engine slow", func(r *rig) {
		r.engines[r.names[0]] = engine.New(engine.Config{
			Slots: slotsEach, Prefill: 4 * prefillTime, Step: 4 * stepTime, Cache: cacheSize, Lag: 500 * time.Millisecond, Keep: time.Second,
		})
	}},
	{"one engine dead", func(r *rig) { r.engines[r.names[0]].Crash() }},
	{"one zone lost", func(r *rig) {
		for _, n := range r.names[:enginesEach] {
			r.engines[n].Crash()
		}
	}},
}

// TestPolicies compares the policies on the engine stand-in, in virtual time.
// With -table it runs all cells for 20 s each and writes the table.
func TestPolicies(t *testing.T) {
	length, parts, cases := 3*time.Second, []float64{0.8}, hurts[:1]
	if *tableFile == "try" {
		length = 10 * time.Second
	} else if *tableFile != "" {
		length, parts, cases = 20*time.Second, []float64{0.5, 0.8, 1, 1.5}, hurts
	}
	var table strings.Builder
	table.WriteString("# Routing: policies on the engine stand-in\n\nWritten by `go test ./internal/route/choose -run TestPolicies -table FILE`; do not edit.\n" +
		"12 engines in 4 zones, 5 instances, 20 s each; prompts share 48 prefixes, each engine caches 6.\n\n" +
		"| fault | load | policy | answered | refused | failed | first token p95 | between tokens p95 | prefix hits |\n|---|---|---|---|---|---|---|---|---|\n")
	var rows []*string
	var group sync.WaitGroup
	slots := make(chan struct{}, 6)
	for _, h := range cases {
		for _, part := range parts {
			for _, p := range policies {
				row := new(string)
				rows = append(rows, row)
				group.Go(func() {
					slots <- struct{}{}
					defer func() { <-slots }()
					var o *outcome
					synctest.Test(t, func(t *testing.T) { o = newRig(t, 1).run(p, part, length, h.hurt) })
					if o.answered == 0 {
						t.Errorf("%s at %v: %s answered nothing", h.name, part, p.name)
					}
					*row = fmt.Sprintf("| %s | %.0f %% | %s | %d | %d | %d | %.0f ms | %.0f ms | %.1f %% |\n", h.name, 100*part, p.name,
						o.answered, o.refused, o.failed, ms(quantile(o.first, 0.95)), ms(quantile(o.gap, 0.95)), 100*float64(o.hits)/float64(max(o.answered, 1)))
				})
			}
		}
	}
	group.Wait()
	for _, row := range rows {
		table.WriteString(*row)
	}
	if *tableFile == "" || *tableFile == "try" {
		t.Log(table.String())
		return
	}
	if err := os.WriteFile(*tableFile, []byte(table.String()), 0o644); err != nil {
		t.Fatal(err)
	}
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
