package engine

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrDown is returned by Engine.Run if the engine has crashed or is leaving, or if
// the run ended before it had generated all of its tokens.
var ErrDown = errors.New("engine: run failed: the engine has crashed or is leaving, or the run ended before its last token")

// Latency holds the times that Engine.Run measured for one run, and whether the run used
// the prefix cache.
type Latency struct {
	FirstToken time.Duration // from entering the queue to the first token
	MaxGap     time.Duration // longest time between two consecutive tokens
	Total      time.Duration // from entering the queue to the end of the run
	CacheHit   bool          // the first message of the prompt was in the prefix cache
}

// Run generates the response to a request, without HTTP, and returns the latencies
// once the run has ended. The arguments id and priority are the values that a request
// over HTTP has in StreamHeader and PriorityHeader. If the engine rejects the run or ends
// it early, Run returns ErrDown. If ctx is done before the run has ended, Run cancels the
// run and returns the error of ctx.
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
