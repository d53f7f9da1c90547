package slopes

import (
	"context"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	textlog "github.com/apex/log/handlers/text"
	"github.com/cockroachdb/errors"

	"jacinthladder.dev/internal/stand/engine"
	"jacinthladder.dev/internal/tools/load"
	"jacinthladder.dev/internal/tools/trial"
)

// testbed is one router in front of stand-ins for engines, on loopback in this process.
type testbed struct {
	fleet     *trial.Fleet
	engineURL string // base address of the first engine, to which loads that bypass the router are sent
	caller    load.Caller
}

// startTestbed starts one instance and the stand-in services behind it. Each engine
// has the given number of slots and produces one token of each stream per tokenInterval.
// The caller has no rate limit and no limit on open requests. The stall timeout is one
// minute instead of one second.
func startTestbed(ctx context.Context, tokenInterval time.Duration, slots int) (*testbed, error) {
	c := trial.DefaultConfig(&log.Logger{Handler: textlog.New(io.Discard), Level: log.InfoLevel})
	c.Zones = []string{"ikeja"}
	c.Engine = engine.Config{Slots: slots, TokenInterval: tokenInterval, CachedPrefixes: 64, ReportDelay: 300 * time.Millisecond, RunTTL: time.Second}
	c.Budgets, c.DefaultBudget = nil, 1<<50
	c.Edit = func(_ string, src []byte) ([]byte, error) {
		text := strings.ReplaceAll(string(src), `"rate": 200, "open": 400`, "")
		return []byte(strings.ReplaceAll(text, `"gap": "1s"`, `"gap": "1m"`)), nil
	}
	f, err := trial.Start(ctx, c)
	if err != nil {
		return nil, err
	}
	s := f.Nodes[0].Config().Snapshot().Service("drafting-models")
	return &testbed{
		fleet: f, engineURL: s.Endpoints()[0].URL(),
		caller: load.Caller{Account: "field-north", Key: f.Keys["field-north"], Model: "draft-small"},
	}, nil
}

// runLoad sends a load through the router, or directly to an engine if direct is set.
// It fails unless at least one request is answered and no request fails.
func (t *testbed) runLoad(ctx context.Context, direct bool, c load.Config) (*load.Report, error) {
	c.Callers, c.Targets, c.Direct, c.StreamFraction = []load.Caller{t.caller}, t.fleet.URLs(), direct, 1
	if direct {
		c.Targets = []string{t.engineURL}
	}
	r := load.Run(ctx, c)
	if r.Answered() == 0 || r.Failed() > 0 {
		return nil, errors.Newf("load run: want at least one answered request and no failed one, got:\n%s", r)
	}
	return r, nil
}

// loadCost holds the CPU time and the number of allocations of one run of a load, as
// means per answered request, and the rate and the report of the run.
type loadCost struct {
	cpuPerRequest    float64 // us of CPU time per answered request
	allocsPerRequest float64 // memory allocations per answered request
	requestRate      float64 // answered requests per second
	report           *load.Report
}

// measureLoad runs a load as runLoad does and returns its cost. The cost includes that
// of the client and the engines, which run in this process too.
func (t *testbed) measureLoad(ctx context.Context, direct bool, c load.Config) (loadCost, error) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	start := cpuTime()
	r, err := t.runLoad(ctx, direct, c)
	if err != nil {
		return loadCost{}, err
	}
	used := cpuTime() - start
	runtime.ReadMemStats(&after)
	n := float64(r.Answered())
	return loadCost{
		cpuPerRequest:    float64(used.Microseconds()) / n,
		allocsPerRequest: float64(after.Mallocs-before.Mallocs) / n,
		requestRate:      r.Rate(),
		report:           r,
	}, nil
}

// tokenCost measures how the router's CPU time and number of allocations per request
// grow with the tokens of the response. The router's cost is the cost of a load sent
// through the router, less that of the same load sent directly to an engine.
func tokenCost(ctx context.Context, t *testbed) (cpu, allocs *Slope, err error) {
	allocsByTokens := map[int]float64{}
	cpu, err = measure("token", "us of CPU time per request", "tokens of the response", []int{16, 64, 256, 1_024}, func(n int) (float64, error) {
		c := load.Config{Count: 40_000 / n, Duration: time.Minute, Workers: 8, Tokens: int64(n), SystemMessages: 8, Seed: uint64(n)}
		routed, err := t.measureLoad(ctx, false, c)
		if err != nil {
			return 0, err
		}
		c.Seed++
		direct, err := t.measureLoad(ctx, true, c)
		allocsByTokens[n] = routed.allocsPerRequest - direct.allocsPerRequest
		return routed.cpuPerRequest - direct.cpuPerRequest, err
	})
	if err != nil {
		return nil, nil, err
	}
	allocs, err = measure("allocs", "allocations per request", "tokens of the response", []int{16, 64, 256, 1_024}, func(n int) (float64, error) {
		return allocsByTokens[n], nil
	})
	return cpu, allocs, err
}

// streamMemory measures how many bytes of memory the router uses for each number of
// open streams in sizes. From the memory that the streams use through the router, it
// subtracts the memory that as many streams use directly at an engine.
func streamMemory(ctx context.Context, sizes []int) (*Slope, error) {
	return measure("stream", "bytes of memory", "open streams", sizes, func(n int) (float64, error) {
		t, err := startTestbed(ctx, 30*time.Second, 2*n)
		if err != nil {
			return 0, err
		}
		direct, err := t.measureStreams(ctx, n, true)
		if err != nil {
			return 0, errors.CombineErrors(err, t.fleet.Close())
		}
		routed, err := t.measureStreams(ctx, n, false)
		return routed - direct, errors.CombineErrors(err, t.fleet.Close())
	})
}

// Streams are opened dialBatch at a time, with a pause of dialPause between two
// batches, so that no listen queue overflows.
const (
	dialBatch = 100
	dialPause = 20 * time.Millisecond
)

// closeWait is the time that connections are given to close after their streams end.
const closeWait = time.Second

// measureStreams opens n streams and returns by how many bytes the memory of this process
// grows. The growth includes the memory of the client, of the engines and, unless direct
// is set, of the router. Before measureStreams returns, it cancels the streams and restarts
// the engines to end their runs.
func (t *testbed) measureStreams(ctx context.Context, n int, direct bool) (float64, error) {
	memoryBefore, streamsBefore := memoryInUse(), t.runningStreams()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	target := t.engineURL
	if !direct {
		target = t.fleet.URLs()[0]
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	var lastErr error
	for i := range n {
		if i%dialBatch == 0 {
			time.Sleep(dialPause)
		}
		wg.Go(func() {
			err := t.runStream(ctx, client, target, i, direct)
			mu.Lock()
			defer mu.Unlock()
			if err != nil && ctx.Err() == nil {
				lastErr = err
			}
		})
	}
	deadline := time.Now().Add(time.Minute)
	streamErr := func() error {
		mu.Lock()
		defer mu.Unlock()
		return lastErr
	}
	for t.runningStreams()-streamsBefore < n && streamErr() == nil && time.Now().Before(deadline) {
		time.Sleep(20 * time.Millisecond)
	}
	growth := memoryInUse() - memoryBefore
	opened := t.runningStreams() - streamsBefore
	cancel()
	wg.Wait()
	for _, e := range t.fleet.Engines {
		e.Crash()
		e.Restart()
	}
	time.Sleep(closeWait)
	if opened < n {
		return 0, errors.Newf("measure stream memory: only %d of %d streams were open at the end, last error: %v", opened, n, streamErr())
	}
	return growth, streamErr()
}

// runningStreams returns the number of streams whose run holds a slot of an engine.
func (t *testbed) runningStreams() int {
	sum := 0
	for _, e := range t.fleet.Engines {
		n := e.Running()
		sum += n
	}
	return sum
}

// runStream opens stream number i at the base address target, which is that of an engine
// if direct is set and that of a router otherwise. It reads the stream until the stream
// ends or ctx is done.
func (t *testbed) runStream(ctx context.Context, client *http.Client, target string, i int, direct bool) error {
	body := `{"model":"draft-small","stream":true,"max_tokens":64,"messages":[{"role":"user","content":"x"}]}`
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, target+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+t.caller.Key)
	if direct {
		r.Header.Set(engine.StreamHeader, "direct-"+time.Now().Format(time.RFC3339Nano)+string(rune('a'+i%26)))
		r.Header.Set(engine.PriorityHeader, "4")
	}
	resp, err := client.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("open stream: got status %d, want 200", resp.StatusCode)
	}
	return readStream(resp.Body)
}
