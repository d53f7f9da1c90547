package retry

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	// maxCredit is the largest credit, in retries, that a service can accumulate.
	maxCredit = 20
	// initialCredit is the credit, in retries, of a service before its first request.
	initialCredit = 3
	// minBackoff is the backoff before the first retry of a request. It grows by half
	// with each further retry, up to maxBackoff. Each wait is drawn at random from
	// half to one and a half times the backoff.
	minBackoff = 10 * time.Millisecond
	// maxBackoff is the largest backoff between two attempts, before the random
	// variation.
	maxBackoff = 500 * time.Millisecond
)

// Throttle holds the retry credit of each service. Requests earn credit, and retries
// spend it. The zero value is ready to use.
type Throttle struct {
	mu      sync.Mutex
	credits map[string]float64 // in retries, by service; at most maxCredit
}

// Attempts counts the retries that remain for one request and spends the credit of
// the request's service for them. Throttle.Begin creates it.
type Attempts struct {
	throttle  *Throttle
	service   string
	remaining int                         // retries that the limit of attempts still allows, whatever the credit
	backoff   *backoff.ExponentialBackOff // nil before the first retry
}

// Begin starts a request to a service. It adds ratio, in retries, to the credit of
// the service, up to maxCredit. The request may have at most limit attempts,
// including the first one, for which the caller does not call Next.
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

// Next waits for the backoff and then reports whether the request may be retried. It
// returns false without waiting if the request has no attempts left or its service
// has a credit of less than one retry. It returns false if ctx ends during the
// backoff.
//
// A free retry needs and spends no credit. The caller sets free if the other side
// refused the last attempt before it did any work, so that a retry adds very little
// load.
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

// spend subtracts one retry from the credit of a service. If the credit is less than
// one retry, it subtracts nothing and returns false.
func (t *Throttle) spend(service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.credits[service] < 1 {
		return false
	}
	t.credits[service]--
	return true
}
