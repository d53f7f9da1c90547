package engine

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrDown means that the engine is crashed, leaving, or lost the run.
var ErrDown = errors.New("engine: down")

// Timing is how long a run took.
type Timing struct {
	First time.Duration // to the first token
	Gap   time.Duration // the longest between two tokens
	Total time.Duration
	Hit   bool // the prompt began in the cache
}

// Try runs a request without HTTP and returns how long it took.
func (e *Engine) Try(ctx context.Context, id string, rank int, q Request) (Timing, error) {
	e.mu.Lock()
	if e.crashed || e.leaving {
		e.mu.Unlock()
		return Timing{}, ErrDown
	}
	r := newRun(id, rank, q)
	e.runs[id] = r
	e.mu.Unlock()
	began := time.Now()
	e.start(r, q)
	var t Timing
	last, seen := began, 0
	for {
		made, usage, ended, next := r.look()
		now := time.Now()
		if made > seen {
			if seen == 0 {
				t.First, t.Hit = now.Sub(began), usage.Details.Cached > 0
			} else {
				t.Gap = max(t.Gap, now.Sub(last))
			}
			last, seen = now, made
		}
		if ended {
			t.Total = now.Sub(began)
			if !r.whole() {
				return t, ErrDown
			}
			return t, nil
		}
		select {
		case <-next:
		case <-ctx.Done():
			r.stop()
			return t, ctx.Err()
		}
	}
}
