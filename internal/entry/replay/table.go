package replay

import (
	"container/list"
	"sync"
	"time"

	"jacinthladder.dev/internal/entry/call"
)

// Entry is the attempt at the calls with one idempotency key, together with its
// response.
type Entry struct {
	response  Response
	id        string        // request ID of the attempt
	digest    uint64        // hash of the content of the request that started the attempt
	key       string        // scoped key, as ScopedKey returns it
	expiresAt time.Time     // time at which the entry is removed, set when the attempt ends
	evicted   bool          // the response was discarded to free memory
	element   *list.Element // element of the entry in Table.finished, nil until the attempt ends
}

// Response returns the response of the attempt, which may not have ended yet.
func (e *Entry) Response() *Response { return &e.response }

// ID returns the request ID of the attempt.
func (e *Entry) ID() string { return e.id }

// Table holds the attempts of one instance at calls with an idempotency key. Make one
// with NewTable.
type Table struct {
	maxBytes int64 // maximum total size of the responses in finished

	mu       sync.Mutex
	entries  map[string]*Entry // by scoped key
	finished list.List         // entries of ended attempts that ran, first ended first
	size     int64             // total size of the responses in finished, in bytes
}

// NewTable returns an empty table. It stores at most maxBytes of the responses of
// ended attempts, and evicts the oldest of them beyond that limit.
func NewTable(maxBytes int64) *Table {
	return &Table{maxBytes: maxBytes, entries: map[string]*Entry{}}
}

// ScopedKey returns the idempotency key of a call, preceded by the names of its client
// account and its service. Unlike the idempotency key, the scoped key is unique in the
// fleet.
func ScopedKey(c *call.Call) string {
	return c.Account() + "/" + c.Service().Name() + "/" + c.Key()
}

// Begin returns the entry for the idempotency key of c. If the result first is true,
// the entry is new, and the caller must run the attempt and then call Table.End. If
// first is false, an earlier request has started the attempt. Begin refuses c if the
// key was used for a request with different content, or if the response of the attempt
// was evicted.
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

// Find returns the entry for a scoped key if the request ID of its attempt is request.
// It returns nil if this instance has no such entry. The result evicted reports
// whether the response of the entry was evicted.
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

// End ends the attempt of an entry with the error err, which is nil if the response is
// complete. If ran is false, the call did not run. End then removes the entry, so that
// a retry with the idempotency key starts a new attempt. If ran is true, the entry
// expires after ttl. Its response is kept until then, or until it is evicted because
// the stored responses exceed the limit of the table.
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

// evict discards the oldest stored response and keeps its entry. It returns false if
// no response is left to discard.
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

// expire removes the entries that have expired by the time now, in the order in which
// their attempts ended. An entry stays until all entries before it have expired.
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

// Len returns the number of scoped keys that have an entry in the table.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries)
}
