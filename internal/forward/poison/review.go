package poison

import "time"

const (
	// minCrashes is the number of endpoints that must crash under a trait before it is
	// blocked.
	minCrashes = 3
	// reviewInterval is the longest time between two reviews while requests come, and
	// minReviewInterval the shortest.
	reviewInterval    = 100 * time.Millisecond
	minReviewInterval = 10 * time.Millisecond
)

// review forgets what is too old, and decides anew which traits are blocked. The caller holds
// t.mu.
func (t *Tracker) review(now time.Time) {
	if age := now.Sub(t.reviewedAt); age < minReviewInterval || !t.dirty && age < reviewInterval {
		return
	}
	t.dirty, t.reviewedAt = false, now
	t.prune(now)
	blocked := t.findCauses(now)
	for trait, r := range t.records {
		was := r.blocked
		r.blocked = blocked[trait]
		switch {
		case r.blocked && !was && t.Blocked != nil:
			t.Blocked(trait, len(r.crashes))
		case was && !r.blocked && t.Released != nil:
			t.Released(trait)
		}
	}
}

// prune forgets crashes, signs of life and records that are too old. It keeps the record of a
// trait that was blocked at the last request with it, at whichever instance that was. The
// caller holds t.mu.
func (t *Tracker) prune(now time.Time) {
	for key, at := range t.unsettled {
		if now.Sub(at) > settleTime {
			delete(t.unsettled, key)
		}
	}
	for trait, r := range t.records {
		if now.Sub(r.askedAt) < evidenceTTL {
			continue
		}
		for key, c := range r.crashes {
			if age := now.Sub(c.at); age > evidenceTTL || c.alive && age > soundTTL {
				delete(r.crashes, key)
			}
		}
		if len(r.crashes) == 0 && now.Sub(r.soundAt) >= soundTTL {
			t.remove(trait)
		}
	}
}

// findCauses returns the traits that explain the settled crashes. It takes the trait under
// which most endpoints have crashed, and then in the same way those that explain further
// crashes. Digests of requests with a prompt come after all others. The caller holds t.mu.
func (t *Tracker) findCauses(now time.Time) map[string]bool {
	candidates := map[string]*record{}
	for trait, r := range t.records {
		if len(r.crashes) >= minCrashes {
			candidates[trait] = r
		}
	}
	causes := map[string]bool{}
	explained := map[uint64]bool{}
	for {
		var cause string
		var best suspicion
		for trait, r := range candidates {
			s := r.suspicion(explained, now)
			if s.crashes >= minCrashes && (cause == "" || s.exceeds(best) || !best.exceeds(s) && trait < cause) {
				cause, best = trait, s
			}
		}
		if cause == "" {
			return causes
		}
		causes[cause] = true
		for key := range candidates[cause].crashes {
			explained[key] = true
		}
		delete(candidates, cause)
	}
}

// suspicion says how much speaks for a trait as the cause of crashes.
type suspicion struct {
	crashes int // settled crashes that no other trait explains
	begun   int // those of them at which a response to a request with the trait had begun
	rank    int // a trait of a higher rank is the more specific one
}

func (r *record) suspicion(explained map[uint64]bool, now time.Time) suspicion {
	s := suspicion{rank: r.rank}
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

// exceeds reports whether s speaks more strongly for its trait than other for another one.
func (s suspicion) exceeds(other suspicion) bool {
	switch {
	case (s.rank == digestRank) != (other.rank == digestRank):
		return s.rank > digestRank
	case s.crashes != other.crashes:
		return s.crashes > other.crashes
	case s.begun != other.begun:
		return s.begun > other.begun
	default:
		return s.rank > other.rank
	}
}
