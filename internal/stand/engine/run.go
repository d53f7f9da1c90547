package engine

import (
	"sync"
	"time"
)

// run is one generation. It goes on without a reader, so that a stream can be
// resumed, until it is cancelled or its engine crashes.
type run struct {
	id      string
	model   string
	rank    int
	arrival int64
	place   int
	ready   chan struct{}
	tokens  []string

	mu       sync.Mutex
	made     int
	usage    Usage
	ended    bool
	stopped  bool
	progress chan struct{} // closed at each token, then replaced
	quit     chan struct{}
}

func newRun(id string, rank int, q Request) *run {
	return &run{
		id:       id,
		model:    q.Model,
		rank:     rank,
		tokens:   Answer(q),
		progress: make(chan struct{}),
		quit:     make(chan struct{}),
	}
}

// start generates the tokens in the background.
func (e *Engine) start(r *run, q Request) {
	ready := e.admit(r)
	go func() {
		defer r.finish()
		select {
		case <-ready:
		case <-r.quit:
			e.release(r, false)
			return
		}
		if !pause(r.quit, e.prefill(r, q)) {
			e.release(r, false)
			return
		}
		whole := e.generate(r)
		e.release(r, whole)
		e.forget(r)
	}()
}

// prefill prices the prompt and returns how long it takes.
func (e *Engine) prefill(r *run, q Request) time.Duration {
	prompt := int64(len(q.prompt())/bytesPerToken + 1)
	var cached int64
	e.mu.Lock()
	if len(q.Messages) > 0 && e.cache.touch(q.Messages[0]) {
		cached = min(int64(len(q.Messages[0])/bytesPerToken), prompt)
		e.hits++
	}
	e.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.usage = Usage{Prompt: prompt, Total: prompt, Details: UsageDetails{Cached: cached}}
	return time.Duration(prompt-cached) * e.config.Prefill
}

func (e *Engine) generate(r *run) bool {
	if e.config.Step == 0 {
		return r.step(len(r.tokens))
	}
	for range r.tokens {
		if !pause(r.quit, e.config.Step) || !r.step(1) {
			return false
		}
	}
	return true
}

// forget drops a finished run after the engine's keep time.
func (e *Engine) forget(r *run) {
	time.AfterFunc(e.config.Keep, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.runs[r.id] == r {
			delete(e.runs, r.id)
		}
	})
}

// step adds tokens to what is made, and reports false once stopped.
func (r *run) step(count int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopped {
		return false
	}
	r.made += count
	r.usage.Completion = int64(r.made)
	r.usage.Total = r.usage.Prompt + r.usage.Completion
	r.announce()
	return true
}

func (r *run) finish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	r.announce()
}

// stop cancels the run and returns what it cost.
func (r *run) stop() Usage {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.stopped && !r.ended {
		r.stopped = true
		close(r.quit)
	}
	return r.usage
}

func (r *run) announce() {
	close(r.progress)
	r.progress = make(chan struct{})
}

// look returns the state of the run and a channel that tells of the next change.
func (r *run) look() (made int, usage Usage, ended bool, next <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.made, r.usage, r.ended, r.progress
}

// whole reports whether the run made all of its tokens.
func (r *run) whole() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.made == len(r.tokens)
}

// pause waits for d and reports false if quit came first.
func pause(quit <-chan struct{}, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-quit:
		return false
	}
}
