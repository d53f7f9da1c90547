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

// path is one router before one engine, all on loopback in this process.
type path struct {
	fleet  *trial.Fleet
	engine string // base address
	caller load.Caller
}

// startPath starts one instance and an engine that makes tokens at a step.
func startPath(ctx context.Context, step time.Duration, slots int) (*path, error) {
	c := trial.Default(&log.Logger{Handler: textlog.New(io.Discard), Level: log.InfoLevel})
	c.Zones = []string{"ikeja"}
	c.Engine = engine.Config{Slots: slots, Step: step, Cache: 64, Lag: 300 * time.Millisecond, Keep: time.Second}
	c.Budgets, c.Default = nil, 1<<50
	c.Edit = func(_ string, src []byte) ([]byte, error) {
		text := strings.ReplaceAll(string(src), `"rate": 200, "open": 400`, "")
		return []byte(strings.ReplaceAll(text, `"gap": "1s"`, `"gap": "1m"`)), nil
	}
	f, err := trial.Start(ctx, c)
	if err != nil {
		return nil, err
	}
	s := f.Nodes[0].Config().Snapshot().Service("drafting-models")
	return &path{
		fleet: f, engine: s.Endpoints()[0].URL(),
		caller: load.Caller{Account: "field-north", Key: f.Keys["field-north"], Model: "draft-small"},
	}, nil
}

// load sends a load through the router, or straight to the engine.
func (p *path) load(ctx context.Context, direct bool, c load.Config) (*load.Report, error) {
	c.Callers, c.Targets, c.Direct, c.Stream = []load.Caller{p.caller}, p.fleet.URLs(), direct, 1
	if direct {
		c.Targets = []string{p.engine}
	}
	r := load.Run(ctx, c)
	if r.Answered() == 0 || r.Failed() > 0 {
		return nil, errors.Newf("load failed:\n%s", r)
	}
	return r, nil
}

// cost is what a load took.
type cost struct {
	processor float64 // us for each request
	allocs    float64 // for each request
	rate      float64 // requests/s
	report    *load.Report
}

func (p *path) cost(ctx context.Context, direct bool, c load.Config) (cost, error) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	began := processor()
	r, err := p.load(ctx, direct, c)
	if err != nil {
		return cost{}, err
	}
	spent := processor() - began
	runtime.ReadMemStats(&after)
	n := float64(r.Answered())
	return cost{
		processor: float64(spent.Microseconds()) / n,
		allocs:    float64(after.Mallocs-before.Mallocs) / n,
		rate:      r.Rate(),
		report:    r,
	}, nil
}

// tokenWork measures the router's processor time for each request against the
// tokens of its answer: all that the load costs through it, less what the same
// load costs straight to the engine.
func tokenWork(ctx context.Context, p *path) (work, allocs *Slope, err error) {
	counts := map[int]float64{}
	work, err = measure("token", "us of processor for a request", "tokens of its answer", []int{16, 64, 256, 1_024}, func(n int) (float64, error) {
		c := load.Config{Count: 40_000 / n, Time: time.Minute, Workers: 8, Tokens: int64(n), Themes: 8, Seed: uint64(n)}
		via, err := p.cost(ctx, false, c)
		if err != nil {
			return 0, err
		}
		c.Seed++
		direct, err := p.cost(ctx, true, c)
		counts[n] = via.allocs - direct.allocs
		return via.processor - direct.processor, err
	})
	if err != nil {
		return nil, nil, err
	}
	allocs, err = measure("allocs", "allocations for a request", "tokens of its answer", []int{16, 64, 256, 1_024}, func(n int) (float64, error) {
		return counts[n], nil
	})
	return work, allocs, err
}

// streamMemory measures the bytes that the router holds for open streams: all
// that streams through it take up, less what streams straight to the engine do.
func streamMemory(ctx context.Context, sizes []int) (*Slope, error) {
	return measure("stream", "bytes held", "open streams", sizes, func(n int) (float64, error) {
		p, err := startPath(ctx, 30*time.Second, 2*n)
		if err != nil {
			return 0, err
		}
		direct, err := p.openStreams(ctx, n, true)
		if err != nil {
			return 0, errors.CombineErrors(err, p.fleet.Close())
		}
		via, err := p.openStreams(ctx, n, false)
		return via - direct, errors.CombineErrors(err, p.fleet.Close())
	})
}

// Streams are opened dialCount at a time, with a pause, so that no queue of
// new connections overflows.
const (
	dialCount = 100
	dialPause = 20 * time.Millisecond
)

// settleTime is what connections are given to end.
const settleTime = time.Second

// openStreams opens so many streams, measures what they take up, and drops them.
func (p *path) openStreams(ctx context.Context, n int, direct bool) (float64, error) {
	before, already := memory(), p.running()
	ctx, drop := context.WithCancel(ctx)
	defer drop()
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	target := p.engine
	if !direct {
		target = p.fleet.URLs()[0]
	}
	var g sync.WaitGroup
	var mu sync.Mutex
	var failed error
	for i := range n {
		if i%dialCount == 0 {
			time.Sleep(dialPause)
		}
		g.Go(func() {
			err := p.openStream(ctx, client, target, i, direct)
			mu.Lock()
			defer mu.Unlock()
			if err != nil && ctx.Err() == nil {
				failed = err
			}
		})
	}
	deadline := time.Now().Add(time.Minute)
	failure := func() error {
		mu.Lock()
		defer mu.Unlock()
		return failed
	}
	for p.running()-already < n && failure() == nil && time.Now().Before(deadline) {
		time.Sleep(20 * time.Millisecond)
	}
	held := memory() - before
	opened := p.running() - already
	drop()
	g.Wait()
	for _, e := range p.fleet.Engines {
		e.Crash()
		e.Restart()
	}
	time.Sleep(settleTime)
	if opened < n {
		return 0, errors.Newf("%d of %d streams are open: %v", opened, n, failure())
	}
	return held, failure()
}

func (p *path) running() int {
	sum := 0
	for _, e := range p.fleet.Engines {
		l := e.Running()
		sum += l
	}
	return sum
}

func (p *path) openStream(ctx context.Context, client *http.Client, target string, i int, direct bool) error {
	body := `{"model":"draft-small","stream":true,"max_tokens":64,"messages":[{"role":"user","content":"x"}]}`
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, target+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+p.caller.Key)
	if direct {
		r.Header.Set(engine.StreamHeader, "direct-"+time.Now().Format(time.RFC3339Nano)+string(rune('a'+i%26)))
		r.Header.Set(engine.RankHeader, "4")
	}
	resp, err := client.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("status %d", resp.StatusCode)
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}
