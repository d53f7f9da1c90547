package engine

import (
	"container/heap"
	"sync"
	"time"
)

// Config holds the limits and the simulated times of an engine.
type Config struct {
	Name            string
	Slots           int           // maximum number of concurrent runs; further runs wait in the queue
	PrefillPerToken time.Duration // prefill time per prompt token that is not cached
	TokenInterval   time.Duration // time to generate one token; 0 generates all tokens at once
	CachedPrefixes  int           // maximum number of first messages of prompts in the cache
	ReportDelay     time.Duration // delay of the load report, which shows the load as it was this long ago
	RunTTL          time.Duration // how long a stream can be resumed after its run has ended
}

// Engine is the stand-in for a model engine. Its methods let a test run requests,
// inject faults and read counts. Create one with New.
type Engine struct {
	config       Config
	mu           sync.Mutex
	running      int // runs that hold a slot
	queue        runQueue
	runs         map[string]*run // queued, running and recently ended runs, by stream ID
	cache        prefixCache
	stallConns   chan struct{} // closed by StallStreams to stall the open streams, then replaced
	breakConns   chan struct{} // closed by Crash to break the open streams, replaced by Restart
	crashed      bool
	leaving      bool
	samples      []loadSample // samples of the load for the delayed load report, oldest first
	finishedRuns int64        // runs that generated all of their tokens
	cacheHits    int64        // prompts whose first message was in the cache
	arrivals     int64        // runs that have entered the queue so far
}

// loadSample is the load of the engine at the time takenAt.
type loadSample struct {
	takenAt time.Time
	load    Load
}

// New returns an engine that serves, without runs and with an empty cache.
func New(c Config) *Engine {
	return &Engine{
		config:     c,
		runs:       map[string]*run{},
		cache:      prefixCache{capacity: c.CachedPrefixes},
		stallConns: make(chan struct{}),
		breakConns: make(chan struct{}),
	}
}

// StallStreams stalls the streams that are open now: they send no more data and stay
// open until the caller closes them. New connections work.
func (e *Engine) StallStreams() {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.stallConns)
	e.stallConns = make(chan struct{})
}

// Crash cancels and removes every run, clears the cache and breaks every open stream.
// Until Restart, the engine breaks the connection of each new HTTP request.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed {
		return
	}
	e.crashed = true
	close(e.breakConns)
	for id, r := range e.runs {
		r.cancel()
		delete(e.runs, id)
	}
	e.cache.clear()
}

// Restart makes a crashed engine serve again, with no runs and an empty cache.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed {
		e.crashed = false
		e.breakConns = make(chan struct{})
	}
}

// SetLeaving sets whether the engine announces, in LeavingHeader and in its load report,
// that it is leaving. A leaving engine rejects new runs and completes those it has.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// Served returns the number of runs that generated all of their tokens, and the
// number of prompts whose first message was in the prefix cache.
func (e *Engine) Served() (runs, hits int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.finishedRuns, e.cacheHits
}

// Load returns the load report, which lags behind the load. It takes a sample of the
// load and returns the newest earlier sample that is older than Config.ReportDelay,
// or the oldest sample if none is. It then drops the samples that are older than
// ReportDelay. Only Leaving is reported without delay.
func (e *Engine) Load() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	current := Load{Running: e.running, Waiting: e.queue.Len(), Slots: e.config.Slots, Leaving: e.leaving}
	e.samples = append(e.samples, loadSample{takenAt: time.Now(), load: current})
	reported := e.samples[0].load
	for len(e.samples) > 1 && time.Since(e.samples[0].takenAt) > e.config.ReportDelay {
		reported = e.samples[0].load
		e.samples = e.samples[1:]
	}
	reported.Leaving = e.leaving
	return reported
}

// enqueue adds a run to the queue and returns a channel that is closed when the
// run gets a slot.
func (e *Engine) enqueue(r *run) <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.arrivals++
	r.arrival = e.arrivals
	r.slotGranted = make(chan struct{})
	heap.Push(&e.queue, r)
	e.startQueued()
	return r.slotGranted
}

// release frees the slot of a run, or removes the run from the queue if it has no
// slot yet. If finished is set, the run has generated all of its tokens and is counted
// for Served.
func (e *Engine) release(r *run, finished bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.queueIndex >= 0 {
		heap.Remove(&e.queue, r.queueIndex)
		return
	}
	e.running--
	if finished {
		e.finishedRuns++
	}
	e.startQueued()
}

// startQueued gives the free slots to the first runs in the queue. The caller holds
// e.mu.
func (e *Engine) startQueued() {
	for e.running < e.config.Slots && e.queue.Len() > 0 {
		e.running++
		close(heap.Pop(&e.queue).(*run).slotGranted)
	}
}

// runQueue is a heap of the runs that wait for a slot: higher priority first, then
// earlier arrival.
type runQueue []*run

func (q runQueue) Len() int { return len(q) }

func (q runQueue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority > q[j].priority
	}
	return q[i].arrival < q[j].arrival
}

func (q runQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].queueIndex, q[j].queueIndex = i, j
}

func (q *runQueue) Push(x any) {
	r := x.(*run)
	r.queueIndex = len(*q)
	*q = append(*q, r)
}

func (q *runQueue) Pop() any {
	old := *q
	r := old[len(old)-1]
	r.queueIndex = -1
	*q = old[:len(old)-1]
	return r
}

// Running returns the number of runs that hold a slot.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}
