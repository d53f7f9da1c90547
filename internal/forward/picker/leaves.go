package picker

import (
	"time"
)

// incarnation identifies one of successive endpoints with the same ID.
type incarnation struct {
	id        string
	startedAt int64
}

// MarkLeaving marks the endpoint with the given ID and start time as leaving, so that
// it gets no new requests, also if the picker does not know it yet. It reports whether
// the picker knew the endpoint as one that was not leaving.
func (p *Picker) MarkLeaving(id string, startedAt int64, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordLeave(id, startedAt, now)
	s := p.endpoints[id]
	if s == nil || s.StartedAt != startedAt || s.Leaving {
		return false
	}
	s.Leaving = true
	p.refreshAvailable()
	return true
}

// leaveTTL is how long the picker remembers that an endpoint is leaving after it last
// heard so. It exceeds the time that an endpoint takes to leave, and that for which old
// entries of the registry can come back.
const leaveTTL = 10 * time.Minute

// recordLeave records that an endpoint is leaving, and forgets those of which this was
// last heard more than leaveTTL ago. The caller holds the lock.
func (p *Picker) recordLeave(id string, startedAt int64, now time.Time) {
	i := incarnation{id, startedAt}
	if _, known := p.left[i]; !known {
		for other, at := range p.left {
			if now.Sub(at) > leaveTTL {
				delete(p.left, other)
			}
		}
	}
	p.left[i] = now
	p.noteStart(id, startedAt, now)
}

// startTTL is how long the picker remembers the latest start under an ID after it last heard of it. In that time
// entries of earlier starts can come back with an older copy of the registry. It is short, because the
// clock by which endpoints state their starts may be set back.
const startTTL = 30 * time.Second

// start is the latest start that was heard of under an ID.
type start struct {
	startedAt int64
	heardAt   time.Time
}

// noteStart records that an endpoint has started under an ID, if no later one has. The caller holds the
// lock.
func (p *Picker) noteStart(id string, startedAt int64, now time.Time) {
	known, ok := p.starts[id]
	if !ok {
		for other, s := range p.starts {
			if now.Sub(s.heardAt) > startTTL {
				delete(p.starts, other)
			}
		}
	}
	if !ok || startedAt >= known.startedAt || now.Sub(known.heardAt) > startTTL {
		p.starts[id] = start{startedAt, now}
	}
}

// superseded reports whether an endpoint has ended, because a later one has started under its ID. The
// caller holds the lock.
func (p *Picker) superseded(e Endpoint, now time.Time) bool {
	later, ok := p.starts[e.ID]
	return ok && e.StartedAt > 0 && e.StartedAt < later.startedAt && now.Sub(later.heardAt) <= startTTL
}
