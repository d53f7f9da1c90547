package origin

import (
	"slices"
	"time"
)

const (
	// maxHanded is the largest number of streams whose origins are handed to a peer at a time.
	maxHanded = 4096
	// handedTime is how long the origin of a peer's stream is remembered.
	handedTime = 30 * time.Second
)

// Group holds streams that began at one origin.
type Group struct {
	Origin
	IDs []byte // digests of the IDs of the requests that began them, one after the other
}

// Unstored returns the origins that this instance could not store on the platform, none while it can.
// Peers that get them know them when this instance has ended, and store them with their own.
func (r *Register) Unstored() []Group {
	if !r.unstored.Load() {
		return nil
	}
	ambiguous := r.ambiguous(r.Listing())
	ids := map[Origin][]byte{}
	left := maxHanded
	for id, o := range r.streams.own(time.Now()) {
		if ambiguous[o.Service] && left > 0 {
			ids[o] = append(ids[o], id[:]...)
			left--
		}
	}
	var groups []Group
	for o, list := range ids {
		groups = append(groups, Group{Origin: o, IDs: list})
	}
	return groups
}

// Keep remembers origins that a peer could not store.
func (r *Register) Keep(groups []Group) {
	now := time.Now()
	for _, g := range groups {
		for id := range slices.Chunk(g.IDs, digestBytes) {
			if len(id) == digestBytes {
				r.streams.addHanded(digest(id), entry{Origin: g.Origin, until: now.Add(handedTime), handed: true}, now)
			}
		}
	}
}
