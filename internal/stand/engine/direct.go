package engine

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrDown is returned if the engine has crashed, is leaving, or did not complete
// the run.
var ErrDown = errors.New("engine: crashed, leaving or run not completed")

// Latency holds the latencies of one run.
type Latency struct {
	FirstToken time.Duration // from the start to the first token
	MaxGap     time.Duration // longest time between two tokens
	Total      time.Duration
	CacheHit   bool // the first message of the prompt was cached
}

// Run runs a request to its end, without HTTP, and returns its latencies.
func (e *Engine) Run(ctx context.Context, id string, priority int, q Request) (Latency, error) {
	e.mu.Lock()
	if e.crashed || e.leaving {
		e.mu.Unlock()
		return Latency{}, ErrDown
	}
	run := newRun(id, priority, q)
	e.runs[id] = run
	e.mu.Unlock()
	startedAt := time.Now()
	e.start(run, q)
	var t Latency
	lastTokenAt, seen := startedAt, 0
	for {
		generated, usage, ended, changed := run.state()
		now := time.Now()
		if generated > seen {
			if seen == 0 {
				t.FirstToken, t.CacheHit = now.Sub(startedAt), usage.Details.Cached > 0
			} else {
				t.MaxGap = max(t.MaxGap, now.Sub(lastTokenAt))
			}
			lastTokenAt, seen = now, generated
		}
		if ended {
			t.Total = now.Sub(startedAt)
			if !run.complete() {
				return t, ErrDown
			}
			return t, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			run.cancel()
			return t, ctx.Err()
		}
	}
}
