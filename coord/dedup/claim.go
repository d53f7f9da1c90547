package dedup

import (
	"slices"
	"sync"
	"time"

	"jacinthladder.dev/coord/subset"
)

// Attempt is one process's attempt at a request key.
type Attempt struct {
	Key      string
	Digest   uint64 // hash of what was asked
	Request  string // request ID
	Process  string // process ID of who makes it, and may bill
	Endpoint string // where it runs, empty until it does
}

// Candidate is a member that may keep entries.
type Candidate struct {
	Process string
	Zone    string
}

// Owners returns the processes that keep the entry for a key: the first of the
// ranking, and the first that is in another zone, if there is one.
func Owners(key string, members []Candidate) []string {
	names := make([]string, len(members))
	zones := make(map[string]string, len(members))
	for i, m := range members {
		names[i], zones[m.Process] = m.Process, m.Zone
	}
	ranked := subset.Rank(key, names)
	if len(ranked) == 0 {
		return nil
	}
	owners := ranked[:1:1]
	far := slices.IndexFunc(ranked, func(p string) bool { return zones[p] != zones[owners[0]] })
	if far > 0 {
		owners = append(owners, ranked[far])
	}
	return owners
}

// entry is an attempt and how long it is remembered.
type entry struct {
	Attempt
	until time.Time
	ended bool
}

// Registry keeps the attempts at the keys that its process owns. The zero value
// is ready.
type Registry struct {
	mu      sync.Mutex
	entries map[string]*entry
	swept   time.Time
}

// sweepInterval is how often entries whose time is over are dropped.
const sweepInterval = 10 * time.Second

// Register enters an attempt for so long, unless there is one for its key, and
// returns the one that is entered.
func (r *Registry) Register(a Attempt, now time.Time, keep time.Duration) Attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sweep(now)
	if e := r.entries[a.Key]; e != nil && now.Before(e.until) {
		return e.Attempt
	}
	if r.entries == nil {
		r.entries = map[string]*entry{}
	}
	r.entries[a.Key] = &entry{Attempt: a, until: now.Add(keep)}
	return a
}

// SetEndpoint notes where a process's attempt runs.
func (r *Registry) SetEndpoint(key, process, place string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.entries[key]; e != nil && e.Process == process {
		e.Endpoint = place
	}
}

// TakeOver hands an attempt from one process to another, and reports whether the
// other has it now. One that has ended stays where it is.
func (r *Registry) TakeOver(key, from, to string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[key]
	if e == nil || e.ended {
		return false
	}
	if e.Process == from {
		e.Process = to
	}
	return e.Process == to
}

// End ends a process's attempt, and reports whether it was still its own. From
// then on nobody can take it.
func (r *Registry) End(key, process string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[key]
	if e == nil {
		return true // forgotten, so nobody took it
	}
	if e.Process != process {
		return false
	}
	e.ended = true
	return true
}

// Remove forgets a process's attempt that did not run.
func (r *Registry) Remove(key, process string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.entries[key]; e != nil && e.Process == process {
		delete(r.entries, key)
	}
}

// Len returns the number of entries.
func (r *Registry) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.entries)
}

func (r *Registry) sweep(now time.Time) {
	if now.Sub(r.swept) < sweepInterval {
		return
	}
	r.swept = now
	for k, e := range r.entries {
		if now.After(e.until) {
			delete(r.entries, k)
		}
	}
}
