package engine

import (
	"sync"
	"time"
)

// run generates the response to one request. It continues when no caller reads the
// stream, so that the stream can be resumed. It ends early only if it is canceled or
// its engine crashes.
type run struct {
	id          string
	model       string
	priority    int
	arrival     int64         // place in the order in which runs entered the queue, from 1
	queueIndex  int           // index in the queue, -1 once the run has left the queue
	slotGranted chan struct{} // closed when the run gets a slot of its engine
	tokens      []string      // all tokens of the response

	mu        sync.Mutex
	generated int   // number of tokens generated so far
	usage     Usage // token counts so far
	ended     bool  // generation has stopped, with or without all tokens
	canceled  bool
	changed   chan struct{} // closed by notify when tokens are generated or the run ends, then replaced
	cancelC   chan struct{} // closed by cancel to end the run
}

func newRun(id string, priority int, q Request) *run {
	return &run{
		id:       id,
		model:    q.Model,
		priority: priority,
		tokens:   Tokens(q),
		changed:  make(chan struct{}),
		cancelC:  make(chan struct{}),
	}
}

// start adds a run to the queue and generates its tokens in the background once it
// has a slot.
func (e *Engine) start(r *run, q Request) {
	slotGranted := e.enqueue(r)
	go func() {
		defer r.markEnded()
		select {
		case <-slotGranted:
		case <-r.cancelC:
			e.release(r, false)
			return
		}
		if !sleep(r.cancelC, e.prefill(r, q)) {
			e.release(r, false)
			return
		}
		complete := e.generate(r)
		e.release(r, complete)
		e.expire(r)
	}()
}

// prefill sets the usage of a run to the number of its prompt tokens and the number of
// those that are in the prefix cache. It returns the time that the prefill of the other
// prompt tokens takes.
func (e *Engine) prefill(r *run, q Request) time.Duration {
	prompt := int64(len(q.prompt())/bytesPerToken + 1)
	var cached int64
	e.mu.Lock()
	if len(q.Messages) > 0 && e.cache.touch(q.Messages[0]) {
		cached = min(int64(len(q.Messages[0])/bytesPerToken), prompt)
		e.cacheHits++
	}
	e.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.usage = Usage{Prompt: prompt, Total: prompt, Details: UsageDetails{Cached: cached}}
	return time.Duration(prompt-cached) * e.config.PrefillPerToken
}

// generate produces the tokens of a run, and stops early if the run is canceled. It
// reports whether it produced all of them.
func (e *Engine) generate(r *run) bool {
	if e.config.TokenInterval == 0 {
		return r.advance(len(r.tokens))
	}
	for range r.tokens {
		if !sleep(r.cancelC, e.config.TokenInterval) || !r.advance(1) {
			return false
		}
	}
	return true
}

// expire schedules the removal of a run whose generation has just stopped. The run is
// removed after Config.RunTTL, and its stream can be resumed until then.
func (e *Engine) expire(r *run) {
	time.AfterFunc(e.config.RunTTL, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.runs[r.id] == r {
			delete(e.runs, r.id)
		}
	})
}

// advance adds count newly generated tokens to the run and wakes the readers of its
// stream. If the run is canceled, advance adds nothing and reports false.
func (r *run) advance(count int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.canceled {
		return false
	}
	r.generated += count
	r.usage.Completion = int64(r.generated)
	r.usage.Total = r.usage.Prompt + r.usage.Completion
	r.notify()
	return true
}

func (r *run) markEnded() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	r.notify()
}

// cancel stops the run, unless it has ended, and returns its usage so far.
func (r *run) cancel() Usage {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.canceled && !r.ended {
		r.canceled = true
		close(r.cancelC)
	}
	return r.usage
}

// notify wakes the readers of the run's stream. The caller holds r.mu.
func (r *run) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// state returns the number of tokens generated so far, the usage so far and whether the
// run has ended. The channel that it returns is closed when further tokens are generated
// or the run ends.
func (r *run) state() (generated int, usage Usage, ended bool, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.generated, r.usage, r.ended, r.changed
}

// complete reports whether the run generated all of its tokens.
func (r *run) complete() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.generated == len(r.tokens)
}

// sleep waits for d and reports true, or returns false early once canceled is closed.
func sleep(canceled <-chan struct{}, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-canceled:
		return false
	}
}
