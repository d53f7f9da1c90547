package escrow

import (
	"sync"
	"time"
)

// shunTime is how long a process that gave no answer is passed over.
const shunTime = 2 * time.Second

// shunned are the processes that lately gave no answer. The zero value is ready.
type shunned struct {
	mu    sync.Mutex
	until map[string]time.Time
}

// add reports whether the process was not among them.
func (n *shunned) add(process string, now time.Time) bool {
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
	n.until[process] = now.Add(shunTime)
	return !known
}

func (n *shunned) has(process string, now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return now.Before(n.until[process])
}
