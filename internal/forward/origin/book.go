package origin

import (
	"sync"
	"time"
)

// Origin is where a stream began.
type Origin struct {
	Service string `json:"service"`
	Version string `json:"version"` // of the software of the endpoint that sent the first event
}

// maxStreams is the largest number of streams that a book remembers.
const maxStreams = 1 << 16

// book remembers the origins of streams. The zero value is ready to use.
type book struct {
	mu      sync.Mutex
	streams map[digest]entry // by the ID of the request that brought the first event
	changed bool             // an entry was added since the last call of takeChanged
}

type entry struct {
	Origin
	until  time.Time // how long the entry is remembered
	handed bool      // a peer has handed it over
}

// add remembers an origin. A full book first forgets what is past its time, and does not
// remember the origin if it is still full.
func (b *book) add(id digest, e entry, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.streams == nil {
		b.streams = map[digest]entry{}
	}
	if len(b.streams) >= maxStreams {
		b.prune(now)
	}
	if len(b.streams) < maxStreams {
		b.streams[id] = e
		b.changed = true
	}
}

// addHanded remembers an origin that a peer has handed over, unless the stream is known.
func (b *book) addHanded(id digest, e entry, now time.Time) {
	if _, known := b.find(id); !known {
		b.add(id, e, now)
	}
}

// find returns the origin of a stream, if it is remembered.
func (b *book) find(id digest) (Origin, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e, ok := b.streams[id]
	return e.Origin, ok
}

// takeChanged reports whether an entry was added since its last call.
func (b *book) takeChanged() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	changed := b.changed
	b.changed = false
	return changed
}

// current returns the entries that are wanted, of those that are not past their time, and forgets the
// others.
func (b *book) current(now time.Time, wanted func(e entry) bool) map[digest]Origin {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.prune(now)
	current := map[digest]Origin{}
	for id, e := range b.streams {
		if wanted(e) {
			current[id] = e.Origin
		}
	}
	return current
}

// prune forgets the entries that are past their time. The caller holds the lock.
func (b *book) prune(now time.Time) {
	for id, e := range b.streams {
		if now.After(e.until) {
			delete(b.streams, id)
		}
	}
}
