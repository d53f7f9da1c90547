package picker

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"jacinthladder.dev/coord/subset"
	"jacinthladder.dev/internal/forward/meta"
	"jacinthladder.dev/internal/forward/place"
)

// cacheFraction is the fraction of the tokens in an engine's KV cache that are
// assumed to belong to prompt parts of earlier requests.
const cacheFraction = 0.6

// Endpoint is the entry of one endpoint in the platform's registry.
type Endpoint struct {
	ID        string
	Service   string
	Address   string // host and port for connections
	Zone      string
	Version   string        // of the endpoint's software, empty if not stated
	Slots     int           // requests that the endpoint runs concurrently, 0 for no limit
	Leaving   bool          // the endpoint must get no new requests
	WarmUp    time.Duration // remaining warm-up time at the call of Update
	StartedAt int64         // start time; differs between successive endpoints with the same ID
}

// endpointState holds the registry entry of an endpoint and the observations that
// the picker has made of the endpoint.
type endpointState struct {
	Endpoint
	running        int          // open requests of this instance at the endpoint
	queuedTokens   int64        // prompt tokens of these requests that the engine has not prefilled yet
	cache          *promptCache // estimate of the prompt parts in the KV cache
	failRatio      float64      // moving average of failures at the time failRatioAt, from 0 to 1
	failRatioAt    time.Time    // when the last result was recorded
	incompletes    int          // incomplete responses since the last success
	ejectedUntil   time.Time    // end of the ejection
	heardAt        time.Time    // when something last came from the endpoint
	doubt          doubt        // whether another endpoint has taken its place unnoticed
	sameUntil      time.Time    // when it was last heard on a connection that led to it before
	busyUntil      time.Time    // until when the endpoint wants no requests
	brittle        brittleness  // whether rejections make the endpoint fall over
	limit          statedLimit  // rate that the endpoint takes from all instances
	limitChangedAt time.Time    // when the limit last changed, zero if it never did
	permitAt       time.Time    // when this instance may ask for a permit at that rate again
	warmUntil      time.Time    // end of the warm-up
}

// Picker tracks the endpoints of all services and picks one for each request. Create
// it with NewPicker.
type Picker struct {
	// LimitChanged, if set, is called when the rate that an endpoint takes has changed. It
	// must not call the picker.
	LimitChanged func(e Endpoint, limit meta.RateLimit)

	// Instances, if set, returns the number of live instances, which share what a brittle endpoint bears.
	Instances func() int

	zone string // of this instance

	mu         sync.Mutex
	cacheSizes map[string]int64            // by service, size of the KV cache of each engine in tokens
	endpoints  map[string]*endpointState   // by ID
	available  map[string][]*endpointState // by service, the endpoints that are not leaving, sorted by ID
	left       map[incarnation]time.Time   // when each endpoint was last known to be leaving
	starts     map[string]start            // latest start by ID
}

// NewPicker returns a picker for an instance in the given zone. The picker knows no
// endpoints until Update adds them.
func NewPicker(zone string) *Picker {
	return &Picker{
		zone: zone, cacheSizes: map[string]int64{}, endpoints: map[string]*endpointState{},
		available: map[string][]*endpointState{}, left: map[incarnation]time.Time{}, starts: map[string]start{},
	}
}

// Update adds the registry entry of an endpoint, or replaces it, and reports whether
// the entry changed. If the address, the start time or the version differs, the picker forgets
// the results and the cached prompt parts that it has observed at the endpoint. An
// endpoint that was known to be leaving stays so, whatever a later entry says, until
// its start time differs. An entry of an earlier start than one that was heard of lately is ignored.
func (p *Picker) Update(e Endpoint, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.superseded(e, now) {
		return false
	}
	p.noteStart(e.ID, e.StartedAt, now)
	if e.Leaving {
		p.recordLeave(e.ID, e.StartedAt, now)
	} else if _, ok := p.left[incarnation{e.ID, e.StartedAt}]; ok {
		e.Leaving = true
	}
	s := p.endpoints[e.ID]
	if s != nil && s.Endpoint == e {
		return false
	}
	if s == nil || s.Address != e.Address || s.StartedAt != e.StartedAt || s.Version != e.Version {
		s = &endpointState{cache: newPromptCache()}
		p.endpoints[e.ID] = s
	}
	s.Endpoint = e
	s.warmUntil = now.Add(e.WarmUp)
	p.refreshAvailable()
	return true
}

// SetKVTokens sets the size, in tokens, of the KV cache of each engine of a service.
func (p *Picker) SetKVTokens(service string, tokens int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cacheSizes[service] = tokens
}

// Leaving returns the entries of the endpoints that are leaving.
func (p *Picker) Leaving() []Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	var leaving []Endpoint
	for _, s := range p.endpoints {
		if s.Leaving {
			leaving = append(leaving, s.Endpoint)
		}
	}
	return leaving
}

// Remove removes the endpoint with the given ID and reports whether the picker knew
// it. If the endpoint has no start time, one that is added later under the same ID
// counts as another endpoint.
func (p *Picker) Remove(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.left, incarnation{id: id})
	if p.endpoints[id] == nil {
		return false
	}
	delete(p.endpoints, id)
	p.refreshAvailable()
	return true
}

// refreshAvailable recomputes, from all endpoints, the sorted lists of those that
// are not leaving. The caller holds the lock.
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

// IDs returns the sorted IDs of all endpoints of all services, including leaving
// ones.
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

// Versions returns the software versions of the endpoints of a service, with repetitions,
// also of those that are leaving.
func (p *Picker) Versions(service string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var versions []string
	for _, s := range p.endpoints {
		if s.Service == service {
			versions = append(versions, s.Version)
		}
	}
	return versions
}

// KnowsAddress reports whether an endpoint of any service is at an address.
func (p *Picker) KnowsAddress(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.endpoints {
		if s.Address == address {
			return true
		}
	}
	return false
}

// Fits reports whether the service has an endpoint that is not leaving to which the request may
// be sent, whether it has a free slot or not.
func (p *Picker) Fits(info PickInfo) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.available[info.Service], info.fits)
}

// Len returns the number of endpoints of all services, including leaving ones.
func (p *Picker) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.endpoints)
}

// Pick is a request placed at an endpoint. The request counts as running there until
// End, which must be called exactly once.
type Pick struct {
	picker       *Picker
	state        *endpointState
	prompt       []meta.Part // parts of the prompt of the request
	queuedTokens int64       // prompt tokens of the request that the engine has to prefill
	cachedTokens int64       // prompt tokens of the request that the engine is assumed to have cached
	registryAt   time.Time   // PickInfo.RegistryAt
	doubtful     bool        // the endpoint was in doubt when it was picked
	prefilled    bool        // queuedTokens has been subtracted from the queue of the endpoint
}

// Endpoint returns the registry entry of the endpoint at which the request is
// placed.
func (pk *Pick) Endpoint() Endpoint { return pk.state.Endpoint }

// CachedTokens returns the number of the request's prompt tokens that the engine is
// assumed to have cached.
func (pk *Pick) CachedTokens() int64 { return pk.cachedTokens }

// PickInfo describes a request for which an endpoint is picked.
type PickInfo struct {
	Service string        // name of the service whose endpoints are considered
	Request *meta.Request // metadata of the request
	Bytes   int           // length of the request body in bytes
	Tried   []string      // IDs of endpoints that must not be picked
	// Version, if set, is the software version that the endpoint must have, because one of this
	// version has begun the response.
	Version string
	// Begins, if set, reports whether a response may begin at a software version. It must not
	// call the picker.
	Begins func(version string) bool
	// RegistryAt is when the platform last confirmed what this instance knows of endpoints.
	RegistryAt time.Time
	// OutOfStep reports that the process has stood still since then, so that all endpoints are in doubt.
	OutOfStep bool
}

// doubts reports whether another endpoint may have taken the place of one.
func (info *PickInfo) doubts(s *endpointState) bool {
	return info.OutOfStep || s.doubt.holds(info.RegistryAt)
}

// fits reports whether a request may be sent to an endpoint of its service at all. A stream does not
// go on at an endpoint whose version is in doubt.
func (info *PickInfo) fits(s *endpointState) bool {
	if slices.Contains(info.Tried, s.ID) {
		return false
	}
	if info.Version != "" {
		return info.Version == s.Version && !info.doubts(s)
	}
	return info.Begins == nil || info.Begins(s.Version)
}

// Pick places a request at the endpoint with the lowest cost and counts the request
// as running there. It picks an ejected endpoint only if no other one has a free
// slot. It returns nil if every endpoint of the service is leaving, listed in
// info.Tried, of another version than info.Version, busy or without a free slot.
func (p *Picker) Pick(info PickInfo, now time.Time) *Pick {
	p.mu.Lock()
	defer p.mu.Unlock()
	shared, key := sharedParts(info.Request.Parts)
	preferred := p.preferred(info.Service, key)
	var available []*endpointState
	var candidates []place.Candidate
	for _, s := range p.available[info.Service] {
		if !info.fits(s) {
			continue
		}
		available = append(available, s)
		candidates = append(candidates, place.Candidate{
			Slots: p.slotsOf(s, now), Running: s.running, QueuedTokens: s.queuedTokens, CachedTokens: s.cache.cachedTokens(info.Request.Parts),
			Preferred: s == preferred,
			FailRatio: s.currentFailRatio(now), CrossZone: s.Zone != p.zone, WarmingUp: now.Before(s.warmUntil), Ejected: now.Before(s.ejectedUntil) || info.Begins != nil && info.doubts(s),
			Busy: now.Before(s.closedUntil()),
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
	pk := &Pick{picker: p, state: s, prompt: info.Request.Parts, cachedTokens: candidates[i].CachedTokens, registryAt: info.RegistryAt}
	pk.doubtful = info.doubts(s)
	pk.queuedTokens = max(info.Request.PromptTokens-pk.cachedTokens, 0)
	s.running++
	s.queuedTokens += pk.queuedTokens
	return pk
}

// sharedParts returns the number of tokens in the shared parts of a prompt, which
// other requests are assumed to have too. These are all parts but the last one. It
// also returns the ID of the last shared part as the key by which the preferred
// endpoint is chosen. Without shared parts, the key is empty.
func sharedParts(parts []meta.Part) (tokens int64, key string) {
	for i := range len(parts) - 1 {
		tokens += parts[i].Tokens
		key = parts[i].ID
	}
	return tokens, key
}

// preferred returns the endpoint of a service to which all instances prefer to send
// prompts with the same key from sharedParts. It is chosen by rendezvous hashing.
// The result is nil if the key is empty or no endpoint is available. The caller
// holds the lock.
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

// MarkPrefilled records that the engine has prefilled the prompt of the request. The
// prompt no longer counts as queued at the endpoint, and its parts count as cached
// there.
func (pk *Pick) MarkPrefilled() {
	pk.picker.mu.Lock()
	defer pk.picker.mu.Unlock()
	pk.markPrefilled()
	s := pk.state
	s.cache.add(pk.prompt, int64(float64(pk.picker.cacheSizes[s.Service])*cacheFraction))
}

// markPrefilled subtracts the request's queued tokens from those of the endpoint.
// Only the first call has an effect. The caller holds the lock.
func (pk *Pick) markPrefilled() {
	if !pk.prefilled {
		pk.prefilled = true
		pk.state.queuedTokens -= pk.queuedTokens
	}
}

// TurnAway records that the endpoint wants no requests for the time wait from now on.
func (pk *Pick) TurnAway(wait time.Duration, now time.Time) {
	pk.picker.mu.Lock()
	defer pk.picker.mu.Unlock()
	if until := now.Add(wait); until.After(pk.state.busyUntil) {
		pk.state.busyUntil = until
	}
}

// closedUntil returns until when the endpoint gets no requests, because it wants none or its
// limit allows none.
func (s *endpointState) closedUntil() time.Time {
	if s.permitAt.After(s.busyUntil) {
		return s.permitAt
	}
	return s.busyUntil
}

// BusyFor returns the time until the first endpoint of a service accepts requests again, and
// whether it is the rate that this endpoint takes which allows none until then. The time is 0
// if the service has an endpoint that is neither leaving nor busy nor at its limit, or has
// none.
func (p *Picker) BusyFor(service string, now time.Time) (first time.Duration, limited bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.available[service] {
		wait := s.closedUntil().Sub(now)
		if wait <= 0 {
			return 0, false
		}
		if first == 0 || wait < first {
			first, limited = wait, s.permitAt.After(s.busyUntil)
		}
	}
	return first, limited
}
