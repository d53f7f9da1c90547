package picker

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"jacinthladder.dev/coord/subset"
	"jacinthladder.dev/internal/forward/meta"
	"jacinthladder.dev/internal/forward/place"
)

const (
	// minEjection and maxEjection bound the mean length of an ejection, the time in
	// which an endpoint that failed is avoided. The mean doubles with each incomplete
	// response until a request succeeds.
	minEjection = 500 * time.Millisecond
	maxEjection = 4 * time.Second
	// failWeight is the weight of one result in the failure ratio.
	failWeight = 0.15
	// failHalfLife is the time in which the failure ratio halves without new results.
	failHalfLife = 4 * time.Second
	// cacheFraction is the fraction of an engine's KV cache that is assumed to hold
	// cached prompt parts.
	cacheFraction = 0.6
)

// Endpoint is an entry of the platform's registry.
type Endpoint struct {
	ID        string
	Service   string
	Address   string
	Zone      string
	Slots     int
	Leaving   bool
	WarmUp    time.Duration // remaining warm-up time, counted from Update
	StartedAt int64         // distinguishes two endpoints with the same ID
}

// Result is the result of an attempt at an endpoint.
type Result int

const (
	// Succeeded means a complete response.
	Succeeded Result = iota
	// Failed means a response that reports a failure at the endpoint.
	Failed
	// Incomplete means no complete response: the connection failed or broke, or the
	// endpoint did not respond in time.
	Incomplete
	// Rejected means that the endpoint accepted no more requests.
	Rejected
	// Canceled means that the caller disconnected, which says nothing about the
	// endpoint.
	Canceled
)

// String returns the name of the result.
func (r Result) String() string { return [...]string{"done", "failed", "broken", "full", "dropped"}[r] }

// endpointState holds the registry entry of an endpoint and the picker's
// observations.
type endpointState struct {
	Endpoint
	running      int   // open requests of this instance
	queuedTokens int64 // prompt tokens of these that are not prefilled yet
	cache        *promptCache
	failRatio    float64 // as of failRatioAt
	failRatioAt  time.Time
	incompletes  int // incomplete responses since the last success
	ejectedUntil time.Time
	warmUntil    time.Time // end of the warm-up
}

// Picker tracks endpoints and picks one for each request. Create it with NewPicker.
type Picker struct {
	zone string

	mu         sync.Mutex
	cacheSizes map[string]int64            // by service, size of an engine's KV cache
	endpoints  map[string]*endpointState   // by ID
	available  map[string][]*endpointState // by service, those that are not leaving, sorted by ID
}

// NewPicker returns a picker without endpoints for an instance in a zone.
func NewPicker(zone string) *Picker {
	return &Picker{zone: zone, cacheSizes: map[string]int64{}, endpoints: map[string]*endpointState{}, available: map[string][]*endpointState{}}
}

// Update sets the entry of an endpoint and reports whether it changed. A new address
// or start time resets the observations.
func (p *Picker) Update(e Endpoint, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.endpoints[e.ID]
	if s != nil && s.Endpoint == e {
		return false
	}
	if s == nil || s.Address != e.Address || s.StartedAt != e.StartedAt {
		s = &endpointState{cache: newPromptCache()}
		p.endpoints[e.ID] = s
	}
	s.Endpoint = e
	s.warmUntil = now.Add(e.WarmUp)
	p.refreshAvailable()
	return true
}

// SetKVTokens sets the size of the KV cache of a service's engines.
func (p *Picker) SetKVTokens(service string, tokens int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cacheSizes[service] = tokens
}

// MarkLeaving stops new requests to an endpoint that is leaving.
func (p *Picker) MarkLeaving(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.endpoints[id]; s != nil && !s.Leaving {
		s.Leaving = true
		p.refreshAvailable()
	}
}

// Leaving returns the IDs of the endpoints that are leaving.
func (p *Picker) Leaving() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var ids []string
	for id, s := range p.endpoints {
		if s.Leaving {
			ids = append(ids, id)
		}
	}
	return ids
}

// Remove removes an endpoint and reports whether it was present.
func (p *Picker) Remove(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.endpoints[id] == nil {
		return false
	}
	delete(p.endpoints, id)
	p.refreshAvailable()
	return true
}

// refreshAvailable recomputes available. The caller holds the lock.
func (p *Picker) refreshAvailable() {
	clear(p.available)
	for _, s := range p.endpoints {
		if !s.Leaving {
			p.available[s.Service] = append(p.available[s.Service], s)
		}
	}
	for _, l := range p.available {
		slices.SortFunc(l, func(x, y *endpointState) int {
			if x.ID < y.ID {
				return -1
			}
			return 1
		})
	}
}

// IDs returns the sorted IDs of all endpoints.
func (p *Picker) IDs() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	ids := make([]string, 0, len(p.endpoints))
	for id := range p.endpoints {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Available returns the number of endpoints of a service that are not leaving.
func (p *Picker) Available(service string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.available[service])
}

// Len returns the number of endpoints.
func (p *Picker) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.endpoints)
}

// Pick is a request placed at an endpoint. Call End exactly once.
type Pick struct {
	picker       *Picker
	state        *endpointState
	prompt       []meta.Part
	queuedTokens int64 // prompt tokens that the engine has to prefill
	cachedTokens int64
	prefilled    bool
}

// Endpoint returns the endpoint of the pick.
func (pk *Pick) Endpoint() Endpoint { return pk.state.Endpoint }

// CachedTokens returns the estimated number of prompt tokens that the engine has
// cached.
func (pk *Pick) CachedTokens() int64 { return pk.cachedTokens }

// PickInfo describes a request for which an endpoint is picked.
type PickInfo struct {
	Service string
	Request *meta.Request
	Bytes   int      // length of the request body
	Tried   []string // IDs of endpoints to exclude
}

// Pick places a request at the best endpoint. It returns nil if none can take it.
func (p *Picker) Pick(info PickInfo, now time.Time) *Pick {
	p.mu.Lock()
	defer p.mu.Unlock()
	shared, key := sharedParts(info.Request.Parts)
	preferred := p.preferred(info.Service, key)
	var available []*endpointState
	var candidates []place.Candidate
	for _, s := range p.available[info.Service] {
		if slices.Contains(info.Tried, s.ID) {
			continue
		}
		available = append(available, s)
		candidates = append(candidates, place.Candidate{
			Slots: s.Slots, Running: s.running, QueuedTokens: s.queuedTokens, CachedTokens: s.cache.cachedTokens(info.Request.Parts),
			Preferred: s == preferred,
			FailRatio: s.currentFailRatio(now), CrossZone: s.Zone != p.zone, WarmingUp: now.Before(s.warmUntil), Ejected: now.Before(s.ejectedUntil),
		})
	}
	if len(available) == 0 {
		return nil
	}
	i := place.Best(place.Request{PromptTokens: info.Request.PromptTokens, SharedTokens: shared, Bytes: info.Bytes}, candidates, rand.IntN(len(available)))
	if i < 0 {
		return nil
	}
	s := available[i]
	pk := &Pick{picker: p, state: s, prompt: info.Request.Parts, cachedTokens: candidates[i].CachedTokens}
	pk.queuedTokens = max(info.Request.PromptTokens-pk.cachedTokens, 0)
	s.running++
	s.queuedTokens += pk.queuedTokens
	return pk
}

// sharedParts returns the number of tokens in the parts of a prompt that other
// requests are assumed to have too, which are all but the last, and the ID of the
// last of these parts.
func sharedParts(parts []meta.Part) (tokens int64, key string) {
	for i := range len(parts) - 1 {
		tokens += parts[i].Tokens
		key = parts[i].ID
	}
	return tokens, key
}

// preferred returns the endpoint that all instances prefer for a shared part, by
// rendezvous hashing, or nil if key is empty. The caller holds the lock.
func (p *Picker) preferred(service, key string) *endpointState {
	var best *endpointState
	var top uint64
	if key == "" {
		return nil
	}
	for _, s := range p.available[service] {
		if score := subset.Score(key, s.ID); best == nil || score > top {
			best, top = s, score
		}
	}
	return best
}

// MarkPrefilled records that the engine has prefilled the prompt.
func (pk *Pick) MarkPrefilled() {
	pk.picker.mu.Lock()
	defer pk.picker.mu.Unlock()
	pk.markPrefilled()
	s := pk.state
	s.cache.add(pk.prompt, int64(float64(pk.picker.cacheSizes[s.Service])*cacheFraction))
}

// markPrefilled removes the prompt from the endpoint's queued tokens, once. The
// caller holds the lock.
func (pk *Pick) markPrefilled() {
	if !pk.prefilled {
		pk.prefilled = true
		pk.state.queuedTokens -= pk.queuedTokens
	}
}

// End removes the request from its endpoint and records the result.
func (pk *Pick) End(r Result, now time.Time) {
	pk.picker.mu.Lock()
	defer pk.picker.mu.Unlock()
	pk.markPrefilled()
	s := pk.state
	s.running--
	switch r {
	case Succeeded:
		s.recordResult(0, now)
		s.incompletes, s.ejectedUntil = 0, time.Time{}
	case Failed:
		s.recordResult(1, now)
	case Incomplete, Rejected:
		s.recordResult(1, now)
		s.eject(r, now)
	case Canceled:
	}
}

// eject ejects the endpoint for a randomized time. The time grows with the number
// of incomplete responses, but not with rejections.
func (s *endpointState) eject(r Result, now time.Time) {
	d := minEjection
	if r == Incomplete {
		d = min(minEjection<<min(s.incompletes, 4), maxEjection)
		s.incompletes++
	}
	s.ejectedUntil = now.Add(d/2 + rand.N(d))
}

// currentFailRatio returns the failure ratio, decayed to now.
func (s *endpointState) currentFailRatio(now time.Time) float64 {
	if s.failRatio == 0 {
		return 0
	}
	return s.failRatio * math.Exp2(-now.Sub(s.failRatioAt).Seconds()/failHalfLife.Seconds())
}

// recordResult adds a result, 0 for success or 1 for failure, to the failure ratio.
func (s *endpointState) recordResult(failed float64, now time.Time) {
	s.failRatio = s.currentFailRatio(now)*(1-failWeight) + failed*failWeight
	s.failRatioAt = now
}
