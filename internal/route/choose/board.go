package choose

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
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
	// spillStep is how much lower the load ratio elsewhere must be to leave the
	// own zone.
	spillStep = 0.25
	// crowded is the load ratio from which a spill is thought of.
	crowded = 0.75
	// boundFactor limits affinity: the endpoint may be this much above average.
	boundFactor = 1.25
	// comeBack is when a caller that finds no capacity is told to come back.
	comeBack = time.Second
	// middleRank is the priority that may wait as long as the document's aim.
	middleRank = 4
)

// Board chooses endpoints for one instance. Make one with NewBoard.
type Board struct {
	instance string
	zone     string
	logger   log.Interface
	random   func(n int) int

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

// NewBoard returns a board for an instance. Random returns a number below n;
// with nil the program's own source is used.
func NewBoard(instance, zone string, logger log.Interface, random func(n int) int) *Board {
	if random == nil {
		random = rand.IntN
	}
	return &Board{instance: instance, zone: zone, logger: logger, random: random, groups: map[string]*group{}}
}

// Pick is an endpoint chosen for a call. End it with Done exactly once.
type Pick struct {
	board    *Board
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
	// Done means a whole answer.
	Done Result = iota
	// Failed means a connection that broke or an answer that was not one.
	Failed
	// Left means that the endpoint said that it is leaving.
	Left
	// Dropped means that the caller gave up; it says nothing of the endpoint.
	Dropped
)

// Done takes note of how the attempt ended.
func (p *Pick) Done(r Result) {
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
	case Done:
		e.succeed(now.Sub(p.begun))
	case Failed:
		if e.fail(now) {
			b.logger.Warnf("choose: endpoint %s is ejected for %s", e.Name(), e.until.Sub(now))
		}
	case Left:
		b.leave(e, now, LeaveTime)
	}
}

func (b *Board) leave(e *endpoint, now time.Time, left time.Duration) {
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

// Leave takes note that an endpoint is leaving, on the word of the instance
// list or a peer. The news is believed for the given time at most.
func (b *Board) Leave(name string, left time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	for _, g := range b.groups {
		for _, e := range g.endpoints {
			if e.Name() == name {
				b.leave(e, now, min(left, LeaveTime))
			}
		}
	}
}

// Leaving returns the endpoints that are known to be leaving, and for how long
// the news is still to be believed.
func (b *Board) Leaving() map[string]time.Duration {
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

// Report takes in an endpoint's own report of its open requests.
func (b *Board) Report(service, name string, open int, leaving bool) {
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
		e.others = max(open-e.open, 0)
		e.reported = time.Now()
		switch {
		case leaving:
			b.leave(e, e.reported, LeaveTime)
		case e.reported.Sub(e.leftAt) > doubtTime:
			e.leaving = time.Time{}
		}
	}
}

// Used returns the endpoints of a service that this instance uses.
func (b *Board) Used(s *spec.Service) []spec.Endpoint {
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
func (b *Board) sync(s *spec.Service) *group {
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
			e = &endpoint{}
		}
		e.Endpoint = d
		g.endpoints = append(g.endpoints, e)
	}
	return g
}

// subset returns the endpoints that this instance deals with: its own zone's
// first, each part in the instance's own order.
func (b *Board) subset(all []spec.Endpoint) []spec.Endpoint {
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
func (b *Board) Pick(_ context.Context, c *call.Call, tried []string) (*Pick, error) {
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
		return nil, call.Refuse(call.NoCapacity, "no endpoint of %s is in service", c.Service().Name()).After(comeBack)
	}
	e, why := b.best(c, fit, now)
	if wait, most := e.wait(now), g.patience(c); wait > most {
		b.logger.Infof("choose: request %s is shed, wait %s above %s at rank %d", c.ID(), wait, most, c.Rank())
		return nil, call.Refuse(call.NoCapacity, "%s is at capacity", c.Service().Name()).After(max(wait, comeBack))
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
	most := c.Service().AimTime() * time.Duration(c.Rank()+1) / (middleRank + 1)
	if n := len(g.accounts); n > 1 && g.accounts[c.Account()] > 2*g.open/n {
		most /= 2
	}
	return most
}

// best picks among usable endpoints and says why.
func (b *Board) best(c *call.Call, fit []*endpoint, now time.Time) (*endpoint, string) {
	near, far := split(fit, b.zone)
	pool, why := fit, "any zone"
	if len(near) > 0 {
		pool, why = near, "own zone"
		own, away := lowest(near, now), lowest(far, now)
		if own > crowded && away < own-spillStep {
			pool, why = far, "spill"
		}
	}
	if c.Service().Kind() == spec.Model {
		if e := b.affine(c, pool, now); e != nil {
			return e, why + ", prefix"
		}
	}
	x, y := pool[b.random(len(pool))], pool[b.random(len(pool))]
	if y.ratio(now) < x.ratio(now) {
		x = y
	}
	return x, fmt.Sprintf("%s, less loaded of two", why)
}

// affine returns the endpoint whose cache is most likely to have the prompt's
// prefix, if its load is within the bound.
func (b *Board) affine(c *call.Call, pool []*endpoint, now time.Time) *endpoint {
	owner := fmt.Sprintf("%x", c.Chat().Prefix)
	var first *endpoint
	var top uint64
	sum := 0.0
	for _, e := range pool {
		sum += e.ratio(now)
		if s := subset.Score(owner, e.Name()); first == nil || s > top {
			first, top = e, s
		}
	}
	bound := boundFactor * (sum + 1/float64(first.Slots())) / float64(len(pool))
	if first.ratio(now) > max(bound, 1/float64(first.Slots())) || first.load(now) >= float64(first.Slots()) {
		return nil
	}
	return first
}

func split(fit []*endpoint, zone string) (near, far []*endpoint) {
	for _, e := range fit {
		if e.Zone() == zone {
			near = append(near, e)
		} else {
			far = append(far, e)
		}
	}
	return near, far
}

// lowest returns the lowest load ratio, very high for no endpoint.
func lowest(pool []*endpoint, now time.Time) float64 {
	low := 1e9
	for _, e := range pool {
		low = min(low, e.ratio(now))
	}
	return low
}
