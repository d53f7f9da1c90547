package picker

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"jacinthladder.dev/internal/forward/meta"
)

const (
	// maxLimitNotes is the largest number of notes on limits in one message to a peer.
	maxLimitNotes = 64
	// endedLimitTTL is how long peers are told that an endpoint names no limit any more.
	endedLimitTTL = 15 * time.Second
)

// statedLimit is what the responses of an endpoint last said of the rate that it takes. When
// the endpoint said so is known as an interval: from the sending of the request to the arrival
// of the response. The zero value is an endpoint that never named a limit.
type statedLimit struct {
	meta.RateLimit
	askedAt time.Time
	toldAt  time.Time
}

// tighterThan reports whether l allows fewer requests than other.
func (l statedLimit) tighterThan(other statedLimit) bool {
	switch {
	case !l.Named:
		return false
	case !other.Named:
		return true
	default:
		return l.PerSecond < other.PerSecond
	}
}

// replaces reports whether the statement l counts from now on instead of the older one. Of
// two statements that may have been made in any order, the tighter one counts.
func (l statedLimit) replaces(older statedLimit) bool {
	if older.tighterThan(l) {
		return l.askedAt.After(older.toldAt)
	}
	return !l.toldAt.Before(older.askedAt)
}

// LimitNote is what an instance tells its peers of the rate that one endpoint takes.
type LimitNote struct {
	ID        string
	StartedAt int64
	Limit     meta.RateLimit
	// AskedAge and ToldAge are the ages of the last request whose response said so and of that
	// response.
	AskedAge, ToldAge time.Duration
}

// NoteLimit records the limit that the response to a request named, or that it named none. The
// request was sent at sentAt. NoteLimit reports whether the rate that the endpoint takes has
// changed.
func (pk *Pick) NoteLimit(limit meta.RateLimit, sentAt, now time.Time) bool {
	pk.picker.mu.Lock()
	defer pk.picker.mu.Unlock()
	return pk.picker.setLimit(pk.state, statedLimit{RateLimit: limit, askedAt: sentAt, toldAt: now})
}

// setLimit records a statement unless what is known is newer, and reports whether the rate
// that the endpoint takes has changed. The caller holds the lock.
func (p *Picker) setLimit(s *endpointState, l statedLimit) bool {
	if !l.replaces(s.limit) || !l.Named && s.limit.toldAt.IsZero() {
		return false
	}
	changed := l.RateLimit != s.limit.RateLimit
	s.limit = l
	if !changed {
		return false
	}
	s.permitAt, s.limitChangedAt = time.Time{}, l.toldAt
	if p.LimitChanged != nil {
		p.LimitChanged(s.Endpoint, l.RateLimit)
	}
	return true
}

// MergeLimits records what a peer has heard of the rates that endpoints take.
func (p *Picker) MergeLimits(notes []LimitNote, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, n := range notes[:min(len(notes), maxLimitNotes)] {
		s := p.endpoints[n.ID]
		if s == nil || s.StartedAt != n.StartedAt || n.Limit == s.limit.RateLimit {
			continue // a statement that is repeated by peers would become newer each time
		}
		p.setLimit(s, statedLimit{RateLimit: n.Limit, askedAt: now.Add(-n.AskedAge), toldAt: now.Add(-n.ToldAge)})
	}
}

// Limits returns what peers should know of the rates that endpoints take: the newest notes if
// there are too many.
func (p *Picker) Limits(now time.Time) []LimitNote {
	p.mu.Lock()
	defer p.mu.Unlock()
	var notes []LimitNote
	for _, s := range p.endpoints {
		if s.limit.Named || now.Sub(s.limitChangedAt) < endedLimitTTL {
			notes = append(notes, LimitNote{
				ID: s.ID, StartedAt: s.StartedAt, Limit: s.limit.RateLimit, AskedAge: now.Sub(s.limit.askedAt), ToldAge: now.Sub(s.limit.toldAt),
			})
		}
	}
	slices.SortFunc(notes, func(a, b LimitNote) int { return cmp.Or(cmp.Compare(a.ToldAge, b.ToldAge), cmp.Compare(a.ID, b.ID)) })
	return notes[:min(len(notes), maxLimitNotes)]
}

// Limit returns the rate of requests that the endpoint of the pick takes from all instances
// together, and the key by which they share it.
func (pk *Pick) Limit() (limit meta.RateLimit, key string) {
	pk.picker.mu.Lock()
	defer pk.picker.mu.Unlock()
	s := pk.state
	return s.limit.RateLimit, s.ID + "/" + strconv.FormatInt(s.StartedAt, 10)
}

// Postpone records that there is no permit for the endpoint for the time wait, so that it is not
// picked.
func (pk *Pick) Postpone(wait time.Duration, now time.Time) {
	pk.picker.mu.Lock()
	defer pk.picker.mu.Unlock()
	pk.state.permitAt = now.Add(wait)
}
