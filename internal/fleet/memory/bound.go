package memory

import (
	"sync"
	"time"
)

const (
	// largeSize is the size in bytes from which on a reservation counts as large. Large reservations get at most
	// largeShare of the bound.
	largeSize  = 256 << 10
	largeShare = 0.75
	// fullShare is the share of the bound from which on reservations that wait are ended for new ones.
	fullShare = 0.9
	// minWait is the time that a reservation has waited for its caller before it may be ended. Whole
	// requests arrive in less.
	minWait = 250 * time.Millisecond
	// roomTimeout bounds the time in which ended reservations give their bytes back to a newcomer.
	roomTimeout = 250 * time.Millisecond
)

// Bound is what all reservations of a process may take together. Create it with NewBound. The methods of
// a nil Bound and of its reservations bound nothing.
type Bound struct {
	files int
	// Ended, if set, is called when a reservation is ended for others, and Refused when there is no room for
	// one. Set them before use.
	Ended, Refused func()

	now func() time.Duration // the time by which waits are measured

	mu           sync.Mutex
	bytes        int64
	held         int64 // bytes of all reservations
	large        int64 // of these, bytes of large reservations
	open         int   // files of all reservations
	reservations map[*Reservation]struct{}
	released     chan struct{} // closed when bytes or files are given back; nil if nobody waits
}

// NewBound returns a bound of bytes and of open files.
func NewBound(bytes int64, files int) *Bound {
	return &Bound{bytes: bytes, files: files, now: sinceStart, reservations: map[*Reservation]struct{}{}}
}

// Held returns the bytes of all reservations.
func (b *Bound) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// Bytes returns the largest number of bytes that all reservations may take.
func (b *Bound) Bytes() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bytes
}

// Open returns a reservation of bytes and files, or nil and false if there is no room at once. End is
// called to end the reservation if it waits for its caller and others need the room, without a lock of this package. It reports whether
// the reservation will be closed or shrunk soon. A nil end means that the reservation is never ended.
func (b *Bound) Open(bytes int64, files int, end func() bool) (*Reservation, bool) {
	if b == nil {
		return nil, true
	}
	r := &Reservation{bound: b, end: end}
	if _, ok := b.take(r, bytes, files); !ok {
		b.note(b.Refused)
		return nil, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reservations[r] = struct{}{}
	return r, true
}

// take gives bytes and files to a reservation if there is room for them now. It first ends reservations that wait, if
// the bound is nearly full. Coming reports that there will be room when these have given theirs back.
func (b *Bound) take(r *Reservation, bytes int64, files int) (coming, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.closed {
		return false, false
	}
	if l := b.lack(r, bytes, files); l.any() {
		b.endSome(b.choose(r, l))
	}
	if !r.closed && b.fits(r, bytes, files) {
		b.add(r, bytes, files)
		return false, true
	}
	return !r.closed && b.mayFit(r, bytes, files), false
}

// fits reports whether a reservation may take more bytes and files. The caller holds the lock.
func (b *Bound) fits(r *Reservation, bytes int64, files int) bool {
	if b.held+bytes > b.bytes || b.open+files > b.files {
		return false
	}
	more := r.largeBytes(r.bytes+bytes) - r.largeBytes(r.bytes)
	return more <= 0 || float64(b.large+more) <= largeShare*float64(b.bytes)
}

// add gives bytes and files to a reservation, or takes them back if they are negative. The caller holds the lock.
func (b *Bound) add(r *Reservation, bytes int64, files int) {
	b.large += r.largeBytes(r.bytes+bytes) - r.largeBytes(r.bytes)
	r.bytes, r.files = r.bytes+bytes, r.files+files
	b.held, b.open = b.held+bytes, b.open+files
	if (bytes < 0 || files < 0) && b.released != nil {
		close(b.released)
		b.released = nil
	}
}

// choose marks reservations that wait for their callers as ending, until nothing is lacking or none is left, and
// returns them. The caller holds the lock.
func (b *Bound) choose(newcomer *Reservation, l lack) []*Reservation {
	now := b.now()
	var ends []*Reservation
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

// endSome ends reservations without the lock, which the caller holds.
func (b *Bound) endSome(ends []*Reservation) {
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

// mayFit reports whether there is room for more bytes and files without the reservations that are ending. The
// caller holds the lock.
func (b *Bound) mayFit(r *Reservation, bytes int64, files int) bool {
	held, large, open := b.held+bytes, b.large+r.largeBytes(r.bytes+bytes)-r.largeBytes(r.bytes), b.open+files
	for v := range b.reservations {
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

// without returns what is lacking when a reservation is given back.
func (l lack) without(r *Reservation) lack {
	return lack{bytes: l.bytes - r.bytes, large: l.large - r.largeBytes(r.bytes), files: l.files - r.files}
}

// lack returns what must be given back so that a reservation can take more bytes and files and the bound is not
// full then. Reservations that are ending count as given back. The caller holds the lock.
func (b *Bound) lack(r *Reservation, bytes int64, files int) lack {
	l := lack{
		bytes: b.held + bytes - int64(fullShare*float64(b.bytes)),
		files: b.open + files - int(fullShare*float64(b.files)),
	}
	if more := r.largeBytes(r.bytes+bytes) - r.largeBytes(r.bytes); more > 0 {
		l.large = b.large + more - int64(largeShare*float64(b.bytes))
	}
	if !l.any() {
		return l
	}
	for v := range b.reservations {
		if v.ending {
			l = l.without(v)
		}
	}
	return l
}

// longest returns the reservation that has kept the most bytes for the longest time while it waited for its
// caller, of those whose end helps. It returns nil if there is none. The caller holds the lock.
func (b *Bound) longest(now time.Duration, newcomer *Reservation, l lack) *Reservation {
	var found *Reservation
	most := 0.0
	for v := range b.reservations {
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
