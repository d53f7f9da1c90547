package limit

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// DemandTTL is how long the demand that a process reported counts at its peers
	// after its last report.
	DemandTTL = 10 * time.Minute
	// windowLength is the least interval over which request rates are measured. It is
	// also the time after which a refused request should be retried.
	windowLength = time.Second
	// smoothing is the weight of the newest window in the moving average of a request
	// rate.
	smoothing = 0.3
	// minFraction is the fraction of an equal share that each process may admit
	// whatever its demand, so that a process with new demand can start. An equal
	// share is the limit divided by the number of processes.
	minFraction = 0.2
	// tolerance is the rounding error, in requests, that is allowed when the requests
	// in flight are compared with this process's share of the limit.
	tolerance = 1e-6
	// maxDemands is the largest number of demands that Demands returns for one report
	// to a peer. The keys with the lowest rates are left out.
	maxDemands = 64
)

// Key identifies the requests that a limit applies to: those of one account to one
// service.
type Key struct {
	Account string
	Service string
}

// Limit is a limit that all processes together keep. A field of 0 means no limit.
type Limit struct {
	Rate     float64 // requests per second
	InFlight int     // concurrent requests
}

// Demand is the demand of the requests with one key at one process.
type Demand struct {
	Key
	Rate     float64 // requests per second, admitted or not
	InFlight int     // admitted requests that have not ended
}

// Limiter admits or refuses the requests at one process, so that all processes
// together keep their limits. Make one with New.
type Limiter struct {
	self string
	live func() []string

	mu    sync.Mutex
	local map[Key]*meter
	peers map[string]report
}

// meter measures this process's demand on one key and holds the token bucket of the
// key.
type meter struct {
	rate        float64
	inFlight    int
	count       int
	windowStart time.Time
	bucket      *rate.Limiter
}

// report holds the demands that another process last reported and the time of the
// report.
type report struct {
	demands map[Key]Demand
	at      time.Time
}

// New returns the limiter of the process with the ID self. The function live returns
// the IDs of the other processes that are live.
func New(self string, live func() []string) *Limiter {
	return &Limiter{self: self, live: live, local: map[Key]*meter{}, peers: map[string]report{}}
}

// Admit admits a request with key k if this process's share of the limit allows it.
// If ok is true, the caller calls release when the request ends. If ok is false,
// release is nil and the request may be retried after the returned time.
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

// allow takes a token for one request from the token bucket, which fills at the
// given rate. It returns false if the bucket is empty.
func (m *meter) allow(perSecond float64, now time.Time) bool {
	limit, burst := rate.Limit(perSecond), max(int(perSecond), 1)
	if m.bucket == nil {
		m.bucket = rate.NewLimiter(limit, burst)
	}
	m.bucket.SetLimitAt(now, limit)
	m.bucket.SetBurstAt(now, burst)
	return m.bucket.AllowN(now, 1)
}

// meter returns the meter of a key with its moving average up to date, and creates
// it if necessary. The caller holds the lock.
func (l *Limiter) meter(k Key, now time.Time) *meter {
	m := l.local[k]
	if m == nil {
		m = &meter{windowStart: now}
		l.local[k] = m
	}
	m.advance(now)
	return m
}

// advance adds the requests counted since windowStart to the moving average of the
// rate, once at least one window has elapsed. They count as spread evenly over the
// elapsed windows.
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
// this process may admit. It also removes the reports of peers that are older than
// DemandTTL.
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

// fraction returns the fraction of a limit that a process may admit. Local is its
// own demand, peers is the sum of the demands of all others, and processes is the
// number of processes. Without any demand, the result is an equal share. Otherwise,
// it is minFraction of an equal share, plus local/(local+peers) of the remaining
// 1-minFraction.
func fraction(local, peers float64, processes int) float64 {
	least := minFraction / float64(processes)
	if local+peers == 0 {
		return max(1/float64(processes), least)
	}
	return least + (1-minFraction)*(local/(local+peers))
}

// Demands returns this process's demands for a report to its peers: at most
// maxDemands, in descending order of rate. It also removes the meters of idle keys.
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

// SetPeer records a report from another process. Its demands replace those of the
// process's previous report. A report from this process itself is ignored.
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
