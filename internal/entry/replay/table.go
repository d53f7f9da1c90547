package replay

import (
	"container/list"
	"sync"
	"time"

	"jacinthladder.dev/internal/entry/call"
)

// Entry is the attempt for one key.
type Entry struct {
	response  Response
	id        string
	digest    uint64
	key       string
	expiresAt time.Time // set when the attempt ends
	evicted   bool      // the response was discarded to free memory
	element   *list.Element
}

// Response returns the response of the attempt.
func (e *Entry) Response() *Response { return &e.response }

// ID returns the request ID of the attempt.
func (e *Entry) ID() string { return e.id }

// Table holds the attempts of one instance. Make one with NewTable.
type Table struct {
	maxBytes int64 // limit on the bytes of finished responses

	mu       sync.Mutex
	entries  map[string]*Entry
	finished list.List // entries of attempts that ran, oldest first
	size     int64
}

// NewTable returns a table that stores at most maxBytes of finished responses.
func NewTable(maxBytes int64) *Table {
	return &Table{maxBytes: maxBytes, entries: map[string]*Entry{}}
}

// ScopedKey returns the idempotency key of a call with its client account and
// service, which is unique in the fleet.
func ScopedKey(c *call.Call) string {
	return c.Account() + "/" + c.Service().Name() + "/" + c.Key()
}

// Begin returns the entry for a call's key. If first is true, the call starts
// the attempt, and the caller must call End. Begin refuses a call with a
// different body under the same key, and one whose response was evicted.
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

// Find returns the attempt of a request for a key, or nil if this instance has
// none. It also reports whether the response was evicted.
func (t *Table) Find(key, request string) (e *Entry, evicted bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(time.Now())
	e = t.entries[key]
	if e == nil || e.id != request {
		return nil, false
	}
	return e, e.evicted
}

// End ends an attempt. An attempt that did not run is removed, so that the caller
// may retry; otherwise the response is kept for ttl.
func (t *Table) End(e *Entry, err error, ran bool, ttl time.Duration) {
	e.response.End(err)
	t.mu.Lock()
	defer t.mu.Unlock()
	if !ran {
		delete(t.entries, e.key)
		return
	}
	e.expiresAt = time.Now().Add(ttl)
	e.element = t.finished.PushBack(e)
	t.size += e.response.Size()
	for t.size > t.maxBytes {
		if !t.evict() {
			return
		}
	}
}

// evict discards the oldest stored response and keeps its entry. It reports
// whether there was one.
func (t *Table) evict() bool {
	for element := t.finished.Front(); element != nil; element = element.Next() {
		if e := element.Value.(*Entry); !e.evicted {
			e.evicted = true
			t.size -= e.response.Size()
			e.response.discard()
			return true
		}
	}
	return false
}

// expire removes expired entries in the order in which their attempts ended. An
// entry stays until all entries before it have expired.
func (t *Table) expire(now time.Time) {
	for element := t.finished.Front(); element != nil; element = t.finished.Front() {
		e := element.Value.(*Entry)
		if now.Before(e.expiresAt) {
			return
		}
		t.finished.Remove(element)
		delete(t.entries, e.key)
		t.size -= e.response.Size()
	}
}

// Len returns the number of keys in the table.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries)
}
