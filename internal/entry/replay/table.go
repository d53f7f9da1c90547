package replay

import (
	"container/list"
	"sync"
	"time"

	"jacinthladder.dev/internal/entry/call"
)

// Entry is one key's attempt.
type Entry struct {
	response Response
	id       string
	digest   uint64
	key      string
	until    time.Time // kept until, once ended
	evicted  bool      // the answer had to go
	place    *list.Element
}

// Response returns the answer of the attempt.
func (e *Entry) Response() *Response { return &e.response }

// ID returns the request ID of the attempt.
func (e *Entry) ID() string { return e.id }

// Table holds the attempts of one instance. Make one with NewTable.
type Table struct {
	most int64 // bytes of finished answers

	mu      sync.Mutex
	entries map[string]*Entry
	ended   list.List // entries with an answer, the oldest first
	size    int64
}

// NewTable returns a table that keeps at most so many bytes of finished
// answers.
func NewTable(most int64) *Table {
	return &Table{most: most, entries: map[string]*Entry{}}
}

// ScopedKey returns the name of a call's key in the fleet: a key belongs to its
// client account and service.
func ScopedKey(c *call.Call) string {
	return c.Account() + "/" + c.Service().Name() + "/" + c.Key()
}

// Begin returns the entry for a call's key. First says that the call is the
// attempt, and End must follow. A different body under the key, and an answer
// that is gone, are refused.
func (t *Table) Begin(c *call.Call) (e *Entry, first bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(time.Now())
	key := ScopedKey(c)
	if e := t.entries[key]; e != nil {
		switch {
		case e.digest != c.Digest():
			return nil, false, call.Refuse(call.KeyReused, "the idempotency key was used for another request")
		case e.evicted:
			return nil, false, call.Refuse(call.AnswerGone, "the answer to this idempotency key is no longer kept; the request ran as %s", e.id)
		}
		return e, false, nil
	}
	e = &Entry{id: c.ID(), digest: c.Digest(), key: key}
	t.entries[key] = e
	return e, true, nil
}

// Find returns the attempt of a request at a key, nil if there is none here.
// Gone says that its answer is no longer kept.
func (t *Table) Find(key, request string) (e *Entry, gone bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(time.Now())
	e = t.entries[key]
	if e == nil || e.id != request {
		return nil, false
	}
	return e, e.evicted
}

// End closes an attempt. One that did not run is forgotten, so that the caller
// may try again; any other answer is kept for the given time.
func (t *Table) End(e *Entry, err error, ran bool, keep time.Duration) {
	e.response.End(err)
	t.mu.Lock()
	defer t.mu.Unlock()
	if !ran {
		delete(t.entries, e.key)
		return
	}
	e.until = time.Now().Add(keep)
	e.place = t.ended.PushBack(e)
	t.size += e.response.Size()
	for t.size > t.most {
		if !t.evict() {
			return
		}
	}
}

// evict drops the oldest answer that is still held, and keeps its key.
func (t *Table) evict() bool {
	for p := t.ended.Front(); p != nil; p = p.Next() {
		if e := p.Value.(*Entry); !e.evicted {
			e.evicted = true
			t.size -= e.response.Size()
			e.response.drop()
			return true
		}
	}
	return false
}

// expire forgets the entries whose time is over.
func (t *Table) expire(now time.Time) {
	for p := t.ended.Front(); p != nil; p = t.ended.Front() {
		e := p.Value.(*Entry)
		if now.Before(e.until) {
			return
		}
		t.ended.Remove(p)
		delete(t.entries, e.key)
		t.size -= e.response.Size()
	}
}

// Len returns the number of keys that are remembered.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries)
}
