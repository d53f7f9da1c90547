package front

import (
	"sync"
	"time"

	"jacinthladder.dev/coord/member"
	"jacinthladder.dev/coord/retry"
	"jacinthladder.dev/internal/conf/setup"
)

// minFleetSize is the least number of instances that RetryLimits assumes the fleet to
// have. An instance that cannot reach its peers would otherwise assume that it is the
// only one, and make all the retries that are allowed to the fleet.
const minFleetSize = 6

// RetryLimits limits the retries that this instance makes for each service. The settings
// limit the retries of the whole fleet: a ratio of its requests plus a fixed number. This
// instance applies the ratio to its own requests, and divides the fixed number by the
// number of instances. It uses only the fraction retryFraction of both.
type RetryLimits struct {
	settings   *setup.Forward
	countPeers func() int // returns the number of other live instances

	mu        sync.Mutex
	fleetSize int                      // largest number of instances seen so far, at least minFleetSize
	windows   map[string]*retry.Window // by service
}

// NewRetryLimits returns retry limits that have counted no requests. The table t supplies
// the number of other instances.
func NewRetryLimits(s *setup.Settings, t *member.Table) *RetryLimits {
	return &RetryLimits{settings: s.Forward(), countPeers: t.Others, fleetSize: minFleetSize, windows: map[string]*retry.Window{}}
}

// Window returns the sliding window that limits this instance's retries of requests to a
// service. Each call with the same service returns the same window, whose limits follow
// the settings and the size of the fleet.
func (r *RetryLimits) Window(service string) *retry.Window {
	r.mu.Lock()
	defer r.mu.Unlock()
	if fleet := r.countPeers() + 1; fleet > r.fleetSize {
		r.fleetSize = fleet
		r.updateLimits()
	}
	w := r.windows[service]
	if w == nil {
		w = &retry.Window{Span: time.Duration(r.settings.RetryWindow)}
		r.windows[service] = w
		r.updateLimits()
	}
	return w
}

// configure applies the retry ratio and the fixed number of retries of new settings to all
// windows. A window that exists already keeps its span.
func (r *RetryLimits) configure(s *setup.Forward) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settings = s
	r.updateLimits()
}

// updateLimits sets the limits of all windows from the settings and the size of the fleet.
// The caller holds r.mu.
func (r *RetryLimits) updateLimits() {
	for _, w := range r.windows {
		w.SetLimit(r.settings.RetryRatio*retryFraction, r.settings.ExtraRetries*retryFraction/float64(r.fleetSize))
	}
}

// retryFraction is the fraction of the retries allowed by the settings that the instances
// use. The remaining retries are a reserve for the case that an instance is killed: the
// other instances do not know the requests that it counted.
const retryFraction = 0.8
