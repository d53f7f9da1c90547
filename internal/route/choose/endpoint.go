package choose

import (
	"time"

	"jacinthladder.dev/internal/conf/spec"
)

const (
	// failLimit is how many failures in a row eject an endpoint.
	failLimit = 3
	// minEject and maxEject bound an ejection; it doubles from one to the other.
	minEject = time.Second
	maxEject = 30 * time.Second
	// LeaveTTL is how long word that an endpoint leaves is believed.
	LeaveTTL = time.Minute
	// doubtTime is after how long an endpoint's own report that it is not leaving
	// counts for more than earlier news; until then the report may be old.
	doubtTime = 5 * time.Second
	// reportLife is the age from which a load report counts for less, down to
	// nothing at twice that age.
	reportLife = 3 * time.Second
	// slowFactor is how many times the usual time a slow endpoint takes.
	slowFactor = 1.75
	// smooth is the weight of a new measurement in a moving average.
	smooth = 0.1
)

// endpoint is what the board knows of one back end.
type endpoint struct {
	spec.Endpoint
	open     int // by this instance
	fails    int
	ejects   int
	until    time.Time  // ejected until
	trial    bool       // a half-open request is under way
	leaving  time.Time  // leaving, as far as known, until
	leftAt   time.Time  // when it was first said to be leaving
	others   float64    // open by other instances, moving average of the reports
	fleet    func() int // other instances; nil for none
	reported time.Time
	busy     time.Duration // moving average of a request's time
}

// hear takes in a report of the requests that others have open.
func (e *endpoint) hear(others int, now time.Time) {
	if now.Sub(e.reported) > 2*reportLife {
		e.others = float64(others)
	}
	e.others += (float64(others) - e.others) / 2
	e.reported = now
}

// load estimates the open requests of the whole fleet: those of this instance
// and, for the others, the mean of what the last reports say and of what this
// instance has times their number. Reports are older than most requests, and
// instances that follow the same prefixes have much the same open.
func (e *endpoint) load(now time.Time) float64 {
	age := now.Sub(e.reported)
	fresh := min(max(2-float64(age)/float64(reportLife), 0), 1)
	guess := 0.0
	if e.fleet != nil {
		guess = float64(e.open * e.fleet())
	}
	return float64(e.open) + (e.others*fresh+guess)/2
}

// ratio is the load for each slot.
func (e *endpoint) ratio(now time.Time) float64 { return e.load(now) / float64(e.Slots()) }

// cost is the load ratio, higher for an endpoint that takes longer than usual.
func (e *endpoint) cost(usual time.Duration, now time.Time) float64 {
	if usual == 0 || e.busy <= usual {
		return e.ratio(now)
	}
	return (e.ratio(now) + 1/float64(e.Slots())) * float64(e.busy) / float64(usual)
}

// slow reports whether the endpoint takes much longer than usual.
func (e *endpoint) slow(usual time.Duration) bool {
	return usual > 0 && float64(e.busy) > slowFactor*float64(usual)
}

// wait predicts how long a new request would queue.
func (e *endpoint) wait(now time.Time) time.Duration {
	ahead := e.load(now) + 1 - float64(e.Slots())
	if ahead <= 0 {
		return 0
	}
	return time.Duration(ahead / float64(e.Slots()) * float64(e.busy))
}

// usable reports whether the endpoint may get a request. An ejection that is
// over lets one request through at a time until one succeeds.
func (e *endpoint) usable(now time.Time) bool {
	if now.Before(e.leaving) || now.Before(e.until) {
		return false
	}
	return e.ejects == 0 || !e.trial
}

func (e *endpoint) succeed(took time.Duration) {
	e.fails, e.ejects = 0, 0
	if e.busy == 0 {
		e.busy = took
	}
	e.busy += time.Duration(smooth * float64(took-e.busy))
}

// fail counts a failure and reports whether it ejected the endpoint.
func (e *endpoint) fail(now time.Time) bool {
	e.fails++
	if e.fails < failLimit && e.ejects == 0 {
		return false
	}
	e.until = now.Add(min(minEject<<min(e.ejects, 10), maxEject))
	e.ejects++
	e.fails = 0
	return true
}
