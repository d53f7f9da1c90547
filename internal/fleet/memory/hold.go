package memory

import (
	"context"
	"sync/atomic"
	"time"
)

// Hold is what is kept for one caller. It is used by one goroutine at a time, but for Close. A nil Hold
// belongs to no bound.
type Hold struct {
	bound *Bound
	end   func() bool
	since atomic.Int64 // when it began to wait for its caller, as Bound.now returns it, 0 while it does not wait

	// Guarded by the lock of the bound.
	bytes  int64
	files  int
	ending bool // its end was called
	closed bool
}

// Grow takes more bytes, and reports whether there is room. It may wait for a short time, in which holds are
// ended for it.
func (h *Hold) Grow(bytes int64) bool {
	if h == nil || bytes <= 0 {
		return true
	}
	coming, ok := h.bound.take(h, bytes, 0)
	if !ok && coming {
		ok = h.await(bytes)
	}
	if !ok {
		h.bound.note(h.bound.Refused)
	}
	return ok
}

// await takes more bytes as soon as holds that are ending have made room, for roomTimeout at most.
func (h *Hold) await(bytes int64) bool {
	timeout := time.NewTimer(roomTimeout)
	defer timeout.Stop()
	for {
		released := h.bound.awaitRelease()
		coming, ok := h.bound.take(h, bytes, 0)
		if ok || !coming {
			return ok
		}
		select {
		case <-released:
		case <-timeout.C:
			return false
		}
	}
}

// Shrink gives bytes back.
func (h *Hold) Shrink(bytes int64) {
	if h == nil {
		return
	}
	h.bound.mu.Lock()
	defer h.bound.mu.Unlock()
	h.bound.add(h, -min(bytes, h.bytes), 0)
}

// ShrinkTo gives back what the hold has taken beyond the given bytes.
func (h *Hold) ShrinkTo(bytes int64) {
	if h == nil {
		return
	}
	h.bound.mu.Lock()
	defer h.bound.mu.Unlock()
	if h.bytes > bytes {
		h.bound.add(h, bytes-h.bytes, 0)
	}
}

// Close gives everything back. It may be called more than once.
func (h *Hold) Close() {
	if h == nil {
		return
	}
	h.bound.mu.Lock()
	defer h.bound.mu.Unlock()
	h.closed = true
	h.bound.add(h, -h.bytes, -h.files)
	delete(h.bound.holds, h)
}

// Wait records that the hold waits for its caller from now on, and Run that it does not.
func (h *Hold) Wait() {
	if h != nil {
		h.since.Store(int64(h.bound.now()))
	}
}

// Run records that the hold does not wait for its caller.
func (h *Hold) Run() {
	if h != nil {
		h.since.Store(0)
	}
}

// stay records that the hold was not ended, because it no longer waits.
func (h *Hold) stay() {
	h.bound.mu.Lock()
	defer h.bound.mu.Unlock()
	h.ending = false
}

// waited returns for how long the hold has waited for its caller.
func (h *Hold) waited(now time.Duration) time.Duration {
	since := time.Duration(h.since.Load())
	if since == 0 {
		return 0
	}
	return now - since
}

// start is a time from which waits are measured. It does not follow the time of day, which may jump.
var start = time.Now()

// sinceStart returns the time since start, at least 1.
func sinceStart() time.Duration { return max(time.Since(start), 1) }

// largeBytes returns how many of the bytes of a hold with the given size count as those of a large one.
func (h *Hold) largeBytes(bytes int64) int64 {
	if bytes < largeHold {
		return 0
	}
	return bytes
}

// contextKey is the key of a hold in a context.
type contextKey struct{}

// With returns a context that carries a hold.
func With(ctx context.Context, h *Hold) context.Context {
	return context.WithValue(ctx, contextKey{}, h)
}

// From returns the hold that a context carries, nil if there is none.
func From(ctx context.Context) *Hold {
	h, _ := ctx.Value(contextKey{}).(*Hold)
	return h
}
