package escrow

import (
	"sync"
	"time"
)

// unresponsiveTTL is how long a process that gave no answer is passed over.
const unresponsiveTTL = 2 * time.Second

// unresponsive are the processes that lately gave no answer. The zero value is ready.
type unresponsive struct {
	mu    sync.Mutex
	until map[string]time.Time
}

// add reports whether the process was not among them.
func (n *unresponsive) add(process string, now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.until == nil {
		n.until = map[string]time.Time{}
	}
	for p, t := range n.until {
		if now.After(t) {
			delete(n.until, p)
		}
	}
	_, known := n.until[process]
	n.until[process] = now.Add(unresponsiveTTL)
	return !known
}

func (n *unresponsive) has(process string, now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return now.Before(n.until[process])
}
