package picker

import (
	"math/rand/v2"
	"time"

	"jacinthladder.dev/internal/forward/meta"
)

const (
	// rejectionShare is the part of the rejections which a brittle endpoint bears that all instances
	// together cause.
	rejectionShare = 0.5
	// minRejectionPause and maxRejectionPause bound the mean time for which an instance sends nothing
	// to a brittle endpoint that has turned one of its requests away.
	minRejectionPause = 300 * time.Millisecond
	maxRejectionPause = 5 * time.Second
	// brittleTTL is how long an endpoint counts as brittle after it last said so.
	brittleTTL = 15 * time.Second
)

// brittleness is what an endpoint has said of the rejections that it bears, and how many requests it
// gets of this instance because of that. The zero value is an endpoint that is not brittle.
type brittleness struct {
	perSecond float64 // requests that the endpoint can turn away in a second without falling over
	toldAt    time.Time
	room      float64 // requests that it gets at a time, 0 before the first rejection
}

// holds reports whether the endpoint is brittle.
func (b brittleness) holds(now time.Time) bool {
	return !b.toldAt.IsZero() && now.Sub(b.toldAt) < brittleTTL
}

// NoteBrittle records what the response of the endpoint said of the rejections that it bears.
func (pk *Pick) NoteBrittle(limit meta.RateLimit, now time.Time) {
	pk.picker.mu.Lock()
	defer pk.picker.mu.Unlock()
	b := &pk.state.brittle
	if !limit.Named {
		*b = brittleness{}
		return
	}
	b.perSecond, b.toldAt = limit.PerSecond, now
}

// slotsOf returns the number of requests that an endpoint gets of this instance at a time, 0 for no
// limit. Of a brittle one the instance uses its part only, since what all instances send beyond
// its slots is turned away.
func (p *Picker) slotsOf(s *endpointState, now time.Time) int {
	if !s.brittle.holds(now) {
		return s.Slots
	}
	slots := s.Slots
	if n := p.instances(); n > 1 && slots > 0 {
		slots = (slots + n - 1) / n
	}
	if room := int(s.brittle.room); s.brittle.room > 0 && (slots == 0 || room < slots) {
		slots = max(room, 1)
	}
	return slots
}

// instances returns the number of live instances.
func (p *Picker) instances() int {
	if p.Instances == nil {
		return 1
	}
	return max(p.Instances(), 1)
}

// noteRejection halves what a brittle endpoint gets that has turned a request away, and sends it
// nothing for a time, so that all instances together stay below what it bears.
func (p *Picker) noteRejection(s *endpointState, now time.Time) {
	if !s.brittle.holds(now) {
		return
	}
	s.brittle.room = max(float64(s.running)/2, 1)
	pause := maxRejectionPause
	if s.brittle.perSecond > 0 {
		pause = time.Duration(float64(p.instances()) / (rejectionShare * s.brittle.perSecond) * float64(time.Second))
	}
	pause = min(max(pause, minRejectionPause), maxRejectionPause)
	if until := now.Add(pause/2 + rand.N(pause)); until.After(s.busyUntil) {
		s.busyUntil = until
	}
}

// noteRoom raises what a brittle endpoint gets after it has run a request.
func (s *endpointState) noteRoom() {
	if s.brittle.room > 0 {
		s.brittle.room += 1 / (4 * s.brittle.room)
	}
}
