package escrow

import (
	"sync"
	"time"
)

// unresponsiveTTL is how long a process that did not reply is skipped.
const unresponsiveTTL = 2 * time.Second

// unresponsive is the set of processes that recently did not reply. The zero
// value is ready to use.
type unresponsive struct {
	mu    sync.Mutex
	until map[string]time.Time
}

// add adds a process and reports whether it was not in the set.
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

func (u *unresponsive) has(process string, now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return now.Before(u.until[process])
}
