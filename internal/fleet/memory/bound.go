package memory

import (
	"sync"
	"time"
)

const (
	// largeHold is the size in bytes from which on a hold counts as large. Large holds get at most
	// largeShare of the bound.
	largeHold  = 256 << 10
	largeShare = 0.75
	// fullShare is the share of the bound from which on holds that wait are ended for new ones.
	fullShare = 0.9
	// minWait is the time that a hold has waited for its caller before it may be ended. Whole
	// requests arrive in less.
	minWait = 250 * time.Millisecond
	// roomTimeout bounds the time in which ended holds give their bytes back to a newcomer.
	roomTimeout = 250 * time.Millisecond
)

// Bound is what all holds of a process may take together. Create it with NewBound. The methods of
// a nil Bound and of its holds bound nothing.
type Bound struct {
	files int
	// Ended, if set, is called when a hold is ended for others, and Refused when there is no room for
	// one. Set them before use.
	Ended, Refused func()

	now func() time.Duration // the time by which waits are measured

	mu       sync.Mutex
	bytes    int64
	held     int64 // bytes of all holds
	large    int64 // of these, bytes of large holds
	open     int   // files of all holds
	holds    map[*Hold]struct{}
	released chan struct{} // closed when bytes or files are given back; nil if nobody waits
}

// NewBound returns a bound of bytes and of open files.
func NewBound(bytes int64, files int) *Bound {
	return &Bound{bytes: bytes, files: files, now: sinceStart, holds: map[*Hold]struct{}{}}
}

// Held returns the bytes of all holds.
func (b *Bound) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// Bytes returns the largest number of bytes that all holds may take.
func (b *Bound) Bytes() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bytes
}

// Open returns a hold of bytes and files, or nil and false if there is no room at once. End is
// called to end the hold if it waits for its caller and others need the room, without a lock of this package. It reports whether
// the hold will be closed or shrunk soon. A nil end means that the hold is never ended.
func (b *Bound) Open(bytes int64, files int, end func() bool) (*Hold, bool) {
	if b == nil {
		return nil, true
	}
	h := &Hold{bound: b, end: end}
	if _, ok := b.take(h, bytes, files); !ok {
		b.note(b.Refused)
		return nil, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.holds[h] = struct{}{}
	return h, true
}

// take gives bytes and files to a hold if there is room for them now. It first ends holds that wait, if
// the bound is nearly full. Coming reports that there will be room when these have given theirs back.
func (b *Bound) take(h *Hold, bytes int64, files int) (coming, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.closed {
		return false, false
	}
	if l := b.lack(h, bytes, files); l.any() {
		b.endSome(b.choose(h, l))
	}
	if !h.closed && b.fits(h, bytes, files) {
		b.add(h, bytes, files)
		return false, true
	}
	return !h.closed && b.mayFit(h, bytes, files), false
}

// fits reports whether a hold may take more bytes and files. The caller holds the lock.
func (b *Bound) fits(h *Hold, bytes int64, files int) bool {
	if b.held+bytes > b.bytes || b.open+files > b.files {
		return false
	}
	more := h.largeBytes(h.bytes+bytes) - h.largeBytes(h.bytes)
	return more <= 0 || float64(b.large+more) <= largeShare*float64(b.bytes)
}

// add gives bytes and files to a hold, or takes them back if they are negative. The caller holds the lock.
func (b *Bound) add(h *Hold, bytes int64, files int) {
	b.large += h.largeBytes(h.bytes+bytes) - h.largeBytes(h.bytes)
	h.bytes, h.files = h.bytes+bytes, h.files+files
	b.held, b.open = b.held+bytes, b.open+files
	if (bytes < 0 || files < 0) && b.released != nil {
		close(b.released)
		b.released = nil
	}
}

// choose marks holds that wait for their callers as ending, until nothing is lacking or none is left, and
// returns them. The caller holds the lock.
func (b *Bound) choose(newcomer *Hold, l lack) []*Hold {
	now := b.now()
	var ends []*Hold
	for l.any() {
		v := b.longest(now, newcomer, l)
		if v == nil {
			break
		}
		v.ending = true
		l = l.without(v)
		ends = append(ends, v)
	}
	return ends
}

// endSome ends holds without the lock, which the caller holds.
func (b *Bound) endSome(ends []*Hold) {
	b.mu.Unlock()
	defer b.mu.Lock()
	for _, v := range ends {
		if v.end() {
			b.note(b.Ended)
			continue
		}
		v.stay()
	}
}

// mayFit reports whether there is room for more bytes and files without the holds that are ending. The
// caller holds the lock.
func (b *Bound) mayFit(h *Hold, bytes int64, files int) bool {
	held, large, open := b.held+bytes, b.large+h.largeBytes(h.bytes+bytes)-h.largeBytes(h.bytes), b.open+files
	for v := range b.holds {
		if v.ending {
			held, large, open = held-v.bytes, large-v.largeBytes(v.bytes), open-v.files
		}
	}
	return held <= b.bytes && open <= b.files && float64(large) <= largeShare*float64(b.bytes)
}

// lack is what must be given back for a newcomer.
type lack struct {
	bytes int64
	large int64
	files int
}

func (l lack) any() bool { return l.bytes > 0 || l.large > 0 || l.files > 0 }

// without returns what is lacking when a hold is given back.
func (l lack) without(h *Hold) lack {
	return lack{bytes: l.bytes - h.bytes, large: l.large - h.largeBytes(h.bytes), files: l.files - h.files}
}

// lack returns what must be given back so that a hold can take more bytes and files and the bound is not
// full then. Holds that are ending count as given back. The caller holds the lock.
func (b *Bound) lack(h *Hold, bytes int64, files int) lack {
	l := lack{
		bytes: b.held + bytes - int64(fullShare*float64(b.bytes)),
		files: b.open + files - int(fullShare*float64(b.files)),
	}
	if more := h.largeBytes(h.bytes+bytes) - h.largeBytes(h.bytes); more > 0 {
		l.large = b.large + more - int64(largeShare*float64(b.bytes))
	}
	if !l.any() {
		return l
	}
	for v := range b.holds {
		if v.ending {
			l = l.without(v)
		}
	}
	return l
}

// longest returns the hold that has kept the most bytes for the longest time while it waited for its
// caller, of those whose end helps. It returns nil if there is none. The caller holds the lock.
func (b *Bound) longest(now time.Duration, newcomer *Hold, l lack) *Hold {
	var found *Hold
	most := 0.0
	for v := range b.holds {
		waited := v.waited(now)
		if v == newcomer || v.ending || v.end == nil || waited < minWait || l.bytes <= 0 && l.files <= 0 && v.largeBytes(v.bytes) == 0 {
			continue
		}
		if kept := float64(v.bytes) * waited.Seconds(); found == nil || kept > most {
			found, most = v, kept
		}
	}
	return found
}

// note calls a function of Bound, if it is set.
func (b *Bound) note(f func()) {
	if f != nil {
		f()
	}
}

// awaitRelease returns a channel that is closed when bytes or files are given back.
func (b *Bound) awaitRelease() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.released == nil {
		b.released = make(chan struct{})
	}
	return b.released
}
