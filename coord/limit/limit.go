package limit

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// DemandTTL is how long a process counts the demand in the last report of a
	// peer, if no newer report of that peer arrives.
	DemandTTL = 10 * time.Minute
	// windowLength is the least time for which requests are counted before the rate
	// is updated. It is also the time after which a refused request should be
	// retried.
	windowLength = time.Second
	// smoothing is the weight of the newest window in the moving average of a request
	// rate.
	smoothing = 0.3
	// minFraction is the fraction of an equal share that each process may admit
	// whatever its demand, so that a process with new demand can start. An equal
	// share is the limit divided by the number of processes.
	minFraction = 0.2
	// tolerance is the rounding error, in requests, that Admit allows when it
	// compares the requests in flight with this process's share of the limit.
	tolerance = 1e-6
	// maxDemands is the largest number of demands that Demands returns for one
	// report to a peer. If there are more, those with the lowest rates are left out.
	maxDemands = 64
)

// Key identifies the requests that a limit applies to: those of one account to one
// service.
type Key struct {
	Account string
	Service string
}

// Limit is a limit on the requests with one key, which all processes keep together.
// A field of 0 means no limit.
type Limit struct {
	Rate     float64 // requests per second
	InFlight int     // concurrent requests
}

// Demand describes the requests with one key that arrive at one process.
type Demand struct {
	Key
	Rate     float64 // moving average of arriving requests per second, admitted or not
	InFlight int     // admitted requests that have not ended
}

// Limiter admits or refuses the requests at one process, so that all processes
// together keep their limits. Make one with New.
type Limiter struct {
	self string          // ID of this process
	live func() []string // returns the IDs of the other live processes

	mu    sync.Mutex
	local map[Key]*meter    // of the requests that arrive at this process
	peers map[string]report // last reports of other processes, by process ID
}

// meter measures the requests with one key that arrive at this process, and holds
// the token bucket that limits their rate.
type meter struct {
	rate        float64 // moving average of arriving requests per second
	inFlight    int     // admitted requests that have not ended
	count       int     // requests that have arrived since windowStart
	windowStart time.Time
	bucket      *rate.Limiter // nil until a rate limit is first applied
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
// A zero limit allows every request. If ok is true, the caller calls release when
// the request ends. If ok is false, release is nil and the request may be retried
// after the returned time.
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

// allow takes a token for one request from the token bucket. It returns false if the
// bucket is empty. The bucket fills at the rate perSecond and holds the tokens of
// one second, but at least one.
func (m *meter) allow(perSecond float64, now time.Time) bool {
	limit, burst := rate.Limit(perSecond), max(int(perSecond), 1)
	if m.bucket == nil {
		m.bucket = rate.NewLimiter(limit, burst)
	}
	m.bucket.SetLimitAt(now, limit)
	m.bucket.SetBurstAt(now, burst)
	return m.bucket.AllowN(now, 1)
}

// meter returns the meter of a key, which it creates if necessary, and updates the
// meter's moving average. The caller holds the lock.
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
// rate, once at least one window has elapsed. It treats the requests as spread
// evenly over the elapsed windows. After 32 windows the average has converged to
// their rate, so further ones are not added.
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

// fractions returns the fraction of a key's rate limit and the fraction of its
// concurrency limit that this process may admit. It also removes the reports of
// peers that are older than DemandTTL.
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

// fraction returns the fraction of a limit that a process may admit. Local is the
// process's own demand, peers is the sum of the demands of all other processes, and
// processes is the number of processes. If both demands are 0, the result is an
// equal share, which is 1/processes. Otherwise, the result is minFraction of an
// equal share, plus local/(local+peers) of the remaining 1-minFraction.
func fraction(local, peers float64, processes int) float64 {
	least := minFraction / float64(processes)
	if local+peers == 0 {
		return max(1/float64(processes), least)
	}
	return least + (1-minFraction)*(local/(local+peers))
}

// Demands returns this process's demands for a report to its peers: at most
// maxDemands, in descending order of rate. It also removes the meters of idle keys,
// which have no requests in flight and a rate of at most 0.01 requests per second.
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

// SetPeer records the demands that another process has reported. They replace all
// demands of that process's previous report. A report without a process ID, or from
// this process itself, is ignored.
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
