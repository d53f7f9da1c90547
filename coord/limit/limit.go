package limit

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// DemandTTL is how long the demand of a process counts after its last report.
	DemandTTL = 10 * time.Minute
	// windowLength is the interval over which demand is measured.
	windowLength = time.Second
	// smoothing is the weight of a new window in the moving average.
	smoothing = 0.3
	// minFraction is the least fraction of an equal share that each process may
	// admit, so that a process with new demand can start.
	minFraction = 0.2
	// tolerance is the rounding error allowed in sums of fractions.
	tolerance = 1e-6
	// maxDemands is the most demands that one message carries.
	maxDemands = 64
)

// Key identifies what a limit applies to: the requests of an account to a service.
type Key struct {
	Account string
	Service string
}

// Limit is a limit over all processes. A field of 0 means no limit.
type Limit struct {
	Rate     float64 // requests per second
	InFlight int     // concurrent requests
}

// Demand is the demand on one key at one process.
type Demand struct {
	Key
	Rate     float64 // requests per second, admitted or not
	InFlight int
}

// Limiter admits one process's share of all limits. Make one with New.
type Limiter struct {
	self string
	live func() []string

	mu    sync.Mutex
	local map[Key]*meter
	peers map[string]report
}

// meter measures this process's demand on one key.
type meter struct {
	rate        float64
	inFlight    int
	count       int
	windowStart time.Time
	bucket      *rate.Limiter
}

// report holds the demands that another process last reported.
type report struct {
	demands map[Key]Demand
	at      time.Time
}

// New returns the limiter of the process self. The function live returns the
// other processes that are live.
func New(self string, live func() []string) *Limiter {
	return &Limiter{self: self, live: live, local: map[Key]*meter{}, peers: map[string]report{}}
}

// Admit admits a request if this process's share of the limit allows it. It
// returns the function to call when the request ends, or false and the time after
// which to retry.
func (l *Limiter) Admit(k Key, limit Limit) (release func(), after time.Duration, ok bool) {
	if limit == (Limit{}) {
		return func() {}, 0, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	m := l.meter(k, now)
	m.count++
	rateFraction, inFlightFraction := l.fractions(k, m, now)
	if limit.InFlight > 0 && float64(m.inFlight+1) > max(float64(limit.InFlight)*inFlightFraction, 1)+tolerance {
		return nil, windowLength, false
	}
	if limit.Rate > 0 && !m.allow(limit.Rate*rateFraction, now) {
		return nil, windowLength, false
	}
	m.inFlight++
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		m.inFlight--
	}, 0, true
}

// allow takes one request from the token bucket, which fills at the given rate.
func (m *meter) allow(perSecond float64, now time.Time) bool {
	limit, burst := rate.Limit(perSecond), max(int(perSecond), 1)
	if m.bucket == nil {
		m.bucket = rate.NewLimiter(limit, burst)
	}
	m.bucket.SetLimitAt(now, limit)
	m.bucket.SetBurstAt(now, burst)
	return m.bucket.AllowN(now, 1)
}

func (l *Limiter) meter(k Key, now time.Time) *meter {
	m := l.local[k]
	if m == nil {
		m = &meter{windowStart: now}
		l.local[k] = m
	}
	m.advance(now)
	return m
}

// advance adds the windows that have elapsed to the moving average.
func (m *meter) advance(now time.Time) {
	elapsed := now.Sub(m.windowStart)
	if elapsed < windowLength {
		return
	}
	measured := float64(m.count) / elapsed.Seconds()
	for range min(int(elapsed/windowLength), 32) {
		m.rate += smoothing * (measured - m.rate)
	}
	m.count = 0
	m.windowStart = now
}

// fractions returns the fractions of a key's rate limit and concurrency limit that
// this process may admit. It also removes the reports that have expired.
func (l *Limiter) fractions(k Key, m *meter, now time.Time) (rateFraction, inFlightFraction float64) {
	var peerRate, peerInFlight float64
	processes := 1 + len(l.live())
	for p, r := range l.peers {
		if now.Sub(r.at) > DemandTTL {
			delete(l.peers, p)
			continue
		}
		peerRate += r.demands[k].Rate
		peerInFlight += float64(r.demands[k].InFlight)
	}
	processes = max(processes, 1+len(l.peers))
	return fraction(m.rate, peerRate, processes), fraction(float64(m.inFlight), peerInFlight, processes)
}

// fraction returns local as a fraction of local + peers, scaled so that the result
// is at least minFraction of an equal share.
func fraction(local, peers float64, processes int) float64 {
	least := minFraction / float64(processes)
	if local+peers == 0 {
		return max(1/float64(processes), least)
	}
	return least + (1-minFraction)*(local/(local+peers))
}

// Demands returns this process's demands in descending order of rate, at most
// maxDemands. It also removes the meters of idle keys.
func (l *Limiter) Demands() []Demand {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	var demands []Demand
	for k, m := range l.local {
		m.advance(now)
		if m.rate > 0.01 || m.inFlight > 0 {
			demands = append(demands, Demand{Key: k, Rate: m.rate, InFlight: m.inFlight})
			continue
		}
		delete(l.local, k)
	}
	slices.SortFunc(demands, func(a, b Demand) int { return cmp.Compare(b.Rate, a.Rate) })
	return demands[:min(len(demands), maxDemands)]
}

// SetPeer replaces the demands reported by another process.
func (l *Limiter) SetPeer(process string, demands []Demand) {
	if process == "" || process == l.self {
		return
	}
	r := report{demands: make(map[Key]Demand, len(demands)), at: time.Now()}
	for _, d := range demands {
		r.demands[d.Key] = d
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peers[process] = r
}
