// Package pause waits for a time that a context can end early.
package pause

import (
	"context"
	"time"
)

// For waits for d or until ctx ends.
func For(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
