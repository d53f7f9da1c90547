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

var tableFile = flag.String("table", "", "file to write the table of policies to; with the value try, each run takes 10 s and the table is only logged")

var discardLogger = &log.Logger{Handler: discard.Default, Level: log.FatalLevel}

const (
	zoneCount      = 4
	enginesPerZone = 3
	slotsPerEngine = 16
	stepTime       = 10 * time.Millisecond  // time between two tokens of a response
	prefillTime    = 200 * time.Microsecond // time to prefill one prompt token
	prefixTokens   = 500                    // number of tokens in each prefix, approximately
	prefixCount    = 48                     // number of different prefixes of all prompts
	cacheSize      = 6                      // number of prefixes that one engine caches
	maxTokens      = 40                     // largest number of tokens in a response
)

// service returns the model service whose endpoints the policies pick. It has twelve
// engines in four zones.
func service(t testing.TB) *spec.Service {
	t.Helper()
	var endpoints []string
	for z := range zoneCount {
		for n := range enginesPerZone {
			endpoints = append(endpoints, fmt.Sprintf(`{"name":"e%d-%d","zone":"z%d","url":"http://127.0.0.1:1","slots":%d}`, z, n, z, slotsPerEngine))
		}
	}
	src := fmt.Sprintf(`{"name":"s","kind":"model","models":["m"],"budgets":{"a":["b"]},"ranks":{"*":4},"endpoints":[%s]}`, strings.Join(endpoints, ","))
	s, err := spec.Parse("s", []byte(src), 1)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// fleet is a simulated fleet of five instances and twelve engines in four zones.
type fleet struct {
	engines    map[string]*engine.Engine // by endpoint name
	names      []string                  // of the endpoints
	pickers    []*Picker                 // one for each instance
	service    *spec.Service
	mu         sync.Mutex
	random     *rand.Rand
	inFlight   map[string][]int // open requests by engine and instance, counted by the policy least-loaded
	roundRobin []int            // counters of the policy round-robin, by instance; modulo the number of engines, a counter is the index of the engine picked last
}

func newFleet(t testing.TB, seed uint64) *fleet {
	f := &fleet{engines: map[string]*engine.Engine{}, service: service(t), random: rand.New(rand.NewPCG(seed, 3)), inFlight: map[string][]int{}}
	for _, e := range f.service.Endpoints() {
		f.names = append(f.names, e.Name())
		f.engines[e.Name()] = engine.New(engine.Config{
			Name: e.Name(), Slots: e.Slots(), PrefillPerToken: prefillTime, TokenInterval: stepTime, CachedPrefixes: cacheSize,
			ReportDelay: 500 * time.Millisecond, RunTTL: time.Second,
		})
	}
	for i := range 5 {
		f.pickers = append(f.pickers, NewPicker(fmt.Sprint("i", i), fmt.Sprint("z", i%zoneCount), discardLogger, func() int { return 4 }, f.intN))
		f.roundRobin = append(f.roundRobin, i)
	}
	for _, n := range f.names {
		f.inFlight[n] = make([]int, 5)
	}
	return f
}

// intN returns a random number from 0 to n-1 from the fleet's seeded generator.
func (f *fleet) intN(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(n)
}

// policy is a way to pick an engine for a call that arrives at an instance. The
// function pick returns the name of the engine and the function done, to which the
// caller passes the result of the call. The error is a refusal of the call.
type policy struct {
	name string
	pick func(f *fleet, instance int, c *call.Call, tried []string) (name string, done func(Result), err error)
}

var policies = []policy{
	{"this", func(f *fleet, i int, c *call.Call, tried []string) (string, func(Result), error) {
		p, err := f.pickers[i].Pick(context.Background(), c, tried)
		if err != nil {
			return "", nil, err
		}
		return p.Name(), p.End, nil
	}},
	{"random", func(f *fleet, _ int, _ *call.Call, _ []string) (string, func(Result), error) {
		return f.names[f.intN(len(f.names))], func(Result) {}, nil
	}},
	{"round-robin", func(f *fleet, i int, _ *call.Call, _ []string) (string, func(Result), error) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.roundRobin[i]++
		return f.names[f.roundRobin[i]%len(f.names)], func(Result) {}, nil
	}},
	{"least-loaded", func(f *fleet, i int, _ *call.Call, _ []string) (string, func(Result), error) {
		start := f.intN(len(f.names))
		f.mu.Lock()
		defer f.mu.Unlock()
		best := f.names[start]
		for n := range f.names {
			if name := f.names[(start+n)%len(f.names)]; f.inFlight[name][i] < f.inFlight[best][i] {
				best = name
			}
		}
		f.inFlight[best][i]++
		return best, func(Result) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.inFlight[best][i]--
		}, nil
	}},
}

// stats holds the measurements of one run of a policy.
type stats struct {
	mu          sync.Mutex
	firstTokens []time.Duration // time to the first token of each response
	maxGaps     []time.Duration // longest time between two tokens of each response
	hits        int             // responses from engines that had the prefix of the prompt cached
	refused     int             // requests refused by the policy
	failed      int             // requests whose three attempts failed
	answered    int             // complete responses
}

// addResponse records a complete response with its latency.
func (s *stats) addResponse(t engine.Latency) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answered++
	s.firstTokens = append(s.firstTokens, t.FirstToken)
	s.maxGaps = append(s.maxGaps, t.MaxGap)
	if t.CacheHit {
		s.hits++
	}
}

// increment adds one to a counter of s, under the lock of s.
func (s *stats) increment(field *int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*field++
}

// quantile sorts the durations in place and returns their q-quantile, such as the
// median for q = 0.5. It returns 0 if there are none.
func quantile(all []time.Duration, q float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[min(int(q*float64(len(all))), len(all)-1)]
}

// run injects a fault and then sends requests, which policy p assigns to engines,
// for the given length of time. The load is a fraction of the capacity of the
// healthy fleet. run returns the measurements after all requests have ended.
func (f *fleet) run(p policy, load float64, length time.Duration, inject func(f *fleet)) *stats {
	// A request runs for 30 tokens on average after its prefill.
	const meanTime = 30*stepTime + prefixTokens*prefillTime/2
	perSecond := load * float64(len(f.names)*slotsPerEngine) / meanTime.Seconds()
	s := &stats{}
	var work sync.WaitGroup
	ctx, stop := context.WithCancel(context.Background())
	work.Go(func() { f.sendReports(ctx) })
	inject(f)
	var requests sync.WaitGroup
	for began, n := time.Now(), 0; time.Since(began) < length; n++ {
		f.mu.Lock()
		pause := f.random.ExpFloat64() / perSecond
		f.mu.Unlock()
		time.Sleep(time.Duration(pause * float64(time.Second)))
		instance, prefix := n%len(f.pickers), f.intN(prefixCount)
		requests.Go(func() { f.request(p, s, instance, n, prefix) })
	}
	requests.Wait()
	stop()
	work.Wait()
	time.Sleep(2 * time.Second) // longer than engines keep their runs
	return s
}

// sendReports passes the load reports of all engines to the pickers of all instances
// every second until ctx is done. Each report shows the load of an earlier moment.
func (f *fleet) sendReports(ctx context.Context) {
	for ctx.Err() == nil {
		for _, n := range f.names {
			l := f.engines[n].Load()
			for _, picker := range f.pickers {
				picker.ApplyReport("s", n, l.Running+l.Waiting, l.Leaving)
			}
		}
		select {
		case <-time.After(time.Second):
		case <-ctx.Done():
		}
	}
}

// request sends request n with the given prefix to engines that policy p picks, at
// most three times. It records the result in s.
func (f *fleet) request(p policy, s *stats, instance, n, prefix int) {
	system := json.RawMessage(fmt.Sprintf(`{"role":"system","content":"%d %s"}`, prefix, strings.Repeat("abcd", prefixTokens)))
	user := json.RawMessage(fmt.Sprintf(`{"role":"user","content":"%d"}`, n))
	q := engine.Request{Model: "m", Messages: []json.RawMessage{system, user}, MaxTokens: maxTokens}
	c := call.NewChat(fmt.Sprint("r", n), "a", "", 0, f.service, call.Chat{Model: "m", PrefixHash: xxhash.Sum64(system)})
	var tried []string
	began := time.Now()
	for range 3 {
		name, done, err := p.pick(f, instance, c, tried)
		if err != nil {
			s.increment(&s.refused)
			return
		}
		sent := time.Since(began)
		t, err := f.engines[name].Run(context.Background(), c.ID()+name, 4, q)
		if err == nil {
			done(Succeeded)
			t.FirstToken += sent
			s.addResponse(t)
			return
		}
		done(Failed)
		tried = append(tried, name)
	}
	s.increment(&s.failed)
}

// faults lists the faults of the fleet that a run of a policy may have. The first
// entry injects no fault.
var faults = []struct {
	name   string
	inject func(f *fleet)
}{
	{"healthy", func(*fleet) {}},
	{"one engine slow", func(f *fleet) {
		f.engines[f.names[0]] = engine.New(engine.Config{
			Slots: slotsPerEngine, PrefillPerToken: 4 * prefillTime, TokenInterval: 4 * stepTime, CachedPrefixes: cacheSize, ReportDelay: 500 * time.Millisecond, RunTTL: time.Second,
		})
	}},
	{"one engine dead", func(f *fleet) { f.engines[f.names[0]].Crash() }},
	{"one zone lost", func(f *fleet) {
		for _, n := range f.names[:enginesPerZone] {
			f.engines[n].Crash()
		}
	}},
}

// TestPolicies compares the policies on simulated engines in virtual time. With
// -table FILE, it runs each combination of fault, load and policy for 20 s and
// writes a table. With -table try, it runs the usual combinations for 10 s and logs
// the table.
func TestPolicies(t *testing.T) {
	length, loads, injected := 3*time.Second, []float64{0.8}, faults[:1]
	if *tableFile == "try" {
		length = 10 * time.Second
	} else if *tableFile != "" {
		length, loads, injected = 20*time.Second, []float64{0.5, 0.8, 1, 1.5}, faults
	}
	var table strings.Builder
	table.WriteString("# Routing: policies on the engine stand-in\n\nWritten by `go test ./internal/route/choose -run TestPolicies -table FILE`; do not edit.\n" +
		"12 engines in 4 zones, 5 instances, 20 s each; prompts share 48 prefixes, each engine caches 6.\n\n" +
		"| fault | load | policy | answered | refused | failed | first token p95 | between tokens p95 | prefix hits |\n|---|---|---|---|---|---|---|---|---|\n")
	var rows []*string
	var work sync.WaitGroup
	semaphore := make(chan struct{}, 6)
	for _, fault := range injected {
		for _, load := range loads {
			for _, p := range policies {
				row := new(string)
				rows = append(rows, row)
				work.Go(func() {
					semaphore <- struct{}{}
					defer func() { <-semaphore }()
					var s *stats
					synctest.Test(t, func(t *testing.T) { s = newFleet(t, 1).run(p, load, length, fault.inject) })
					if s.answered == 0 {
						t.Errorf("with the fault %q and a load of %v of the capacity, policy %s had no request answered", fault.name, load, p.name)
					}
					*row = fmt.Sprintf("| %s | %.0f %% | %s | %d | %d | %d | %.0f ms | %.0f ms | %.1f %% |\n", fault.name, 100*load, p.name,
						s.answered, s.refused, s.failed, ms(quantile(s.firstTokens, 0.95)), ms(quantile(s.maxGaps, 0.95)), 100*float64(s.hits)/float64(max(s.answered, 1)))
				})
			}
		}
	}
	work.Wait()
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

// ms returns a duration in milliseconds.
func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
