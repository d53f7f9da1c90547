package store

import (
	"time"

	"jacinthladder.dev/internal/plat/roster"
)

// listSnapshot is the instance list as it was from validFrom until the next change.
type listSnapshot struct {
	validFrom time.Time
	entries   []roster.Entry
}

// maxListSnapshots is the number of snapshots of the instance list that are kept for
// Faults.ListDelay; older ones are dropped.
const maxListSnapshots = 1024

// PutInstance adds an instance to the instance list, or replaces its entry.
func (p *Platform) PutInstance(e roster.Entry) {
	p.updateList(e.Name, &e)
}

// DeleteInstance removes an instance from the instance list, if the list has it.
func (p *Platform) DeleteInstance(name string) {
	p.updateList(name, nil)
}

// updateList adds a snapshot of the instance list in which the entry of one instance
// is replaced by e, or removed if e is nil.
func (p *Platform) updateList(name string, e *roster.Entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var entries []roster.Entry
	if n := len(p.lists); n > 0 {
		for _, old := range p.lists[n-1].entries {
			if old.Name != name {
				entries = append(entries, old)
			}
		}
	}
	if e != nil {
		entries = append(entries, *e)
	}
	p.lists = append(p.lists, listSnapshot{validFrom: time.Now(), entries: entries})
	if len(p.lists) > maxListSnapshots {
		p.lists = p.lists[1:]
	}
}

// Instances returns the instance list as it was Faults.ListDelay ago, or nil if no
// kept snapshot is that old.
func (p *Platform) Instances() []roster.Entry {
	p.mu.Lock()
	defer p.mu.Unlock()
	asOf := time.Now().Add(-p.faults.ListDelay)
	for i := len(p.lists) - 1; i >= 0; i-- {
		if !p.lists[i].validFrom.After(asOf) {
			return p.lists[i].entries
		}
	}
	return nil
}
