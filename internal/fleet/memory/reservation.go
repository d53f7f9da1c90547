package memory

import (
	"context"
	"sync/atomic"
	"time"
)

// Reservation is what is kept for one caller. It is used by one goroutine at a time, but for Close. A nil Reservation
// belongs to no bound.
type Reservation struct {
	bound *Bound
	end   func() bool
	since atomic.Int64 // when it began to wait for its caller, as Bound.now returns it, 0 while it does not wait

	// Guarded by the lock of the bound.
	bytes  int64
	files  int
	ending bool // its end was called
	closed bool
}

// Grow takes more bytes, and reports whether there is room. It may wait for a short time, in which others are
// ended for it.
func (r *Reservation) Grow(bytes int64) bool {
	if r == nil || bytes <= 0 {
		return true
	}
	coming, ok := r.bound.take(r, bytes, 0)
	if !ok && coming {
		ok = r.await(bytes)
	}
	if !ok {
		r.bound.note(r.bound.Refused)
	}
	return ok
}

// await takes more bytes as soon as reservations that are ending have made room, for roomTimeout at most.
func (r *Reservation) await(bytes int64) bool {
	timeout := time.NewTimer(roomTimeout)
	defer timeout.Stop()
	for {
		released := r.bound.awaitRelease()
		coming, ok := r.bound.take(r, bytes, 0)
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
func (r *Reservation) Shrink(bytes int64) {
	if r == nil {
		return
	}
	r.bound.mu.Lock()
	defer r.bound.mu.Unlock()
	r.bound.add(r, -min(bytes, r.bytes), 0)
}

// ShrinkTo gives back what the reservation has taken beyond the given bytes.
func (r *Reservation) ShrinkTo(bytes int64) {
	if r == nil {
		return
	}
	r.bound.mu.Lock()
	defer r.bound.mu.Unlock()
	if r.bytes > bytes {
		r.bound.add(r, bytes-r.bytes, 0)
	}
}

// Close gives everything back. It may be called more than once.
func (r *Reservation) Close() {
	if r == nil {
		return
	}
	r.bound.mu.Lock()
	defer r.bound.mu.Unlock()
	r.closed = true
	r.bound.add(r, -r.bytes, -r.files)
	delete(r.bound.reservations, r)
}

// Wait records that the reservation waits for its caller from now on, and Run that it does not.
func (r *Reservation) Wait() {
	if r != nil {
		r.since.Store(int64(r.bound.now()))
	}
}

// Run records that the reservation does not wait for its caller.
func (r *Reservation) Run() {
	if r != nil {
		r.since.Store(0)
	}
}

// stay records that the reservation was not ended, because it no longer waits.
func (r *Reservation) stay() {
	r.bound.mu.Lock()
	defer r.bound.mu.Unlock()
	r.ending = false
}

// waited returns for how long the reservation has waited for its caller.
func (r *Reservation) waited(now time.Duration) time.Duration {
	since := time.Duration(r.since.Load())
	if since == 0 {
		return 0
	}
	return now - since
}

// start is a time from which waits are measured. It does not follow the time of day, which may jump.
var start = time.Now()

// sinceStart returns the time since start, at least 1.
func sinceStart() time.Duration { return max(time.Since(start), 1) }

// largeBytes returns how many of the bytes of a reservation with the given size count as those of a large one.
func (r *Reservation) largeBytes(bytes int64) int64 {
	if bytes < largeSize {
		return 0
	}
	return bytes
}

// contextKey is the key of a reservation in a context.
type contextKey struct{}

// With returns a context that carries a reservation.
func With(ctx context.Context, h *Reservation) context.Context {
	return context.WithValue(ctx, contextKey{}, h)
}

// From returns the reservation that a context carries, nil if there is none.
func From(ctx context.Context) *Reservation {
	h, _ := ctx.Value(contextKey{}).(*Reservation)
	return h
}
