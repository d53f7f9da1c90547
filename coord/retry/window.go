package retry

import (
	"sync"
	"time"
)

// buckets is the number of parts that a window is counted in.
const buckets = 20

// Window bounds the retries of one process in every span of time: to a ratio of
// its requests and a fixed extra. Processes that cannot talk to each other keep a
// bound for all of them together if each gets its part of the extra.
//
// Requests count only while they are younger than the span and older retries
// count for one part longer, so the bound holds in any span, wherever it begins.
type Window struct {
	// Span is the length of time over which the bound holds.
	Span time.Duration

	mu       sync.Mutex
	ratio    float64
	extra    float64
	at       int64 // the part that is counted now
	requests [buckets + 1]float64
	retries  [buckets + 1]float64
}

// SetLimit sets the most retries in each span: ratio for each request and extra. What
// was counted before still counts.
func (w *Window) SetLimit(ratio, extra float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ratio, w.extra = ratio, extra
}

// AddRequest counts a request.
func (w *Window) AddRequest(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests[w.advance(now)]++
}

// AllowRetry counts a retry and reports true, or reports false if it would be one too
// many.
func (w *Window) AllowRetry(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := w.advance(now)
	var requests, retries float64
	for j := range w.retries {
		retries += w.retries[j]
		if j != (i+1)%len(w.requests) { // the oldest part may be outside the span
			requests += w.requests[j]
		}
	}
	if retries+1 > w.ratio*requests+w.extra {
		return false
	}
	w.retries[i]++
	return true
}

// advance moves on to the part of now and returns its index.
func (w *Window) advance(now time.Time) int {
	part := now.UnixNano() / max(int64(w.Span)/buckets, 1)
	if w.at == 0 {
		w.at = part
	}
	for ; w.at < part; w.at++ {
		i := (w.at + 1) % int64(len(w.retries))
		w.requests[i], w.retries[i] = 0, 0
		if part-w.at > int64(len(w.retries)) {
			w.at = part - int64(len(w.retries)) - 1
		}
	}
	return int(w.at % int64(len(w.retries)))
}
