package origin

import "time"

const (
	// settleTime is how long after an instance has noticed a new era of the platform it notes in the
	// list of versions that the list is complete again. Until then each instance adds what it
	// remembers.
	settleTime = time.Second
	// lateSettleTime is the same for an instance that remembers no list of an earlier era. It leaves
	// the others time to go first, and endpoints time to write their entries again.
	lateSettleTime = 3 * time.Second
)

// settling knows in which era of the platform the list of versions was last complete. When the platform
// comes back from an older copy of its content, versions may be missing from the list at which streams
// have begun. The zero value is ready to use.
type settling struct {
	known     bool      // the list has been complete in an era
	complete  int64     // the last such era, if known
	noticed   int64     // the latest era, if it is a later one
	noticedAt time.Time // when this instance has noticed it
}

// settled reports whether the list is complete in an era.
func (s *settling) settled(era int64) bool { return s.known && s.complete >= era }

// note records that the list was found or made complete in an era.
func (s *settling) note(era int64) {
	if !s.known || era > s.complete {
		s.known, s.complete = true, era
	}
}

// due reports whether this instance may note that the list is complete in a new era.
func (s *settling) due(era int64, now time.Time) bool {
	if s.noticedAt.IsZero() || s.noticed != era {
		s.noticed, s.noticedAt = era, now
	}
	wait := lateSettleTime
	if s.known {
		wait = settleTime
	}
	return now.Sub(s.noticedAt) >= wait
}

// era returns the platform's era, 0 on a platform that loses nothing.
func (r *Register) era() int64 {
	if r.Store.Era == nil {
		return 0
	}
	era, _ := r.Store.Era()
	return era
}

// settled reports whether the list of versions is complete in the platform's present era.
func (r *Register) settled() bool {
	era := r.era()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.settling.settled(era)
}

// noteStored records that the list was read or written with the given mark of completeness.
func (r *Register) noteStored(complete int64) {
	era := r.era()
	r.mu.Lock()
	defer r.mu.Unlock()
	if complete >= era {
		r.settling.note(complete)
	}
}

// eraToNote returns the era with which the list is written that was last complete in the given one.
func (r *Register) eraToNote(complete int64) int64 {
	era := r.era()
	r.mu.Lock()
	defer r.mu.Unlock()
	if era > complete && (r.settling.settled(era) || r.settling.due(era, time.Now())) {
		return era
	}
	return complete
}
