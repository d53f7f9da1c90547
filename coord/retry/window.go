package retry

import (
	"sync"
	"time"
)

// buckets is the number of buckets of equal length into which the span of a Window
// is divided. A Window keeps one bucket more, because the span usually begins within
// a bucket.
const buckets = 20

// Window limits the retries of one process in every span of time of a given length.
// The limit is a ratio of the process's requests in the span plus a fixed number,
// extraRetries. Several processes keep a common limit without communicating if
// extraRetries is divided among them.
//
// Requests count only while they are younger than the span, and retries count for
// one bucket longer than that. So the limit holds in every span, whatever its start.
//
// Set Span, and call SetLimit, before use.
type Window struct {
	// Span is the length of each span of time in which the limit holds.
	Span time.Duration

	mu           sync.Mutex
	ratio        float64              // retries allowed per request in the span
	extraRetries float64              // retries allowed in the span in addition to ratio
	current      int64                // number of the bucket in use, counted from the Unix epoch
	requests     [buckets + 1]float64 // counted requests, by bucket number modulo the array length
	retries      [buckets + 1]float64 // counted retries, by bucket number modulo the array length
}

// SetLimit sets the largest number of retries in each span: ratio for each request
// in the span, plus extraRetries. Requests and retries counted before the call still
// count.
func (w *Window) SetLimit(ratio, extraRetries float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ratio, w.extraRetries = ratio, extraRetries
}

// AddRequest counts a request that arrives at the time now. Retries of the request
// are not counted here but by AllowRetry.
func (w *Window) AddRequest(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests[w.advance(now)]++
}

// AllowRetry reports whether the limit allows a retry at the time now. If it does,
// the retry is counted, and the caller should make it. Otherwise nothing is counted.
func (w *Window) AllowRetry(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := w.advance(now)
	var requests, retries float64
	for j := range w.retries {
		retries += w.retries[j]
		if j != (i+1)%len(w.requests) { // requests in the oldest bucket may be older than the span
			requests += w.requests[j]
		}
	}
	if retries+1 > w.ratio*requests+w.extraRetries {
		return false
	}
	w.retries[i]++
	return true
}

// advance makes the bucket that contains the time now the current one. It clears the
// counts of the buckets that have begun since the last call. It returns the index of
// the current bucket in the arrays. The caller holds the lock.
func (w *Window) advance(now time.Time) int {
	bucket := now.UnixNano() / max(int64(w.Span)/buckets, 1)
	if w.current == 0 {
		w.current = bucket
	}
	for ; w.current < bucket; w.current++ {
		i := (w.current + 1) % int64(len(w.retries))
		w.requests[i], w.retries[i] = 0, 0
		if bucket-w.current > int64(len(w.retries)) {
			w.current = bucket - int64(len(w.retries)) - 1
		}
	}
	return int(w.current % int64(len(w.retries)))
}
