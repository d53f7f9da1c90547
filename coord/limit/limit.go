package limit

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// ForgetTime is how long the demand of a process counts after its last word.
	ForgetTime = 10 * time.Minute
	// windowTime is the interval over which demand is measured.
	windowTime = time.Second
	// smooth is the weight of a new window in the moving average.
	smooth = 0.3
	// floorPart is the part of an equal part that each process has at least, so
	// that one with new demand can begin.
	floorPart = 0.2
	// rounding is what sums of parts may be off by.
	rounding = 1e-6
	// maxUses is the most demands told in one message.
	maxUses = 64
)

// Key is what is limited.
type Key struct {
	Account string
	Service string
}

// Most is a limit over all processes; 0 is no limit.
type Most struct {
	Rate float64 // requests per second
	Open int     // requests open at once
}

// Use is the demand on one key at one process.
type Use struct {
	Key
	Rate float64 // requests per second, admitted or not
	Open int
}

// Limits is one process's part of all limits. Make one with New.
type Limits struct {
	self string
	live func() []string

	mu     sync.Mutex
	own    map[Key]*gauge
	others map[string]told
}

// gauge is the demand on one key here.
type gauge struct {
	rate   float64
	open   int
	count  int
	window time.Time
	bucket *rate.Limiter
}

// told is what another process said of its demands.
type told struct {
	uses map[Key]Use
	at   time.Time
}

// New returns the limits of a process. Live returns the other processes that
// are live.
func New(self string, live func() []string) *Limits {
	return &Limits{self: self, live: live, own: map[Key]*gauge{}, others: map[string]told{}}
}

// Admit admits a request within this process's part of a limit. It returns the
// function that ends the request, or false and when to come back.
func (l *Limits) Admit(k Key, m Most) (release func(), after time.Duration, ok bool) {
	if m == (Most{}) {
		return func() {}, 0, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	g := l.gauge(k, now)
	g.count++
	ratePart, openPart := l.parts(k, g, now)
	if m.Open > 0 && float64(g.open+1) > max(float64(m.Open)*openPart, 1)+rounding {
		return nil, windowTime, false
	}
	if m.Rate > 0 && !g.take(m.Rate*ratePart, now) {
		return nil, windowTime, false
	}
	g.open++
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		g.open--
	}, 0, true
}

// take draws one request from the bucket, which fills at the given rate.
func (g *gauge) take(perSecond float64, now time.Time) bool {
	limit, burst := rate.Limit(perSecond), max(int(perSecond), 1)
	if g.bucket == nil {
		g.bucket = rate.NewLimiter(limit, burst)
	}
	g.bucket.SetLimitAt(now, limit)
	g.bucket.SetBurstAt(now, burst)
	return g.bucket.AllowN(now, 1)
}

func (l *Limits) gauge(k Key, now time.Time) *gauge {
	g := l.own[k]
	if g == nil {
		g = &gauge{window: now}
		l.own[k] = g
	}
	g.roll(now)
	return g
}

// roll folds the windows that have passed into the average.
func (g *gauge) roll(now time.Time) {
	passed := now.Sub(g.window)
	if passed < windowTime {
		return
	}
	fresh := float64(g.count) / passed.Seconds()
	for range min(int(passed/windowTime), 32) {
		g.rate += smooth * (fresh - g.rate)
	}
	g.count = 0
	g.window = now
}

// parts returns the part of a key's rate and of its open requests that is due
// to this process.
func (l *Limits) parts(k Key, g *gauge, now time.Time) (ratePart, openPart float64) {
	var rates, opens float64
	processes := 1 + len(l.live())
	for p, o := range l.others {
		if now.Sub(o.at) > ForgetTime {
			delete(l.others, p)
			continue
		}
		rates += o.uses[k].Rate
		opens += float64(o.uses[k].Open)
	}
	processes = max(processes, 1+len(l.others))
	return part(g.rate, rates, processes), part(float64(g.open), opens, processes)
}

// part returns own of own + others, but at least a part of an equal part.
func part(own, others float64, processes int) float64 {
	floor := floorPart / float64(processes)
	if own+others == 0 {
		return max(1/float64(processes), floor)
	}
	return floor + (1-floorPart)*(own/(own+others))
}

// Uses returns the demands here, the greatest first, as many as fit a message.
func (l *Limits) Uses() []Use {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	var uses []Use
	for k, g := range l.own {
		g.roll(now)
		if g.rate > 0.01 || g.open > 0 {
			uses = append(uses, Use{Key: k, Rate: g.rate, Open: g.open})
			continue
		}
		delete(l.own, k)
	}
	slices.SortFunc(uses, func(a, b Use) int { return cmp.Compare(b.Rate, a.Rate) })
	return uses[:min(len(uses), maxUses)]
}

// Heard takes in the demands of another process.
func (l *Limits) Heard(process string, uses []Use) {
	if process == "" || process == l.self {
		return
	}
	t := told{uses: make(map[Key]Use, len(uses)), at: time.Now()}
	for _, u := range uses {
		t.uses[u.Key] = u
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.others[process] = t
}
