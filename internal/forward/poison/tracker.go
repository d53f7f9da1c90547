package poison

import (
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// settleTime is the time after a crash in which a sign of life of the endpoint shows
	// that it was none. A crashed endpoint takes longer to be back.
	settleTime = time.Second
	// lifeDelay is the time after a crash in which what the endpoint sent before can still
	// be read.
	lifeDelay = 200 * time.Millisecond
	// evidenceTTL is how long a crash counts for a trait that is not blocked, and how long a
	// trait stays blocked after the last request with it.
	evidenceTTL = 10 * time.Minute
	// soundTTL is how long the tracker remembers that a trait was found to be sound.
	soundTTL = 30 * time.Second
	// minTrialDelay is the time from the last crash to the first trial. It grows by
	// trialDelayFactor with each trial, up to maxTrialDelay. An instance adds a random part
	// of the same length, so that two of them seldom make the same trial.
	minTrialDelay    = time.Minute
	maxTrialDelay    = 24 * time.Hour
	trialDelayFactor = 10
)

// Endpoint identifies one start of an endpoint.
type Endpoint struct {
	ID        string
	StartedAt int64
}

func (e Endpoint) key() uint64 {
	return xxhash.Sum64String(e.ID + "/" + strconv.FormatInt(e.StartedAt, 10))
}

// crash is an endpoint that crashed, as seen by requests with one trait.
type crash struct {
	at    time.Time // earliest known time
	begun bool      // a response to a request with the trait had begun
	alive bool      // the endpoint has shown a sign of life since
}

// record is what the tracker knows of one trait.
type record struct {
	account string           // whose request was the first that broke off
	crashes map[uint64]crash // by Endpoint.key
	rank    int              // largest rank of the trait
	soundAt time.Time        // when a request with the trait was last served
	askedAt time.Time        // when a request with the trait last came while it was blocked
	trials  int              // since the trait was last found to be sound
	trialAt time.Time        // of the last trial
	jitter  float64          // random part of the trial delay, from 0 to 1
	blocked bool
}

// Tracker records crashes and finds the traits to block. The zero value is ready to use. A
// nil Tracker records nothing and blocks nothing.
type Tracker struct {
	// Blocked, if set, is called when a trait becomes blocked after a number of crashes, and
	// Released when it is no longer.
	Blocked  func(trait string, crashes int)
	Released func(trait string)
	// News, if set, is called when there is news for the peers. It must not call the tracker.
	News func()
	// Random returns the random part of the delay of trials, from 0 to 1. If it is nil, that is
	// a random number.
	Random func() float64

	size atomic.Int64 // number of records, so that calls without any cost little

	mu         sync.Mutex
	records    map[string]*record   // by name of the trait
	perAccount map[string]int       // number of records of each account
	unsettled  map[uint64]time.Time // time of each crash that has not settled, by Endpoint.key
	dirty      bool                 // records have changed since the last review
	reviewedAt time.Time
}

// notify records that the records have changed, and calls News. The caller holds t.mu.
func (t *Tracker) notify() {
	t.dirty = true
	if t.News != nil {
		t.News()
	}
}

// Crash records that an endpoint broke off a request of an account with the given traits, as it
// does when it crashes. Begun reports whether the response had begun.
func (t *Tracker) Crash(e Endpoint, account string, traits []Trait, begun bool, now time.Time) {
	if t == nil || len(traits) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, trait := range traits {
		r := t.recordOf(trait.name, account)
		r.rank = max(r.rank, trait.rank)
		t.add(r, e.key(), crash{at: now, begun: begun})
	}
	t.notify()
}

// add adds a crash to a record, or merges it with what the record has of the same endpoint. A
// crash before the trait was last found to be sound is left out. It reports whether the
// record changed. The caller holds t.mu.
func (t *Tracker) add(r *record, key uint64, c crash) bool {
	old, known := r.crashes[key]
	if known {
		if old.at.Before(c.at) {
			c.at = old.at
		}
		c.begun, c.alive = c.begun || old.begun, c.alive || old.alive
	}
	if !c.at.After(r.soundAt) || !known && len(r.crashes) >= maxCrashes {
		return false
	}
	r.crashes[key] = c
	if t.unsettled == nil {
		t.unsettled = map[uint64]time.Time{}
	}
	if at, ok := t.unsettled[key]; !c.alive && (!ok || c.at.Before(at)) {
		t.unsettled[key] = c.at
	}
	return !known || c.begun != old.begun || c.alive != old.alive
}

// Sound records that a request with the given traits was served, so that none of them
// crashes endpoints. Of a trait that had a single crash, peers hear with the next heartbeat.
func (t *Tracker) Sound(traits []Trait, now time.Time) {
	if t == nil || t.size.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, trait := range traits {
		r := t.records[trait.name]
		if r == nil {
			continue
		}
		suspected := len(r.crashes) > 1
		if t.clear(r, now) {
			t.dirty = true
			if suspected {
				t.notify()
			}
		}
	}
}

// clear records that a trait was found to be sound at a time, and reports whether that was
// news for a record with crashes. The caller holds t.mu.
func (t *Tracker) clear(r *record, at time.Time) bool {
	if !at.After(r.soundAt) {
		return false
	}
	r.soundAt = at
	cleared := false
	for key, c := range r.crashes {
		if !c.at.After(at) {
			delete(r.crashes, key)
			cleared = true
		}
	}
	if cleared {
		r.trials, r.trialAt = 0, time.Time{}
	}
	return cleared
}

// Alive records a sign of life of an endpoint, which shows that it did not crash.
func (t *Tracker) Alive(e Endpoint, now time.Time) {
	if t == nil || t.size.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	key := e.key()
	at, ok := t.unsettled[key]
	if !ok || now.Sub(at) < lifeDelay {
		return
	}
	delete(t.unsettled, key)
	if now.Sub(at) > settleTime {
		return
	}
	for _, r := range t.records {
		if c, ok := r.crashes[key]; ok {
			c.alive = true
			r.crashes[key] = c
		}
	}
	t.notify()
}

// Empty reports whether the tracker has no records, so that Check finds nothing.
func (t *Tracker) Empty() bool { return t == nil || t.size.Load() == 0 }

// Check returns the trait that is blocked, if there is one among those of a request, and the
// time until its next trial. If a trial is due, the request is it, and the trait counts as not
// blocked.
func (t *Tracker) Check(traits []Trait, now time.Time) (blocked Trait, wait time.Duration) {
	if t.Empty() {
		return Trait{}, 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.review(now)
	var due []*record
	for _, trait := range traits {
		r := t.records[trait.name]
		if r == nil {
			continue
		}
		left := r.suspended(now)
		if r.blocked {
			r.askedAt = now
			if left = r.trialDue().Sub(now); left <= 0 {
				due = append(due, r)
			}
		}
		if left > wait {
			blocked, wait = trait, left
		}
	}
	if wait > 0 {
		return blocked, wait
	}
	for _, r := range due {
		r.trials++
		r.trialAt = now
		t.notify()
	}
	return Trait{}, 0
}

// suspended returns the time for which a request is held back that was sent before: until it
// is known whether the endpoints crashed that broke it off.
func (r *record) suspended(now time.Time) time.Duration {
	if r.rank < requestRank || len(r.crashes) < minCrashes {
		return 0
	}
	dead, left := 0, time.Duration(0)
	for _, c := range r.crashes {
		if !c.alive {
			dead++
			left = max(left, settleTime-now.Sub(c.at))
		}
	}
	if dead < minCrashes {
		return 0
	}
	return left
}

// trialDue returns the time of the next trial of a blocked trait.
func (r *record) trialDue() time.Time {
	delay := minTrialDelay
	for range r.trials {
		delay = min(delay*trialDelayFactor, maxTrialDelay)
	}
	last := r.trialAt
	for _, c := range r.crashes {
		if c.at.After(last) {
			last = c.at
		}
	}
	return last.Add(delay + time.Duration(r.jitter*float64(delay)))
}
