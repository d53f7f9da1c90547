package limit

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// DemandTTL is how long the demand of a process counts after its last word.
	DemandTTL = 10 * time.Minute
	// windowLength is the interval over which demand is measured.
	windowLength = time.Second
	// smoothing is the weight of a new window in the moving average.
	smoothing = 0.3
	// minFraction is the part of an equal part that each process has at least, so
	// that one with new demand can begin.
	minFraction = 0.2
	// tolerance is what sums of parts may be off by.
	tolerance = 1e-6
	// maxDemands is the most demands told in one message.
	maxDemands = 64
)

// Key is what is limited.
type Key struct {
	Account string
	Service string
}

// Limit is a limit over all processes; 0 is no limit.
type Limit struct {
	Rate     float64 // requests per second
	InFlight int     // requests open at once
}

// Demand is the demand on one key at one process.
type Demand struct {
	Key
	Rate     float64 // requests per second, admitted or not
	InFlight int
}

// Limiter is one process's part of all limits. Make one with New.
type Limiter struct {
	self string
	live func() []string

	mu    sync.Mutex
	local map[Key]*meter
	peers map[string]report
}

// meter is the demand on one key here.
type meter struct {
	rate     float64
	inFlight int
	count    int
	window   time.Time
	bucket   *rate.Limiter
}

// report is what another process said of its demands.
type report struct {
	demands map[Key]Demand
	at      time.Time
}

// New returns the limits of a process. Live returns the other processes that
// are live.
func New(self string, live func() []string) *Limiter {
	return &Limiter{self: self, live: live, local: map[Key]*meter{}, peers: map[string]report{}}
}

// Admit admits a request within this process's part of a limit. It returns the
// function that ends the request, or false and when to come back.
func (l *Limiter) Admit(k Key, m Limit) (release func(), after time.Duration, ok bool) {
	if m == (Limit{}) {
		return func() {}, 0, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	g := l.meter(k, now)
	g.count++
	ratePart, openPart := l.fractions(k, g, now)
	if m.InFlight > 0 && float64(g.inFlight+1) > max(float64(m.InFlight)*openPart, 1)+tolerance {
		return nil, windowLength, false
	}
	if m.Rate > 0 && !g.take(m.Rate*ratePart, now) {
		return nil, windowLength, false
	}
	g.inFlight++
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		g.inFlight--
	}, 0, true
}

// take draws one request from the bucket, which fills at the given rate.
func (g *meter) take(perSecond float64, now time.Time) bool {
	limit, burst := rate.Limit(perSecond), max(int(perSecond), 1)
	if g.bucket == nil {
		g.bucket = rate.NewLimiter(limit, burst)
	}
	g.bucket.SetLimitAt(now, limit)
	g.bucket.SetBurstAt(now, burst)
	return g.bucket.AllowN(now, 1)
}

func (l *Limiter) meter(k Key, now time.Time) *meter {
	g := l.local[k]
	if g == nil {
		g = &meter{window: now}
		l.local[k] = g
	}
	g.roll(now)
	return g
}

// roll folds the windows that have passed into the average.
func (g *meter) roll(now time.Time) {
	passed := now.Sub(g.window)
	if passed < windowLength {
		return
	}
	fresh := float64(g.count) / passed.Seconds()
	for range min(int(passed/windowLength), 32) {
		g.rate += smoothing * (fresh - g.rate)
	}
	g.count = 0
	g.window = now
}

// fractions returns the part of a key's rate and of its open requests that is due
// to this process.
func (l *Limiter) fractions(k Key, g *meter, now time.Time) (ratePart, openPart float64) {
	var rates, opens float64
	processes := 1 + len(l.live())
	for p, o := range l.peers {
		if now.Sub(o.at) > DemandTTL {
			delete(l.peers, p)
			continue
		}
		rates += o.demands[k].Rate
		opens += float64(o.demands[k].InFlight)
	}
	processes = max(processes, 1+len(l.peers))
	return fraction(g.rate, rates, processes), fraction(float64(g.inFlight), opens, processes)
}

// fraction returns own of own + others, but at least a part of an equal part.
func fraction(own, others float64, processes int) float64 {
	floor := minFraction / float64(processes)
	if own+others == 0 {
		return max(1/float64(processes), floor)
	}
	return floor + (1-minFraction)*(own/(own+others))
}

// Demands returns the demands here, the greatest first, as many as fit a message.
func (l *Limiter) Demands() []Demand {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	var uses []Demand
	for k, g := range l.local {
		g.roll(now)
		if g.rate > 0.01 || g.inFlight > 0 {
			uses = append(uses, Demand{Key: k, Rate: g.rate, InFlight: g.inFlight})
			continue
		}
		delete(l.local, k)
	}
	slices.SortFunc(uses, func(a, b Demand) int { return cmp.Compare(b.Rate, a.Rate) })
	return uses[:min(len(uses), maxDemands)]
}

// SetPeer takes in the demands of another process.
func (l *Limiter) SetPeer(process string, uses []Demand) {
	if process == "" || process == l.self {
		return
	}
	t := report{demands: make(map[Key]Demand, len(uses)), at: time.Now()}
	for _, u := range uses {
		t.demands[u.Key] = u
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peers[process] = t
}
