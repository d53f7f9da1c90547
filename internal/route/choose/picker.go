package choose

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/apex/log"

	"jacinthladder.dev/coord/subset"
	"jacinthladder.dev/internal/conf/spec"
	"jacinthladder.dev/internal/entry/call"
)

const (
	// subsetSize is the most endpoints of one service that an instance uses.
	subsetSize = 32
	// zoneCost is how much lower the load ratio in another zone must be to leave
	// the own one.
	zoneCost = 0.05
	// affineCount is how many endpoints are tried for a prefix, in rank order.
	affineCount = 3
	// boundFactor limits affinity: the endpoint may be this much above the average
	// load ratio, up to boundTop, which leaves slots for what the last report does
	// not show. Up to boundFloor, and below average, it always may.
	boundFactor = 1.25
	boundTop    = 0.85
	boundFloor  = 0.5
	// comeBack is when a caller that finds no capacity is told to come back.
	comeBack = time.Second
	// middleRank is the priority that may wait as long as the document's aim.
	middleRank = 4
)

// Picker chooses endpoints for one instance. Make one with NewBoard.
type Picker struct {
	instance string
	zone     string
	logger   log.Interface
	random   func(n int) int
	fleet    func() int

	mu     sync.Mutex
	groups map[string]*group
}

// group is one service's endpoints.
type group struct {
	version   int64
	endpoints []*endpoint
	accounts  map[string]int // open requests by client account
	open      int
}

// NewPicker returns a board for an instance. Fleet returns the number of other
// instances. Random returns a number below n; with nil the program's own source
// is used.
func NewPicker(instance, zone string, logger log.Interface, fleet func() int, random func(n int) int) *Picker {
	if random == nil {
		random = rand.IntN
	}
	return &Picker{instance: instance, zone: zone, logger: logger, random: random, fleet: fleet, groups: map[string]*group{}}
}

// Pick is an endpoint chosen for a call. End it with Done exactly once.
type Pick struct {
	board    *Picker
	group    *group
	endpoint *endpoint
	account  string
	begun    time.Time
	trial    bool
}

// Name returns the endpoint's name.
func (p *Pick) Name() string { return p.endpoint.Name() }

// URL returns the endpoint's base address.
func (p *Pick) URL() string { return p.endpoint.URL() }

// Result says how an attempt at an endpoint ended.
type Result int

const (
	// Succeeded means a whole answer.
	Succeeded Result = iota
	// Failed means a connection that broke or an answer that was not one.
	Failed
	// Leaving means that the endpoint said that it is leaving.
	Leaving
	// Canceled means that the caller gave up; it says nothing of the endpoint.
	Canceled
)

// End takes note of how the attempt ended.
func (p *Pick) End(r Result) {
	b := p.board
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	e := p.endpoint
	e.open--
	p.group.open--
	p.group.accounts[p.account]--
	if p.group.accounts[p.account] == 0 {
		delete(p.group.accounts, p.account)
	}
	if p.trial {
		e.trial = false
	}
	switch r {
	case Succeeded:
		e.succeed(now.Sub(p.begun))
	case Failed:
		if e.fail(now) {
			b.logger.Warnf("choose: endpoint %s is ejected for %s", e.Name(), e.until.Sub(now))
		}
	case Leaving:
		b.leave(e, now, LeaveTTL)
	}
}

func (b *Picker) leave(e *endpoint, now time.Time, left time.Duration) {
	if !now.Before(e.leaving) {
		b.logger.Infof("choose: endpoint %s is leaving", e.Name())
	}
	if !now.Before(e.leaving) {
		e.leftAt = now
	}
	if until := now.Add(left); until.After(e.leaving) {
		e.leaving = until
	}
}

// MarkLeaving takes note that an endpoint is leaving, on the word of the instance
// list or a peer. The news is believed for the given time at most.
func (b *Picker) MarkLeaving(name string, left time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	for _, g := range b.groups {
		for _, e := range g.endpoints {
			if e.Name() == name {
				b.leave(e, now, min(left, LeaveTTL))
			}
		}
	}
}

// Leaving returns the endpoints that are known to be leaving, and for how long
// the news is still to be believed.
func (b *Picker) Leaving() map[string]time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	left := map[string]time.Duration{}
	now := time.Now()
	for _, g := range b.groups {
		for _, e := range g.endpoints {
			if now.Before(e.leaving) {
				left[e.Name()] = e.leaving.Sub(now)
			}
		}
	}
	return left
}

// ApplyReport takes in an endpoint's own report of its open requests.
func (b *Picker) ApplyReport(service, name string, open int, leaving bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	g := b.groups[service]
	if g == nil {
		return
	}
	for _, e := range g.endpoints {
		if e.Name() != name {
			continue
		}
		e.hear(max(open-e.open, 0), time.Now())
		switch {
		case leaving:
			b.leave(e, e.reported, LeaveTTL)
		case e.reported.Sub(e.leftAt) > doubtTime:
			e.leaving = time.Time{}
		}
	}
}

// Endpoints returns the endpoints of a service that this instance uses.
func (b *Picker) Endpoints(s *spec.Service) []spec.Endpoint {
	b.mu.Lock()
	defer b.mu.Unlock()
	g := b.sync(s)
	used := make([]spec.Endpoint, len(g.endpoints))
	for i, e := range g.endpoints {
		used[i] = e.Endpoint
	}
	return used
}

// sync brings a service's group in line with its document. What is known of
// endpoints that stay is kept.
func (b *Picker) sync(s *spec.Service) *group {
	g := b.groups[s.Name()]
	if g == nil {
		g = &group{version: -1, accounts: map[string]int{}}
		b.groups[s.Name()] = g
	}
	if s.Version() <= g.version {
		return g
	}
	old := map[string]*endpoint{}
	for _, e := range g.endpoints {
		old[e.Name()] = e
	}
	g.version = s.Version()
	g.endpoints = nil
	for _, d := range b.subset(s.Endpoints()) {
		e := old[d.Name()]
		if e == nil {
			e = &endpoint{fleet: b.fleet}
		}
		e.Endpoint = d
		g.endpoints = append(g.endpoints, e)
	}
	return g
}

// subset returns the endpoints that this instance deals with: its own zone's
// first, each part in the instance's own order.
func (b *Picker) subset(all []spec.Endpoint) []spec.Endpoint {
	if len(all) <= subsetSize {
		return all
	}
	byName := map[string]spec.Endpoint{}
	var near, far []string
	for _, e := range all {
		byName[e.Name()] = e
		if e.Zone() == b.zone {
			near = append(near, e.Name())
		} else {
			far = append(far, e.Name())
		}
	}
	names := subset.Pick(b.instance, near, subsetSize*3/4)
	names = append(names, subset.Pick(b.instance, far, subsetSize-len(names))...)
	picked := make([]spec.Endpoint, len(names))
	for i, n := range names {
		picked[i] = byName[n]
	}
	return picked
}

// Pick chooses an endpoint that is not among tried. It fails with a refusal.
func (b *Picker) Pick(_ context.Context, c *call.Call, tried []string) (*Pick, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	g := b.sync(c.Service())
	var fit []*endpoint
	for _, e := range g.endpoints {
		if e.usable(now) && !slices.Contains(tried, e.Name()) {
			fit = append(fit, e)
		}
	}
	if len(fit) == 0 {
		fit = g.lastResort(now, tried)
	}
	if len(fit) == 0 {
		return nil, call.Refuse(call.NoCapacity, "no endpoint of %s is in service", c.Service().Name()).RetryAfter(comeBack)
	}
	e, why := b.best(c, fit, now)
	if wait, most := e.wait(now), g.patience(c); wait > most {
		b.logger.Infof("choose: request %s is shed, wait %s above %s at rank %d", c.ID(), wait, most, c.Priority())
		return nil, call.Refuse(call.NoCapacity, "%s is at capacity", c.Service().Name()).RetryAfter(max(wait, comeBack))
	}
	p := &Pick{board: b, group: g, endpoint: e, account: c.Account(), begun: now, trial: e.ejects > 0}
	e.trial = e.trial || p.trial
	b.logger.Infof("choose: request %s to %s, %s, load %.1f of %d", c.ID(), e.Name(), why, e.load(now), e.Slots())
	e.open++
	g.open++
	g.accounts[c.Account()]++
	return p, nil
}

// lastResort returns the endpoint whose ejection ends first, for when all are
// ejected: to try it early is better than to refuse.
func (g *group) lastResort(now time.Time, tried []string) []*endpoint {
	var first *endpoint
	for _, e := range g.endpoints {
		if now.Before(e.leaving) || e.trial || slices.Contains(tried, e.Name()) {
			continue
		}
		if first == nil || e.until.Before(first.until) {
			first = e
		}
	}
	if first == nil {
		return nil
	}
	return []*endpoint{first}
}

// patience returns how long a call may be made to wait for an endpoint. It
// rises with the priority, and halves for an account that has more than twice
// an equal part of the open requests.
func (g *group) patience(c *call.Call) time.Duration {
	most := c.Service().FirstTokenTarget() * time.Duration(c.Priority()+1) / (middleRank + 1)
	if n := len(g.accounts); n > 1 && g.accounts[c.Account()] > 2*g.open/n {
		most /= 2
	}
	return most
}

// best picks among usable endpoints and says why. A prompt whose prefix is in a
// cache starts sooner by more than any zone is away, so for model services the
// cache goes before the zone.
func (b *Picker) best(c *call.Call, fit []*endpoint, now time.Time) (*endpoint, string) {
	usual := median(fit)
	if c.Service().Kind() == spec.KindModel {
		if e, place := affine(c, fit, usual, now); e != nil {
			return e, fmt.Sprintf("prefix, choice %d", place+1)
		}
	}
	return b.lightest(fit, usual, now)
}

// lightest returns the endpoint with the lowest cost, from a random start so
// that instances that know the same don't all choose the same. One in another
// zone must be lower by more than zoneCost.
func (b *Picker) lightest(fit []*endpoint, usual time.Duration, now time.Time) (*endpoint, string) {
	var best *endpoint
	low := math.Inf(1)
	start := b.random(len(fit))
	for i := range fit {
		e := fit[(start+i)%len(fit)]
		cost := e.cost(usual, now)
		if e.Zone() != b.zone {
			cost += zoneCost
		}
		if cost < low {
			best, low = e, cost
		}
	}
	if best.Zone() == b.zone {
		return best, "own zone, least loaded"
	}
	return best, "other zone, least loaded"
}

// affine returns the endpoint whose cache is most likely to have the prompt's
// prefix, among the first few that rank for it, if its load is within the
// bound. Those that take the overflow are always the same, so they come to
// cache the prefix as well.
func affine(c *call.Call, fit []*endpoint, usual time.Duration, now time.Time) (*endpoint, int) {
	owner := strconv.FormatUint(c.Chat().PrefixHash, 16)
	sum := 0.0
	ranked := make([]scored, len(fit))
	for i, e := range fit {
		sum += e.ratio(now)
		ranked[i] = scored{endpoint: e, score: subset.Score(owner, e.Name())}
	}
	slices.SortFunc(ranked, func(x, y scored) int { return cmp.Compare(y.score, x.score) })
	average := sum / float64(len(fit))
	bound := max(min(boundFactor*average, boundTop), boundFloor, average)
	for place, r := range ranked[:min(affineCount, len(ranked))] {
		e := r.endpoint
		free := e.load(now)+1 <= float64(e.Slots())
		if free && e.ratio(now) <= bound && !e.slow(usual) {
			return e, place
		}
	}
	return nil, 0
}

// scored is an endpoint and its rank for a prefix.
type scored struct {
	endpoint *endpoint
	score    uint64
}

// median returns the middle of the endpoints' request times.
func median(fit []*endpoint) time.Duration {
	times := make([]time.Duration, len(fit))
	for i, e := range fit {
		times[i] = e.busy
	}
	slices.Sort(times)
	return times[len(times)/2]
}
