package live

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
	ID      string
	Service string
	Address string
	Zone    string
	Slots   int
	Leaving bool
	Cold    time.Duration // for which it is still slow, as of the entry
	Born    int64         // when it started, to tell two under one ID
}

// Result says how a lease ended.
type Result int

const (
	// Done means a whole answer.
	Done Result = iota
	// Failed means an answer that says that the request failed there.
	Failed
	// Broken means no whole answer: no connection, silence, a cut.
	Broken
	// Full means that the endpoint took no more requests.
	Full
	// Dropped means that the caller left; it says nothing of the endpoint.
	Dropped
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

// Board knows the endpoints. Make one with NewBoard.
type Board struct {
	zone string

	mu   sync.Mutex
	size map[string]int64 // tokens that an engine of a service has memory for
	all  map[string]*state
	list map[string][]*state // those that take work, by service, in order of ID
}

// NewBoard returns a board for an instance of a zone that knows no endpoint.
func NewBoard(zone string) *Board {
	return &Board{zone: zone, size: map[string]int64{}, all: map[string]*state{}, list: map[string][]*state{}}
}

// Set takes in the present entry of an endpoint and reports whether it is news.
func (b *Board) Set(e Endpoint, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.all[e.ID]
	if s != nil && s.Endpoint == e {
		return false
	}
	if s == nil || s.Address != e.Address || s.Born != e.Born {
		s = &state{parts: newParts()}
		b.all[e.ID] = s
	}
	s.Endpoint = e
	s.cold = now.Add(e.Cold)
	b.relist()
	return true
}

// Memory sets for how many tokens the engines of a service have memory.
func (b *Board) Memory(service string, tokens int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.size[service] = tokens
}

// Leave stops new work to an endpoint that is known to leave.
func (b *Board) Leave(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.all[id]; s != nil && !s.Leaving {
		s.Leaving = true
		b.relist()
	}
}

// Leaving returns the endpoints that leave.
func (b *Board) Leaving() []string {
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
func (b *Board) Remove(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.all[id] == nil {
		return false
	}
	delete(b.all, id)
	b.relist()
	return true
}

func (b *Board) relist() {
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
func (b *Board) IDs() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	ids := make([]string, 0, len(b.all))
	for id := range b.all {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Open returns how many endpoints of a service take work.
func (b *Board) Open(service string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.list[service])
}

// Size returns the number of endpoints known.
func (b *Board) Size() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.all)
}

// Lease is one request's place at an endpoint. End it exactly once.
type Lease struct {
	board  *Board
	state  *state
	prompt []meta.Part
	tokens int64 // yet to be read
	cached int64
	begun  bool
}

// Endpoint returns where the lease is.
func (l *Lease) Endpoint() Endpoint { return l.state.Endpoint }

// Cached returns the prompt tokens that the engine is believed to have.
func (l *Lease) Cached() int64 { return l.cached }

// Ask is a request's need of an endpoint.
type Ask struct {
	Service string
	Request *meta.Request
	Bytes   int
	Tried   []string // IDs of endpoints not to be chosen
}

// Choose returns a lease at the best endpoint, nil if none can take the request.
func (b *Board) Choose(a Ask, now time.Time) *Lease {
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
			Slots: s.Slots, Running: s.running, Waiting: s.waiting, Cached: s.parts.cached(a.Request.Parts),
			Home:  s == home,
			Fails: s.failing(now), Far: s.Zone != b.zone, Cold: now.Before(s.cold), Ejected: now.Before(s.until),
		})
	}
	if len(free) == 0 {
		return nil
	}
	i := place.Choose(place.Need{Prompt: a.Request.Prompt, Shared: shared, Bytes: a.Bytes}, candidates, rand.IntN(len(free)))
	if i < 0 {
		return nil
	}
	s := free[i]
	l := &Lease{board: b, state: s, prompt: a.Request.Parts, cached: candidates[i].Cached}
	l.tokens = max(a.Request.Prompt-l.cached, 0)
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
func (b *Board) home(service, key string) *state {
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

// Begin notes that the engine has read the prompt.
func (l *Lease) Begin() {
	l.board.mu.Lock()
	defer l.board.mu.Unlock()
	l.begin()
	s := l.state
	s.parts.read(l.prompt, int64(float64(l.board.size[s.Service])*cacheShare))
}

func (l *Lease) begin() {
	if !l.begun {
		l.begun = true
		l.state.waiting -= l.tokens
	}
}

// End gives the place back.
func (l *Lease) End(r Result, now time.Time) {
	l.board.mu.Lock()
	defer l.board.mu.Unlock()
	l.begin()
	s := l.state
	s.running--
	switch r {
	case Done:
		s.note(0, now)
		s.strikes, s.until = 0, time.Time{}
	case Failed:
		s.note(1, now)
	case Broken, Full:
		s.note(1, now)
		s.eject(r, now)
	case Dropped:
	}
}

func (s *state) eject(r Result, now time.Time) {
	d := firstEject
	if r == Broken {
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
