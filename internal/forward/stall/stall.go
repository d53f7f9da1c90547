// Package stall notices that the process has stood still, for example because it was suspended. What
// the process knew before may be out of date then, and so may messages that it reads at once.
package stall

import (
	"context"
	"sync"
	"time"

	"jacinthladder.dev/internal/fleet/pause"
)

const (
	// beatInterval is the interval at which Run records that the process runs.
	beatInterval = 100 * time.Millisecond
	// minStall is the time without a record that counts as a stall. A busy process may be late.
	minStall = 500 * time.Millisecond
)

// Detector notices stalls of the process while its method Run runs. The zero value is ready to use.
type Detector struct {
	// Ended, if set, is called by Run after each stall.
	Ended func()

	mu      sync.Mutex
	beatAt  time.Time // when Run last recorded that the process runs, zero if it does not run
	endedAt time.Time // when the last stall ended, zero before the first one
}

// Run looks for stalls until ctx ends.
func (d *Detector) Run(ctx context.Context) {
	pause.Every(ctx, beatInterval, func(time.Time) {
		if d.beat(time.Now()) && d.Ended != nil {
			d.Ended()
		}
	})
	d.mu.Lock()
	defer d.mu.Unlock()
	d.beatAt = time.Time{}
}

// beat records that the process runs, and reports whether a stall has ended.
func (d *Detector) beat(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	stalled := d.note(now)
	d.beatAt = now
	return stalled
}

// note records the end of a stall if there was none before.
func (d *Detector) note(now time.Time) bool {
	if d.beatAt.IsZero() || now.Sub(d.beatAt) < minStall {
		return false
	}
	d.endedAt = now
	return true
}

// EndedAt returns when the last stall ended, zero if there was none. The end of a stall is known at once,
// also before Run notices it.
func (d *Detector) EndedAt(now time.Time) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.note(now)
	return d.endedAt
}
