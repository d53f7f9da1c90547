package picker

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// minEjection and maxEjection bound the mean length of an ejection. During its
	// ejection, an endpoint gets requests only if all others are ejected or full.
	// The mean doubles with each incomplete response until a request succeeds.
	minEjection = 500 * time.Millisecond
	maxEjection = 4 * time.Second
	// minSilence is the time for which an endpoint must have sent nothing at all to count as silent,
	// and not as one that is silent on some requests only. A sound one may be silent for a second or
	// so; after maxSoundSilence it counts as failing.
	minSilence      = 140 * time.Millisecond
	maxSoundSilence = 2 * time.Second
	// failWeight is the weight of one new result in the failure ratio of an
	// endpoint, which is a moving average.
	failWeight = 0.15
	// failHalfLife is the time in which the failure ratio of an endpoint halves
	// without new results.
	failHalfLife = 4 * time.Second
)

// Result is the result of a request at the endpoint that was picked for it.
type Result int

const (
	// Succeeded means a complete response.
	Succeeded Result = iota
	// Failed means a response that reports a failure at the endpoint.
	Failed
	// Incomplete means no complete response: the connection failed or broke, or the
	// endpoint did not respond in time.
	Incomplete
	// Stalled means that the endpoint was silent for too long, while its connection stayed open.
	Stalled
	// Rejected means that the endpoint reported that it did not run the request, for
	// example because it is full.
	Rejected
	// Busy means that the endpoint turned the request away and said for how long it
	// wants no further ones. TurnAway records that time.
	Busy
	// Canceled means that the caller disconnected. This says nothing about the
	// endpoint.
	Canceled
)

// String returns "done" for Succeeded, "failed" for Failed, "broken" for Incomplete, "silent" for Stalled,
// "full" for Rejected, "busy" for Busy or "dropped" for Canceled.
func (r Result) String() string {
	return [...]string{"done", "failed", "broken", "silent", "full", "busy", "dropped"}[r]
}

// End stops counting the request as running at its endpoint and records its result.
// A result other than Canceled and Busy changes the endpoint's failure ratio, but for Stalled at an
// endpoint that sends nothing to anyone for a second or so, which is only avoided meanwhile. Incomplete
// and Rejected eject the endpoint, and Succeeded ends its ejection.
func (pk *Pick) End(r Result, now time.Time) {
	pk.picker.mu.Lock()
	defer pk.picker.mu.Unlock()
	pk.markPrefilled()
	s := pk.state
	s.running--
	switch r {
	case Succeeded:
		s.recordResult(0, now)
		s.incompletes, s.ejectedUntil = 0, time.Time{}
		s.noteRoom()
	case Failed:
		s.recordResult(1, now)
	case Stalled:
		if now.Sub(s.heardAt) < minSilence || now.Sub(s.heardAt) > maxSoundSilence {
			s.recordResult(1, now)
			s.eject(Incomplete, now)
			return
		}
		s.avoid(minEjection, now)
	case Incomplete, Rejected:
		s.recordResult(1, now)
		s.eject(r, now)
		if r == Rejected {
			pk.picker.noteRejection(s, now)
		}
	case Busy:
		pk.picker.noteRejection(s, now)
	case Canceled:
	}
}

// eject ejects the endpoint for a random time, from half to one and a half times a
// mean. After incomplete responses in succession, the mean doubles from minEjection
// to maxEjection. After a rejection it is always minEjection.
func (s *endpointState) eject(r Result, now time.Time) {
	d := minEjection
	if r == Incomplete {
		d = min(minEjection<<min(s.incompletes, 4), maxEjection)
		s.incompletes++
	}
	s.avoid(d, now)
}

// avoid ejects the endpoint for a random time, from half to one and a half times the mean d.
func (s *endpointState) avoid(d time.Duration, now time.Time) {
	s.ejectedUntil = now.Add(d/2 + rand.N(d))
}

// currentFailRatio returns the failure ratio of the endpoint at the time now, from 0
// to 1. The ratio halves with each failHalfLife since the last result.
func (s *endpointState) currentFailRatio(now time.Time) float64 {
	if s.failRatio == 0 {
		return 0
	}
	return s.failRatio * math.Exp2(-now.Sub(s.failRatioAt).Seconds()/failHalfLife.Seconds())
}

// recordResult adds a result to the failure ratio of the endpoint. The value of
// failed is 0 for a success and 1 for a failure.
func (s *endpointState) recordResult(failed float64, now time.Time) {
	s.failRatio = s.currentFailRatio(now)*(1-failWeight) + failed*failWeight
	s.failRatioAt = now
}
