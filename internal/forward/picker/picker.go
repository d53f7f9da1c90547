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
	// firstEject and lastEject bound how long an endpoint that failed is
	// avoided. The time doubles with each failure in a row.
	firstEject = 500 * time.Millisecond
	lastEject  = 4 * time.Second
	// failWeight is the weight of one result in the share of failures.
	failWeight = 0.15
	// failHalf is the time in which the share of failures halves by itself.
	failHalf = 4 * time.Second
	// cacheShare is the share of an engine's memory that is taken for cached
	// parts.
	cacheShare = 0.6
)

// Endpoint is one entry of the platform's registry.
type Endpoint struct {
	ID        string
	Service   string
	Address   string
	Zone      string
	Slots     int
	Leaving   bool
	WarmUp    time.Duration // for which it is still slow, as of the entry
	StartedAt int64         // when it started, to tell two under one ID
}

// Result says how a lease ended.
type Result int

const (
	// Succeeded means a whole answer.
	Succeeded Result = iota
	// Failed means an answer that says that the request failed there.
	Failed
	// Incomplete means no whole answer: no connection, silence, a cut.
	Incomplete
	// Rejected means that the endpoint took no more requests.
	Rejected
	// Canceled means that the caller left; it says nothing of the endpoint.
	Canceled
)

// String returns the result as logs show it.
func (r Result) String() string { return [...]string{"done", "failed", "broken", "full", "dropped"}[r] }

type state struct {
	Endpoint
	running int
	waiting int64
	parts   *parts
	fails   float64
	failAt  time.Time
	strikes int
	until   time.Time // ejected until then
	cold    time.Time // slow until then
}

// Picker knows the endpoints. Make one with NewBoard.
type Picker struct {
	zone string

	mu   sync.Mutex
	size map[string]int64 // tokens that an engine of a service has memory for
	all  map[string]*state
	list map[string][]*state // those that take work, by service, in order of ID
}

// NewPicker returns a board for an instance of a zone that knows no endpoint.
func NewPicker(zone string) *Picker {
	return &Picker{zone: zone, size: map[string]int64{}, all: map[string]*state{}, list: map[string][]*state{}}
}

// Update takes in the present entry of an endpoint and reports whether it is news.
func (b *Picker) Update(e Endpoint, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.all[e.ID]
	if s != nil && s.Endpoint == e {
		return false
	}
	if s == nil || s.Address != e.Address || s.StartedAt != e.StartedAt {
		s = &state{parts: newParts()}
		b.all[e.ID] = s
	}
	s.Endpoint = e
	s.cold = now.Add(e.WarmUp)
	b.relist()
	return true
}

// SetKVTokens sets for how many tokens the engines of a service have memory.
func (b *Picker) SetKVTokens(service string, tokens int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.size[service] = tokens
}

// MarkLeaving stops new work to an endpoint that is known to leave.
func (b *Picker) MarkLeaving(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.all[id]; s != nil && !s.Leaving {
		s.Leaving = true
		b.relist()
	}
}

// Leaving returns the endpoints that leave.
func (b *Picker) Leaving() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ids []string
	for id, s := range b.all {
		if s.Leaving {
			ids = append(ids, id)
		}
	}
	return ids
}

// Remove forgets an endpoint and reports whether it was known.
func (b *Picker) Remove(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.all[id] == nil {
		return false
	}
	delete(b.all, id)
	b.relist()
	return true
}

func (b *Picker) relist() {
	clear(b.list)
	for _, s := range b.all {
		if !s.Leaving {
			b.list[s.Service] = append(b.list[s.Service], s)
		}
	}
	for _, l := range b.list {
		slices.SortFunc(l, func(x, y *state) int {
			if x.ID < y.ID {
				return -1
			}
			return 1
		})
	}
}

// IDs returns the endpoints known.
func (b *Picker) IDs() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	ids := make([]string, 0, len(b.all))
	for id := range b.all {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Available returns how many endpoints of a service take work.
func (b *Picker) Available(service string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.list[service])
}

// Len returns the number of endpoints known.
func (b *Picker) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.all)
}

// Pick is one request's place at an endpoint. End it exactly once.
type Pick struct {
	board  *Picker
	state  *state
	prompt []meta.Part
	tokens int64 // yet to be read
	cached int64
	begun  bool
}

// Endpoint returns where the lease is.
func (l *Pick) Endpoint() Endpoint { return l.state.Endpoint }

// CachedTokens returns the prompt tokens that the engine is believed to have.
func (l *Pick) CachedTokens() int64 { return l.cached }

// PickInfo is a request's need of an endpoint.
type PickInfo struct {
	Service string
	Request *meta.Request
	Bytes   int
	Tried   []string // IDs of endpoints not to be chosen
}

// Pick returns a lease at the best endpoint, nil if none can take the request.
func (b *Picker) Pick(a PickInfo, now time.Time) *Pick {
	b.mu.Lock()
	defer b.mu.Unlock()
	shared, key := sharedParts(a.Request.Parts)
	home := b.home(a.Service, key)
	var free []*state
	var candidates []place.Candidate
	for _, s := range b.list[a.Service] {
		if slices.Contains(a.Tried, s.ID) {
			continue
		}
		free = append(free, s)
		candidates = append(candidates, place.Candidate{
			Slots: s.Slots, Running: s.running, QueuedTokens: s.waiting, CachedTokens: s.parts.cached(a.Request.Parts),
			Preferred: s == home,
			FailRatio: s.failing(now), CrossZone: s.Zone != b.zone, WarmingUp: now.Before(s.cold), Ejected: now.Before(s.until),
		})
	}
	if len(free) == 0 {
		return nil
	}
	i := place.Best(place.Request{PromptTokens: a.Request.PromptTokens, SharedTokens: shared, Bytes: a.Bytes}, candidates, rand.IntN(len(free)))
	if i < 0 {
		return nil
	}
	s := free[i]
	l := &Pick{board: b, state: s, prompt: a.Request.Parts, cached: candidates[i].CachedTokens}
	l.tokens = max(a.Request.PromptTokens-l.cached, 0)
	s.running++
	s.waiting += l.tokens
	return l
}

// sharedParts returns the tokens of the parts of a prompt that other requests have
// too, all but the last, and the ID of the last of these.
func sharedParts(parts []meta.Part) (tokens int64, key string) {
	for i := range len(parts) - 1 {
		tokens += parts[i].Tokens
		key = parts[i].ID
	}
	return tokens, key
}

// home returns the endpoint that all instances prefer for a shared part, nil
// without one. With the lock held.
func (b *Picker) home(service, key string) *state {
	var best *state
	var top uint64
	if key == "" {
		return nil
	}
	for _, s := range b.list[service] {
		if score := subset.Score(key, s.ID); best == nil || score > top {
			best, top = s, score
		}
	}
	return best
}

// MarkPrefilled notes that the engine has read the prompt.
func (l *Pick) MarkPrefilled() {
	l.board.mu.Lock()
	defer l.board.mu.Unlock()
	l.begin()
	s := l.state
	s.parts.read(l.prompt, int64(float64(l.board.size[s.Service])*cacheShare))
}

func (l *Pick) begin() {
	if !l.begun {
		l.begun = true
		l.state.waiting -= l.tokens
	}
}

// End gives the place back.
func (l *Pick) End(r Result, now time.Time) {
	l.board.mu.Lock()
	defer l.board.mu.Unlock()
	l.begin()
	s := l.state
	s.running--
	switch r {
	case Succeeded:
		s.note(0, now)
		s.strikes, s.until = 0, time.Time{}
	case Failed:
		s.note(1, now)
	case Incomplete, Rejected:
		s.note(1, now)
		s.eject(r, now)
	case Canceled:
	}
}

func (s *state) eject(r Result, now time.Time) {
	d := firstEject
	if r == Incomplete {
		d = min(firstEject<<min(s.strikes, 4), lastEject)
		s.strikes++
	}
	s.until = now.Add(d/2 + rand.N(d))
}

// failing returns the share of failures of late.
func (s *state) failing(now time.Time) float64 {
	if s.fails == 0 {
		return 0
	}
	return s.fails * math.Exp2(-now.Sub(s.failAt).Seconds()/failHalf.Seconds())
}

func (s *state) note(failed float64, now time.Time) {
	s.fails = s.failing(now)*(1-failWeight) + failed*failWeight
	s.failAt = now
}
