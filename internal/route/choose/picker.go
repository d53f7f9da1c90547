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
	// maxEndpoints is the largest number of a service's endpoints that one instance
	// sends requests to.
	maxEndpoints = 32
	// crossZoneCost is added to the cost of an endpoint in another zone, in load per
	// slot. Such an endpoint is picked only if its own cost is lower by at least
	// this amount than that of each endpoint in this zone.
	crossZoneCost = 0.05
	// affinityCandidates is the number of endpoints that are considered for a prompt
	// prefix because they may have it cached. They are the endpoints with the
	// highest rendezvous rank for the prefix.
	affinityCandidates = 3
	// loadBoundFactor bounds the load per slot of an endpoint that is picked for its
	// cache, as a multiple of the average load per slot of all candidates. The bound
	// is at most maxLoadBound, which leaves slots for requests that the last load
	// report does not show. Two lower limits take precedence over maxLoadBound: the
	// bound is at least minLoadBound and at least the average.
	loadBoundFactor = 1.25
	maxLoadBound    = 0.85
	minLoadBound    = 0.5
	// retryAfter is the least time after which a caller is told to retry a call that
	// is refused for lack of capacity.
	retryAfter = time.Second
	// middlePriority is the priority whose calls may wait for a slot for as long as
	// the service's first token target. Calls of higher priorities may wait longer,
	// and those of lower priorities less long.
	middlePriority = 4
)

// Picker picks the endpoints for the calls that one instance serves. Create it with
// NewPicker.
type Picker struct {
	instance string // name of this instance; selects the endpoints that it uses
	zone     string // of this instance
	logger   log.Interface
	random   func(n int) int // returns a random number from 0 to n-1
	peers    func() int      // returns the number of other instances; nil means none

	mu       sync.Mutex
	services map[string]*serviceState // by name
}

// serviceState holds the endpoints of a service that this instance uses, and counts
// this instance's open requests to the service.
type serviceState struct {
	version   int64 // version of the service document that the field endpoints comes from
	endpoints []*endpoint
	accounts  map[string]int // open requests by client account; accounts without any are left out
	inFlight  int            // open requests of all accounts
}

// NewPicker returns a picker for the instance with the given name and zone. The
// function peers returns the number of other instances; nil means none. The function
// random returns a random number from 0 to n-1; nil means rand.IntN.
func NewPicker(instance, zone string, logger log.Interface, peers func() int, random func(n int) int) *Picker {
	if random == nil {
		random = rand.IntN
	}
	return &Picker{instance: instance, zone: zone, logger: logger, random: random, peers: peers, services: map[string]*serviceState{}}
}

// Pick is an attempt of a call at the endpoint that was picked for it. The attempt
// counts as open there until End, which must be called exactly once.
type Pick struct {
	picker    *Picker
	service   *serviceState
	endpoint  *endpoint
	account   string
	startedAt time.Time
	probe     bool // the attempt tests the endpoint after an ejection
}

// Name returns the name of the picked endpoint.
func (pk *Pick) Name() string { return pk.endpoint.Name() }

// URL returns the base URL of the picked endpoint.
func (pk *Pick) URL() string { return pk.endpoint.URL() }

// Result is the result of the attempt of a call at an endpoint.
type Result int

const (
	// Succeeded means a complete response.
	Succeeded Result = iota
	// Failed means a broken connection or an invalid response.
	Failed
	// Leaving means that the endpoint reported that it is leaving.
	Leaving
	// Canceled means that the caller gave up the call. This says nothing about the
	// endpoint.
	Canceled
)

// End stops counting the attempt as open at its endpoint and records its result.
// Succeeded adds the time of the attempt to the mean request time. Failed may eject
// the endpoint. Leaving has the effect of a leave notice that is valid for LeaveTTL.
// Canceled changes nothing else.
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

// markLeaving applies a notice that endpoint e is leaving. The endpoint gets no
// requests for ttl. An earlier notice that is valid for longer stays in force. The
// caller holds the lock.
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

// MarkLeaving applies a notice from the instance list or a peer that the endpoint
// with the given name is leaving. The notice is valid for ttl, but at most for
// LeaveTTL. It has no effect on endpoints that this instance does not use.
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

// Leaving returns the names of the endpoints that are leaving, each with the time
// for which its leave notice is still valid.
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

// ApplyReport applies a load report of the endpoint with the given name. Open is the
// reported number of open requests of all instances, and leaving tells whether the
// endpoint reported that it is leaving. A report that it is not leaving ends a leave
// notice, unless the first notice is at most maxReportDelay old.
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

// Endpoints returns the endpoints of a service that this instance uses, at most
// maxEndpoints.
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

// refresh returns the state of the service that document s describes. If the
// document is newer than the state, it first updates the list of endpoints.
// Endpoints that remain in the list keep the observations made of them. The caller
// holds the lock.
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

// subset returns the endpoints of a service that this instance uses. These are all
// endpoints if there are at most maxEndpoints. Otherwise up to three quarters of
// maxEndpoints are from the instance's own zone and the rest are from other zones.
// Rendezvous hashing by the instance's name selects them within each group.
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

// Pick picks an endpoint for an attempt of call c, other than the endpoints named in
// tried. It refuses the call if no endpoint can be picked, or if the estimated wait
// at the picked one is too long for the priority of the call. The error is a
// *call.Refusal.
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
		p.logger.Infof("choose: request %s refused: the estimated wait of %s exceeds the limit of %s at priority %d", c.ID(), wait, limit, c.Priority())
		return nil, call.Refuse(call.NoCapacity, "%s is at capacity", c.Service().Name()).RetryAfter(max(wait, retryAfter))
	}
	pk := &Pick{picker: p, service: state, endpoint: e, account: c.Account(), startedAt: now, probe: e.ejections > 0}
	e.probing = e.probing || pk.probe
	p.logger.Infof("choose: request %s assigned to endpoint %s (%s), which had a load of %.1f requests for %d slots", c.ID(), e.Name(), reason, e.load(now), e.Slots())
	e.inFlight++
	state.inFlight++
	state.accounts[c.Account()]++
	return pk, nil
}

// lastResort returns the endpoint whose ejection ends first as the only candidate,
// or nil if there is no such endpoint. It is used if no endpoint is usable, because
// an early probe is better than a refusal. Endpoints that are leaving, being probed
// or named in tried are left out.
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

// maxWait returns how long a call may wait at an endpoint for a free slot. The time
// rises with the priority of the call and equals the service's first token target at
// middlePriority. If several accounts have open requests, the time is halved for an
// account with more than twice its equal part of the open requests.
func (s *serviceState) maxWait(c *call.Call) time.Duration {
	limit := c.Service().FirstTokenTarget() * time.Duration(c.Priority()+1) / (middlePriority + 1)
	if n := len(s.accounts); n > 1 && s.accounts[c.Account()] > 2*s.inFlight/n {
		limit /= 2
	}
	return limit
}

// best returns the best candidate for call c and, for the log, the reason in words.
// For model services, the cache takes precedence over the zone, because a cached
// prefix saves more time than a request to another zone costs.
func (p *Picker) best(c *call.Call, candidates []*endpoint, now time.Time) (*endpoint, string) {
	median := medianTime(candidates)
	if c.Service().Kind() == spec.KindModel {
		if e, rank := cacheAffine(c, candidates, median, now); e != nil {
			return e, fmt.Sprintf("cached prefix, rank %d", rank+1)
		}
	}
	return p.leastLoaded(candidates, median, now)
}

// leastLoaded returns the candidate with the lowest cost and, for the log, the
// reason in words. The search begins at a random candidate, so that instances with
// equal knowledge do not all pick the same one. For a candidate in another zone,
// crossZoneCost is added to the cost. Median is the median of the candidates' mean
// request times.
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

// cacheAffine returns the candidate that most likely has the prompt's prefix cached
// and can take the request. The second result is the candidate's rank for the
// prefix, 0 for the first. Of the affinityCandidates highest-ranked candidates, it
// takes the first one that has a free slot, is not slow and whose load per slot is
// within the bound. If there is none, the returned endpoint is nil. Requests that
// the first candidate cannot take always go to the same next candidates, so these
// cache the prefix too.
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

// scoredEndpoint is an endpoint with its rendezvous hashing score for a prompt
// prefix.
type scoredEndpoint struct {
	endpoint *endpoint
	score    uint64
}

// medianTime returns the median of the mean request times of the candidates. The
// mean request time is 0 for a candidate without a successful request.
func medianTime(candidates []*endpoint) time.Duration {
	times := make([]time.Duration, len(candidates))
	for i, e := range candidates {
		times[i] = e.meanTime
	}
	slices.Sort(times)
	return times[len(times)/2]
}
