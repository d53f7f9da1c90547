package origin

import "time"

const (
	// maxHanded is the largest number of streams whose origins are handed to a peer at a time.
	maxHanded = 4096
	// handedTime is how long the origin of a peer's stream is remembered.
	handedTime = 30 * time.Second
)

// Unstored returns the origins that this instance could not store on the platform, none while it can.
// Peers that get them know them when this instance has ended, and store them with their own.
func (r *Register) Unstored() []Group {
	if !r.unstored.Load() {
		return nil
	}
	ambiguous := r.ambiguous(r.Listing())
	taken := 0
	return groupStreams(r.streams.current(time.Now(), func(e entry) bool {
		if e.handed || !ambiguous[e.Service] || taken == maxHanded {
			return false
		}
		taken++
		return true
	}))
}

// Keep remembers origins that a peer could not store.
func (r *Register) Keep(groups []Group) {
	now := time.Now()
	for _, g := range groups {
		g.each(func(id digest, o Origin) {
			r.streams.addHanded(id, entry{Origin: o, until: now.Add(handedTime), handed: true}, now)
		})
	}
}
