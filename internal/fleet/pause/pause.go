// Package pause provides a sleep that the end of a context cuts short.
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
