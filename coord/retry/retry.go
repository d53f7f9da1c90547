package retry

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	// maxCredit is the most credit, in retries, that a service can accumulate.
	maxCredit = 20
	// initialCredit is the credit of a service before its first request.
	initialCredit = 3
	// minBackoff and maxBackoff bound the backoff between attempts.
	minBackoff = 10 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
)

// Throttle holds the retry credits of many services. The zero value is ready to
// use.
type Throttle struct {
	mu      sync.Mutex
	credits map[string]float64
}

// Attempts limits the attempts at one request.
type Attempts struct {
	throttle  *Throttle
	service   string
	remaining int
	backoff   *backoff.ExponentialBackOff
}

// Begin starts a request to a service. The request adds ratio to the service's
// credit and may have at most limit attempts.
func (t *Throttle) Begin(service string, ratio float64, limit int) *Attempts {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.credits == nil {
		t.credits = map[string]float64{}
	}
	credit, ok := t.credits[service]
	if !ok {
		credit = initialCredit
	}
	t.credits[service] = min(credit+ratio, maxCredit)
	return &Attempts{throttle: t, service: service, remaining: limit - 1}
}

// Next waits for the backoff and reports whether the request may be retried. It
// returns false if no attempt or no credit is left, or if ctx ends first. A free
// retry spends no credit: it follows an attempt that the other side refused before
// it did any work, which adds very little load.
func (a *Attempts) Next(ctx context.Context, free bool) bool {
	if a.remaining <= 0 || !free && !a.throttle.spend(a.service) {
		return false
	}
	a.remaining--
	if a.backoff == nil {
		a.backoff = backoff.NewExponentialBackOff()
		a.backoff.InitialInterval = minBackoff
		a.backoff.MaxInterval = maxBackoff
	}
	t := time.NewTimer(a.backoff.NextBackOff())
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (t *Throttle) spend(service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.credits[service] < 1 {
		return false
	}
	t.credits[service]--
	return true
}
