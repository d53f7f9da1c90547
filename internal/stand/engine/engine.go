package engine

import (
	"container/heap"
	"sync"
	"time"
)

// Config sizes an engine.
type Config struct {
	Name    string
	Slots   int           // requests run at once
	Prefill time.Duration // for each prompt token not in the cache
	Step    time.Duration // between two tokens of a stream
	Cache   int           // prefixes kept
	Lag     time.Duration // age of the load report
	Keep    time.Duration // how long an unread run is kept
}

// Engine is an engine in memory. Make one with New.
type Engine struct {
	config  Config
	mu      sync.Mutex
	running int
	waiting queue
	runs    map[string]*run
	cache   cache
	epoch   chan struct{} // closed when open connections fall silent
	down    chan struct{} // closed on a crash
	crashed bool
	leaving bool
	reports []report
	served  int64
	hits    int64
	arrival int64
}

type report struct {
	at   time.Time
	load Load
}

// New returns an idle engine.
func New(c Config) *Engine {
	return &Engine{
		config: c,
		runs:   map[string]*run{},
		cache:  cache{most: c.Cache},
		epoch:  make(chan struct{}),
		down:   make(chan struct{}),
	}
}

// Hush makes the connections that are open now silent for good. New ones work.
func (e *Engine) Hush() {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.epoch)
	e.epoch = make(chan struct{})
}

// Crash loses every run, breaks every connection and refuses new ones.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed {
		return
	}
	e.crashed = true
	close(e.down)
	for id, r := range e.runs {
		r.stop()
		delete(e.runs, id)
	}
	e.cache.clear()
}

// Restart brings a crashed engine back, empty.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed {
		e.crashed = false
		e.down = make(chan struct{})
	}
}

// Leave announces that the engine will stop, or takes that back.
func (e *Engine) Leave(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// Served returns the runs finished and the prompts that began in the cache.
func (e *Engine) Served() (runs, hits int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.served, e.hits
}

// Load returns the load as it stood before the report's lag.
func (e *Engine) Load() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := Load{Running: e.running, Waiting: e.waiting.Len(), Slots: e.config.Slots, Leaving: e.leaving}
	e.reports = append(e.reports, report{at: time.Now(), load: now})
	shown := e.reports[0].load
	for len(e.reports) > 1 && time.Since(e.reports[0].at) > e.config.Lag {
		shown = e.reports[0].load
		e.reports = e.reports[1:]
	}
	shown.Leaving = e.leaving
	return shown
}

// admit returns a channel that is closed when the run may begin.
func (e *Engine) admit(r *run) <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.arrival++
	r.arrival = e.arrival
	r.ready = make(chan struct{})
	heap.Push(&e.waiting, r)
	e.fill()
	return r.ready
}

// release gives up a run's slot, or its place in the queue.
func (e *Engine) release(r *run, finished bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.place >= 0 {
		heap.Remove(&e.waiting, r.place)
		return
	}
	e.running--
	if finished {
		e.served++
	}
	e.fill()
}

func (e *Engine) fill() {
	for e.running < e.config.Slots && e.waiting.Len() > 0 {
		e.running++
		close(heap.Pop(&e.waiting).(*run).ready)
	}
}

// queue orders runs by rank, then by arrival.
type queue []*run

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	if q[i].rank != q[j].rank {
		return q[i].rank > q[j].rank
	}
	return q[i].arrival < q[j].arrival
}

func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].place, q[j].place = i, j
}

func (q *queue) Push(x any) {
	r := x.(*run)
	r.place = len(*q)
	*q = append(*q, r)
}

func (q *queue) Pop() any {
	old := *q
	r := old[len(old)-1]
	r.place = -1
	*q = old[:len(old)-1]
	return r
}

// Running returns the requests that run now.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}
