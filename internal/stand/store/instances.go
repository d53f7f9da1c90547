package store

import (
	"time"

	"jacinthladder.dev/internal/plat/roster"
)

// listing is the instance list as it stood from a moment on.
type listing struct {
	since   time.Time
	entries []roster.Entry
}

// maxListings bounds the past lists that are kept.
const maxListings = 1024

// Enlist adds an instance to the list or changes its entry.
func (p *Platform) Enlist(e roster.Entry) {
	p.relist(e.Name, &e)
}

// Delist takes an instance off the list.
func (p *Platform) Delist(name string) {
	p.relist(name, nil)
}

func (p *Platform) relist(name string, e *roster.Entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var next []roster.Entry
	if n := len(p.listings); n > 0 {
		for _, old := range p.listings[n-1].entries {
			if old.Name != name {
				next = append(next, old)
			}
		}
	}
	if e != nil {
		next = append(next, *e)
	}
	p.listings = append(p.listings, listing{since: time.Now(), entries: next})
	if len(p.listings) > maxListings {
		p.listings = p.listings[1:]
	}
}

// Instances returns the list as it stood before the present lag.
func (p *Platform) Instances() []roster.Entry {
	p.mu.Lock()
	defer p.mu.Unlock()
	moment := time.Now().Add(-p.faults.Lag)
	for i := len(p.listings) - 1; i >= 0; i-- {
		if !p.listings[i].since.After(moment) {
			return p.listings[i].entries
		}
	}
	return nil
}
