// Package pause holds up a goroutine for a time that a context can cut short.
package pause

import (
	"context"
	"time"
)

// For waits for d or the end of ctx.
func For(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
