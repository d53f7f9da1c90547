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
	Digest   uint64 // hash of the request's content
	Request  string // request ID
	Process  string // ID of the process that makes the attempt and may bill it
	Endpoint string // URL of the endpoint where the attempt runs; empty until it runs
}

// Candidate is a member that may own keys.
type Candidate struct {
	Process string
	Zone    string
}

// Owners returns the processes that keep the entry for a key: the first of the
// ranking and, if there is one, the first in another zone.
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
	remote := slices.IndexFunc(ranked, func(p string) bool { return zones[p] != zones[owners[0]] })
	if remote > 0 {
		owners = append(owners, ranked[remote])
	}
	return owners
}

// entry is an attempt and the time at which it expires.
type entry struct {
	Attempt
	expiresAt time.Time
	ended     bool
}

// Registry keeps the attempts at the keys that its process owns. The zero value
// is ready to use.
type Registry struct {
	mu        sync.Mutex
	entries   map[string]*entry
	lastSweep time.Time
}

// sweepInterval is the least time between two removals of expired entries.
const sweepInterval = 10 * time.Second

// Register stores an attempt for ttl unless its key already has one that has not
// expired. It returns the stored attempt.
func (r *Registry) Register(a Attempt, now time.Time, ttl time.Duration) Attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sweep(now)
	if e := r.entries[a.Key]; e != nil && now.Before(e.expiresAt) {
		return e.Attempt
	}
	if r.entries == nil {
		r.entries = map[string]*entry{}
	}
	r.entries[a.Key] = &entry{Attempt: a, expiresAt: now.Add(ttl)}
	return a
}

// SetEndpoint records the endpoint where a process's attempt runs.
func (r *Registry) SetEndpoint(key, process, endpoint string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.entries[key]; e != nil && e.Process == process {
		e.Endpoint = endpoint
	}
}

// TakeOver moves an attempt from one process to another and reports whether the
// other process has it now. An attempt that has ended isn't moved.
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

// End marks a process's attempt as ended, so that no other process can take it
// over. It reports whether the attempt still belonged to the process.
func (r *Registry) End(key, process string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[key]
	if e == nil {
		return true // the entry is gone, so no process has taken the attempt over
	}
	if e.Process != process {
		return false
	}
	e.ended = true
	return true
}

// Remove deletes a process's attempt that did not run.
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
	if now.Sub(r.lastSweep) < sweepInterval {
		return
	}
	r.lastSweep = now
	for k, e := range r.entries {
		if now.After(e.expiresAt) {
			delete(r.entries, k)
		}
	}
}
