package poison

import "time"

const (
	// minCrashes is the number of endpoints that must crash under a part before it is
	// blocked.
	minCrashes = 3
	// reviewInterval is the longest time between two reviews while requests come.
	reviewInterval = 100 * time.Millisecond
)

// review forgets what is too old, and decides anew which parts are blocked. The caller holds
// t.mu.
func (t *Tracker) review(now time.Time) {
	if !t.dirty && now.Sub(t.reviewedAt) < reviewInterval {
		return
	}
	t.dirty, t.reviewedAt = false, now
	t.prune(now)
	blocked := t.findCauses(now)
	for part, r := range t.records {
		was := r.blocked
		r.blocked = blocked[part]
		switch {
		case r.blocked && !was && t.Blocked != nil:
			t.Blocked(part, len(r.crashes))
		case was && !r.blocked && t.Released != nil:
			t.Released(part)
		}
	}
}

// prune forgets crashes, signs of life and records that are too old. It keeps the record of a
// part that was blocked at the last request with it, at whichever instance that was. The
// caller holds t.mu.
func (t *Tracker) prune(now time.Time) {
	for key, at := range t.unsettled {
		if now.Sub(at) > settleTime {
			delete(t.unsettled, key)
		}
	}
	for part, r := range t.records {
		if now.Sub(r.askedAt) < evidenceTTL {
			continue
		}
		for key, c := range r.crashes {
			if age := now.Sub(c.at); age > evidenceTTL || c.alive && age > soundTTL {
				delete(r.crashes, key)
			}
		}
		if len(r.crashes) > 0 || now.Sub(r.soundAt) < soundTTL {
			continue
		}
		if r.blocked && t.Released != nil {
			t.Released(part)
		}
		delete(t.records, part)
	}
	t.size.Store(int64(len(t.records)))
}

// evict removes a record with a single crash, and reports whether there was one. The caller
// holds t.mu.
func (t *Tracker) evict() bool {
	for part, r := range t.records {
		if len(r.crashes) <= 1 && !r.blocked {
			delete(t.records, part)
			return true
		}
	}
	return false
}

// findCauses returns the parts that explain the settled crashes. It takes the part under which
// most endpoints have crashed, and then in the same way those that explain further crashes.
// The caller holds t.mu.
func (t *Tracker) findCauses(now time.Time) map[string]bool {
	causes := map[string]bool{}
	explained := map[uint64]bool{}
	for {
		var part string
		var best suspicion
		for p, r := range t.records {
			s := r.suspicion(explained, now)
			if s.crashes >= minCrashes && !causes[p] && (part == "" || s.exceeds(best) || !best.exceeds(s) && p < part) {
				part, best = p, s
			}
		}
		if part == "" {
			return causes
		}
		causes[part] = true
		for key := range t.records[part].crashes {
			explained[key] = true
		}
	}
}

// suspicion says how much speaks for a part as the cause of crashes.
type suspicion struct {
	crashes  int // settled crashes that no other part explains
	begun    int // those of them at which a response with the part had begun
	position int // a later part is the more specific one
}

func (r *record) suspicion(explained map[uint64]bool, now time.Time) suspicion {
	s := suspicion{position: r.position}
	for key, c := range r.crashes {
		if c.alive || explained[key] || now.Sub(c.at) < settleTime {
			continue
		}
		s.crashes++
		if c.begun {
			s.begun++
		}
	}
	return s
}

// exceeds reports whether s speaks more strongly for its part than other for another one.
func (s suspicion) exceeds(other suspicion) bool {
	switch {
	case s.crashes != other.crashes:
		return s.crashes > other.crashes
	case s.begun != other.begun:
		return s.begun > other.begun
	default:
		return s.position > other.position
	}
}
