package escrow

import (
	"sync"
	"time"
)

// unresponsiveTTL is how long a home that did not reply is skipped when the
// home of a budget is chosen.
const unresponsiveTTL = 2 * time.Second

// unresponsive is the set of processes that did not reply within the last
// unresponsiveTTL. The zero value is ready to use.
type unresponsive struct {
	mu    sync.Mutex
	until map[string]time.Time // when the process leaves the set, by process ID
}

// add adds a process to the set for unresponsiveTTL from now, and reports
// whether it was not in the set before.
func (u *unresponsive) add(process string, now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.until == nil {
		u.until = map[string]time.Time{}
	}
	for p, t := range u.until {
		if now.After(t) {
			delete(u.until, p)
		}
	}
	_, known := u.until[process]
	u.until[process] = now.Add(unresponsiveTTL)
	return !known
}

// has reports whether a process is in the set at the time now.
func (u *unresponsive) has(process string, now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return now.Before(u.until[process])
}
