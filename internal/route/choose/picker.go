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
	// maxEndpoints bounds the endpoints of a service that one instance uses.
	maxEndpoints = 32
	// crossZoneCost is how much lower the cost of an endpoint in another zone must be
	// for it to be preferred to an endpoint in this zone.
	crossZoneCost = 0.05
	// affinityCandidates is the number of endpoints considered for a prefix, in order
	// of their rank.
	affinityCandidates = 3
	// loadBoundFactor bounds the load ratio of an endpoint that is picked for its
	// cache, as a multiple of the average ratio. The bound is at most maxLoadBound,
	// which leaves slots for requests that the last report does not show, and at
	// least minLoadBound and the average.
	loadBoundFactor = 1.25
	maxLoadBound    = 0.85
	minLoadBound    = 0.5
	// retryAfter is the least time after which a caller that finds no capacity is
	// told to retry.
	retryAfter = time.Second
	// middlePriority is the priority whose calls may wait as long as the service's
	// first token target.
	middlePriority = 4
)

// Picker picks endpoints for the calls of one instance. Create it with NewPicker.
type Picker struct {
	instance string
	zone     string
	logger   log.Interface
	random   func(n int) int
	peers    func() int

	mu       sync.Mutex
	services map[string]*serviceState // by name
}

// serviceState holds the endpoints of a service and its open requests.
type serviceState struct {
	version   int64 // of the service's document
	endpoints []*endpoint
	accounts  map[string]int // open requests by client account
	inFlight  int
}

// NewPicker returns a picker for an instance. Peers returns the number of other
// instances. Random returns a number below n; if nil, rand.IntN is used.
func NewPicker(instance, zone string, logger log.Interface, peers func() int, random func(n int) int) *Picker {
	if random == nil {
		random = rand.IntN
	}
	return &Picker{instance: instance, zone: zone, logger: logger, random: random, peers: peers, services: map[string]*serviceState{}}
}

// Pick is an attempt of a call at the endpoint picked for it. Call End exactly once.
type Pick struct {
	picker    *Picker
	service   *serviceState
	endpoint  *endpoint
	account   string
	startedAt time.Time
	probe     bool
}

// Name returns the endpoint's name.
func (pk *Pick) Name() string { return pk.endpoint.Name() }

// URL returns the endpoint's base address.
func (pk *Pick) URL() string { return pk.endpoint.URL() }

// Result is the result of an attempt at an endpoint.
type Result int

const (
	// Succeeded means a complete response.
	Succeeded Result = iota
	// Failed means a broken connection or an invalid response.
	Failed
	// Leaving means that the endpoint reported that it is leaving.
	Leaving
	// Canceled means that the caller gave up, which says nothing about the endpoint.
	Canceled
)

// End removes the request from its endpoint and records the result.
func (pk *Pick) End(r Result) {
	p := pk.picker
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	e := pk.endpoint
	e.inFlight--
	pk.service.inFlight--
	pk.service.accounts[pk.account]--
	if pk.service.accounts[pk.account] == 0 {
		delete(pk.service.accounts, pk.account)
	}
	if pk.probe {
		e.probing = false
	}
	switch r {
	case Succeeded:
		e.recordSuccess(now.Sub(pk.startedAt))
	case Failed:
		if e.recordFailure(now) {
			p.logger.Warnf("choose: endpoint %s is ejected for %s", e.Name(), e.ejectedUntil.Sub(now))
		}
	case Leaving:
		p.markLeaving(e, now, LeaveTTL)
	}
}

// markLeaving applies a leave notice that is valid for ttl. The caller holds the
// lock.
func (p *Picker) markLeaving(e *endpoint, now time.Time, ttl time.Duration) {
	if !now.Before(e.leavingUntil) {
		p.logger.Infof("choose: endpoint %s is leaving", e.Name())
	}
	if !now.Before(e.leavingUntil) {
		e.leavingSince = now
	}
	if until := now.Add(ttl); until.After(e.leavingUntil) {
		e.leavingUntil = until
	}
}

// MarkLeaving records a notice from the instance list or a peer that an endpoint is
// leaving. The notice is valid for at most ttl.
func (p *Picker) MarkLeaving(name string, ttl time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for _, state := range p.services {
		for _, e := range state.endpoints {
			if e.Name() == name {
				p.markLeaving(e, now, min(ttl, LeaveTTL))
			}
		}
	}
}

// Leaving returns the names of the endpoints that are leaving, with the remaining
// validity of the notice.
func (p *Picker) Leaving() map[string]time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	remaining := map[string]time.Duration{}
	now := time.Now()
	for _, state := range p.services {
		for _, e := range state.endpoints {
			if now.Before(e.leavingUntil) {
				remaining[e.Name()] = e.leavingUntil.Sub(now)
			}
		}
	}
	return remaining
}

// ApplyReport applies a load report: the endpoint's open requests and whether it is
// leaving.
func (p *Picker) ApplyReport(service, name string, open int, leaving bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.services[service]
	if state == nil {
		return
	}
	for _, e := range state.endpoints {
		if e.Name() != name {
			continue
		}
		e.applyReport(max(open-e.inFlight, 0), time.Now())
		switch {
		case leaving:
			p.markLeaving(e, e.reportedAt, LeaveTTL)
		case e.reportedAt.Sub(e.leavingSince) > maxReportDelay:
			e.leavingUntil = time.Time{}
		}
	}
}

// Endpoints returns the subset of a service's endpoints that this instance uses.
func (p *Picker) Endpoints(s *spec.Service) []spec.Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.refresh(s)
	used := make([]spec.Endpoint, len(state.endpoints))
	for i, e := range state.endpoints {
		used[i] = e.Endpoint
	}
	return used
}

// refresh updates the state of a service to its document and returns it. Endpoints
// that remain keep their state. The caller holds the lock.
func (p *Picker) refresh(s *spec.Service) *serviceState {
	state := p.services[s.Name()]
	if state == nil {
		state = &serviceState{version: -1, accounts: map[string]int{}}
		p.services[s.Name()] = state
	}
	if s.Version() <= state.version {
		return state
	}
	old := map[string]*endpoint{}
	for _, e := range state.endpoints {
		old[e.Name()] = e
	}
	state.version = s.Version()
	state.endpoints = nil
	for _, d := range p.subset(s.Endpoints()) {
		e := old[d.Name()]
		if e == nil {
			e = &endpoint{peers: p.peers}
		}
		e.Endpoint = d
		state.endpoints = append(state.endpoints, e)
	}
	return state
}

// subset returns the endpoints that this instance uses: up to three quarters from
// its own zone and the rest from other zones, both ranked for the instance.
func (p *Picker) subset(all []spec.Endpoint) []spec.Endpoint {
	if len(all) <= maxEndpoints {
		return all
	}
	byName := map[string]spec.Endpoint{}
	var sameZone, otherZones []string
	for _, e := range all {
		byName[e.Name()] = e
		if e.Zone() == p.zone {
			sameZone = append(sameZone, e.Name())
		} else {
			otherZones = append(otherZones, e.Name())
		}
	}
	names := subset.Pick(p.instance, sameZone, maxEndpoints*3/4)
	names = append(names, subset.Pick(p.instance, otherZones, maxEndpoints-len(names))...)
	picked := make([]spec.Endpoint, len(names))
	for i, n := range names {
		picked[i] = byName[n]
	}
	return picked
}

// Pick picks an endpoint that is not in tried. The error is a *call.Refusal.
func (p *Picker) Pick(_ context.Context, c *call.Call, tried []string) (*Pick, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	state := p.refresh(c.Service())
	var candidates []*endpoint
	for _, e := range state.endpoints {
		if e.usable(now) && !slices.Contains(tried, e.Name()) {
			candidates = append(candidates, e)
		}
	}
	if len(candidates) == 0 {
		candidates = state.lastResort(now, tried)
	}
	if len(candidates) == 0 {
		return nil, call.Refuse(call.NoCapacity, "no endpoint of %s is in service", c.Service().Name()).RetryAfter(retryAfter)
	}
	e, reason := p.best(c, candidates, now)
	if wait, limit := e.queueTime(now), state.maxWait(c); wait > limit {
		p.logger.Infof("choose: request %s refused: estimated wait %s exceeds %s at priority %d", c.ID(), wait, limit, c.Priority())
		return nil, call.Refuse(call.NoCapacity, "%s is at capacity", c.Service().Name()).RetryAfter(max(wait, retryAfter))
	}
	pk := &Pick{picker: p, service: state, endpoint: e, account: c.Account(), startedAt: now, probe: e.ejections > 0}
	e.probing = e.probing || pk.probe
	p.logger.Infof("choose: request %s assigned to %s (%s), load %.1f of %d slots", c.ID(), e.Name(), reason, e.load(now), e.Slots())
	e.inFlight++
	state.inFlight++
	state.accounts[c.Account()]++
	return pk, nil
}

// lastResort returns the ejected endpoint whose ejection ends first, or none. It is
// used if no endpoint is usable, because an early probe is better than a refusal.
// Endpoints that are leaving, being probed or in tried are left out.
func (s *serviceState) lastResort(now time.Time, tried []string) []*endpoint {
	var first *endpoint
	for _, e := range s.endpoints {
		if now.Before(e.leavingUntil) || e.probing || slices.Contains(tried, e.Name()) {
			continue
		}
		if first == nil || e.ejectedUntil.Before(first.ejectedUntil) {
			first = e
		}
	}
	if first == nil {
		return nil
	}
	return []*endpoint{first}
}

// maxWait returns how long a call may wait for an endpoint. The time rises with the
// priority. It is halved for an account with more than twice its fair share of the
// open requests.
func (s *serviceState) maxWait(c *call.Call) time.Duration {
	limit := c.Service().FirstTokenTarget() * time.Duration(c.Priority()+1) / (middlePriority + 1)
	if n := len(s.accounts); n > 1 && s.accounts[c.Account()] > 2*s.inFlight/n {
		limit /= 2
	}
	return limit
}

// best returns the best candidate and the reason in words. For model services, the
// cache takes precedence over the zone, because a cached prefix saves more time
// than a request to another zone costs.
func (p *Picker) best(c *call.Call, candidates []*endpoint, now time.Time) (*endpoint, string) {
	median := medianTime(candidates)
	if c.Service().Kind() == spec.KindModel {
		if e, rank := cacheAffine(c, candidates, median, now); e != nil {
			return e, fmt.Sprintf("cached prefix, rank %d", rank+1)
		}
	}
	return p.leastLoaded(candidates, median, now)
}

// leastLoaded returns the candidate with the lowest cost. The search begins at a
// random candidate, so that instances with equal knowledge do not all pick the same
// one. An endpoint in another zone is picked only if its cost is lower than those
// in this zone by crossZoneCost.
func (p *Picker) leastLoaded(candidates []*endpoint, median time.Duration, now time.Time) (*endpoint, string) {
	var best *endpoint
	lowest := math.Inf(1)
	start := p.random(len(candidates))
	for i := range candidates {
		e := candidates[(start+i)%len(candidates)]
		cost := e.cost(median, now)
		if e.Zone() != p.zone {
			cost += crossZoneCost
		}
		if cost < lowest {
			best, lowest = e, cost
		}
	}
	if best.Zone() == p.zone {
		return best, "own zone, least loaded"
	}
	return best, "other zone, least loaded"
}

// cacheAffine returns the candidate that most likely has the prompt's prefix cached,
// with its rank, or nil. It considers the highest-ranked candidates for the prefix
// and takes the first whose load is within the bound. The overflow of a prefix
// always goes to the same candidates, so they cache the prefix too.
func cacheAffine(c *call.Call, candidates []*endpoint, median time.Duration, now time.Time) (*endpoint, int) {
	key := strconv.FormatUint(c.Chat().PrefixHash, 16)
	sum := 0.0
	ranked := make([]scoredEndpoint, len(candidates))
	for i, e := range candidates {
		sum += e.ratio(now)
		ranked[i] = scoredEndpoint{endpoint: e, score: subset.Score(key, e.Name())}
	}
	slices.SortFunc(ranked, func(x, y scoredEndpoint) int { return cmp.Compare(y.score, x.score) })
	average := sum / float64(len(candidates))
	bound := max(min(loadBoundFactor*average, maxLoadBound), minLoadBound, average)
	for rank, r := range ranked[:min(affinityCandidates, len(ranked))] {
		e := r.endpoint
		free := e.load(now)+1 <= float64(e.Slots())
		if free && e.ratio(now) <= bound && !e.slow(median) {
			return e, rank
		}
	}
	return nil, 0
}

// scoredEndpoint is an endpoint with its rendezvous hashing score for a prefix.
type scoredEndpoint struct {
	endpoint *endpoint
	score    uint64
}

// medianTime returns the median of the candidates' mean request times.
func medianTime(candidates []*endpoint) time.Duration {
	times := make([]time.Duration, len(candidates))
	for i, e := range candidates {
		times[i] = e.meanTime
	}
	slices.Sort(times)
	return times[len(times)/2]
}
