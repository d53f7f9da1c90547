package retry

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	// maxCredit is the most retries that a service can save up.
	maxCredit = 20
	// initialCredit is what a service has at the start.
	initialCredit = 3
	// minBackoff and lastPause bound the pause between tries.
	minBackoff = 10 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
)

// Throttle holds the retry funds of many services. The zero value is ready.
type Throttle struct {
	mu      sync.Mutex
	credits map[string]float64
}

// Attempts counts the tries of one request.
type Attempts struct {
	pool    *Throttle
	service string
	left    int
	pause   *backoff.ExponentialBackOff
}

// Begin counts a request of a service, which earns ratio retries, and returns
// its attempts, at most tries in all.
func (p *Throttle) Begin(service string, ratio float64, tries int) *Attempts {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.credits == nil {
		p.credits = map[string]float64{}
	}
	saved, ok := p.credits[service]
	if !ok {
		saved = initialCredit
	}
	p.credits[service] = min(saved+ratio, maxCredit)
	return &Attempts{pool: p, service: service, left: tries - 1}
}

// Next reports whether the request may be tried again, after a pause. A try
// that the other side refused before it did any work is free of the fund, as
// it adds next to no load.
func (a *Attempts) Next(ctx context.Context, free bool) bool {
	if a.left <= 0 || !free && !a.pool.spend(a.service) {
		return false
	}
	a.left--
	if a.pause == nil {
		a.pause = backoff.NewExponentialBackOff()
		a.pause.InitialInterval = minBackoff
		a.pause.MaxInterval = maxBackoff
	}
	t := time.NewTimer(a.pause.NextBackOff())
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (p *Throttle) spend(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.credits[service] < 1 {
		return false
	}
	p.credits[service]--
	return true
}
