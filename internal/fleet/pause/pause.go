// Package pause provides sleeps and repeated calls that the end of a context cuts short.
package pause

import (
	"context"
	"time"
)

// For returns after the duration d, or when ctx ends if that is earlier.
func For(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// Every calls do once per interval until ctx ends, with the time of the tick. Of the
// ticks during a call, one is handled after it and the others are dropped.
func Every(ctx context.Context, interval time.Duration, do func(now time.Time)) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			do(now)
		}
	}
}
