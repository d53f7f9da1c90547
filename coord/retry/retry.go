package retry

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	// mostSaved is the most retries that a service can save up.
	mostSaved = 20
	// firstSaved is what a service has at the start.
	firstSaved = 3
	// firstPause and lastPause bound the pause between tries.
	firstPause = 10 * time.Millisecond
	lastPause  = 500 * time.Millisecond
)

// Pool holds the retry funds of many services. The zero value is ready.
type Pool struct {
	mu    sync.Mutex
	funds map[string]float64
}

// Attempts counts the tries of one request.
type Attempts struct {
	pool    *Pool
	service string
	left    int
	pause   *backoff.ExponentialBackOff
}

// Begin counts a request of a service, which earns ratio retries, and returns
// its attempts, at most tries in all.
func (p *Pool) Begin(service string, ratio float64, tries int) *Attempts {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.funds == nil {
		p.funds = map[string]float64{}
	}
	saved, ok := p.funds[service]
	if !ok {
		saved = firstSaved
	}
	p.funds[service] = min(saved+ratio, mostSaved)
	return &Attempts{pool: p, service: service, left: tries - 1}
}

// Again reports whether the request may be tried again, after a pause. A try
// that the other side refused before it did any work is free of the fund, as
// it adds next to no load.
func (a *Attempts) Again(ctx context.Context, free bool) bool {
	if a.left <= 0 || !free && !a.pool.spend(a.service) {
		return false
	}
	a.left--
	if a.pause == nil {
		a.pause = backoff.NewExponentialBackOff()
		a.pause.InitialInterval = firstPause
		a.pause.MaxInterval = lastPause
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

func (p *Pool) spend(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.funds[service] < 1 {
		return false
	}
	p.funds[service]--
	return true
}
