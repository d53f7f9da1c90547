package dedup

import (
	"slices"
	"sync"
	"time"

	"jacinthladder.dev/coord/subset"
)

// Attempt describes the attempt that one process makes at the request with a given
// key.
type Attempt struct {
	Key      string // identifies the request; its retries have the same key
	Digest   uint64 // hash of the request's content; tells a retry from another request with the same key
	Request  string // ID under which the request runs
	Process  string // ID of the process that makes the attempt and may bill it
	Endpoint string // URL of the endpoint where the attempt runs; empty until it runs
}

// Candidate is a process that may own request keys, with the zone that it runs in.
type Candidate struct {
	Process string
	Zone    string
}

// Owners returns the IDs of the processes that own a request key, which means that
// they store the attempt at the request in their registries. Members are the
// processes to choose from, in any order. The first owner is the first member of the
// key's rendezvous ranking. The second owner is the first member of the ranking that
// is in another zone than the first owner, if there is one. Without members, the
// result is nil.
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

// entry is an attempt in a registry, with the time at which it expires.
type entry struct {
	Attempt
	expiresAt time.Time
	ended     bool // no other process can take the attempt over
}

// Registry holds the attempts at the requests whose keys one process owns, at most
// one attempt for each key. The zero value is ready to use.
type Registry struct {
	mu        sync.Mutex
	entries   map[string]*entry // by request key
	lastSweep time.Time         // when expired attempts were last removed
}

// sweepInterval is the least time between two removals of expired attempts from a
// registry.
const sweepInterval = 10 * time.Second

// Register stores attempt a, which expires when ttl has passed. If the registry has
// an earlier attempt at the same key that has not expired, Register stores nothing.
// It returns the attempt that is then stored for the key: a or the earlier one.
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

// Find returns the attempt that is stored for a key and has not expired, and whether there
// is one.
func (r *Registry) Find(key string, now time.Time) (Attempt, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[key]
	if e == nil || !now.Before(e.expiresAt) {
		return Attempt{}, false
	}
	return e.Attempt, true
}

// SetEndpoint records the URL of the endpoint where a process runs its attempt at a
// key. It does nothing if the attempt no longer belongs to that process.
func (r *Registry) SetEndpoint(key, process, endpoint string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.entries[key]; e != nil && e.Process == process {
		e.Endpoint = endpoint
	}
}

// TakeOver assigns the attempt at a key to process to, if the attempt belongs to
// process from. It reports whether the attempt then belongs to process to. It
// returns false if the attempt has ended or the registry has no attempt at the key.
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

// End marks the attempt that process runs at a key as ended, so that no other process
// can take it over. It returns true if the attempt belongs to process, and false, without
// marking anything, if another process has taken the attempt over. If the registry has no
// attempt at the key, it returns true, because it knows of no takeover.
func (r *Registry) End(key, process string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[key]
	if e == nil {
		return true // a takeover is recorded only in a stored attempt, and none is stored
	}
	if e.Process != process {
		return false
	}
	e.ended = true
	return true
}

// Remove deletes the attempt of a process that did not run the request, so that
// another attempt at the key can be registered. It does nothing if the attempt
// belongs to another process.
func (r *Registry) Remove(key, process string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.entries[key]; e != nil && e.Process == process {
		delete(r.entries, key)
	}
}

// Len returns the number of stored attempts, including expired ones that are not
// removed yet.
func (r *Registry) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.entries)
}

// sweep removes the expired attempts. It does nothing if the last removal was less
// than sweepInterval ago. The caller holds the lock.
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
