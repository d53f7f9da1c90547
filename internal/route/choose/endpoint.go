package choose

import (
	"time"

	"jacinthladder.dev/internal/conf/spec"
)

const (
	// failureThreshold is the number of consecutive failures after which an endpoint
	// is ejected.
	failureThreshold = 3
	// minEjection and maxEjection bound the length of an ejection. During its
	// ejection, an endpoint gets no requests unless it is the last resort. The
	// length doubles with each ejection until a request succeeds.
	minEjection = time.Second
	maxEjection = 30 * time.Second
	// LeaveTTL is how long a notice that an endpoint is leaving stays valid, unless
	// it is repeated.
	LeaveTTL = time.Minute
	// maxReportDelay is the largest time by which a load report may be older than a
	// leave notice that came before it. For this time after the first notice, a
	// report that the endpoint is not leaving does not end the notice.
	maxReportDelay = 5 * time.Second
	// fullWeightAge is the age up to which a load report has its full weight in the
	// estimate of the load. Its weight then falls linearly to zero at twice that age.
	fullWeightAge = 3 * time.Second
	// slowFactor is the multiple of the median request time of all candidates above
	// which the mean request time of an endpoint counts as slow.
	slowFactor = 1.75
	// smoothing is the weight of a new request time in the moving average of the
	// request times of an endpoint.
	smoothing = 0.1
)

// endpoint holds the entry of an endpoint in the document of its service, and the
// observations of the picker at the endpoint.
type endpoint struct {
	spec.Endpoint
	inFlight     int           // open requests of this instance
	failures     int           // failures in succession since the last success or ejection
	ejections    int           // ejections since the last success
	ejectedUntil time.Time     // end of the ejection
	probing      bool          // a probe after an ejection is in flight
	leavingUntil time.Time     // the endpoint gets no requests before this time; set by leave notices
	leavingSince time.Time     // time of the first of the uninterrupted leave notices
	peerLoad     float64       // moving average of the open requests of other instances, from load reports
	peers        func() int    // returns the number of other instances; nil for none
	reportedAt   time.Time     // time of the last load report
	meanTime     time.Duration // moving average of the times of successful requests, 0 before the first
}

// applyReport adds the reported number of open requests of other instances, open, to
// their moving average. If the previous report is too old to count, the average
// starts anew with this number.
func (e *endpoint) applyReport(open int, now time.Time) {
	if now.Sub(e.reportedAt) > 2*fullWeightAge {
		e.peerLoad = float64(open)
	}
	e.peerLoad += (float64(open) - e.peerLoad) / 2
	e.reportedAt = now
}

// load estimates the number of open requests of all instances at the endpoint. This
// instance's own requests are counted exactly. For those of the other instances, it
// takes the mean of two estimates. The first one is their moving average from the
// load reports, weighted by the age of the last report. The second one is this
// instance's number of open requests times the number of other instances. It is used
// because reports are older than most open requests, and because instances that send
// the same prefixes to the same endpoints have about as many requests open there.
func (e *endpoint) load(now time.Time) float64 {
	age := now.Sub(e.reportedAt)
	weight := min(max(2-float64(age)/float64(fullWeightAge), 0), 1)
	estimate := 0.0
	if e.peers != nil {
		estimate = float64(e.inFlight * e.peers())
	}
	return float64(e.inFlight) + (e.peerLoad*weight+estimate)/2
}

// ratio returns the load per slot of the endpoint: the estimated number of open
// requests of all instances divided by the number of slots.
func (e *endpoint) ratio(now time.Time) float64 { return e.load(now) / float64(e.Slots()) }

// cost returns the cost of a new request at the endpoint, in load per slot. Median
// is the median of the candidates' mean request times, 0 if unknown. If the
// endpoint's mean request time does not exceed the median, the cost is the load per
// slot. Otherwise, the load per slot, including the new request, is multiplied by
// the ratio of the mean to the median. The new request is included so that a slow
// endpoint without load has a cost too.
func (e *endpoint) cost(median time.Duration, now time.Time) float64 {
	if median == 0 || e.meanTime <= median {
		return e.ratio(now)
	}
	return (e.ratio(now) + 1/float64(e.Slots())) * float64(e.meanTime) / float64(median)
}

// slow reports whether the endpoint's mean request time exceeds slowFactor times the
// median of the candidates' mean request times.
func (e *endpoint) slow(median time.Duration) bool {
	return median > 0 && float64(e.meanTime) > slowFactor*float64(median)
}

// queueTime estimates how long a new request would wait at the endpoint for a free
// slot, from the load and the mean request time.
func (e *endpoint) queueTime(now time.Time) time.Duration {
	ahead := e.load(now) + 1 - float64(e.Slots())
	if ahead <= 0 {
		return 0
	}
	return time.Duration(ahead / float64(e.Slots()) * float64(e.meanTime))
}

// usable reports whether the endpoint may get a request. It may not while it is
// leaving or ejected. After an ejection, it gets only one request at a time, as a
// probe, until one succeeds.
func (e *endpoint) usable(now time.Time) bool {
	if now.Before(e.leavingUntil) || now.Before(e.ejectedUntil) {
		return false
	}
	return e.ejections == 0 || !e.probing
}

// recordSuccess sets the counts of failures and ejections to 0 and adds the time of
// a successful request to the moving average of request times.
func (e *endpoint) recordSuccess(took time.Duration) {
	e.failures, e.ejections = 0, 0
	if e.meanTime == 0 {
		e.meanTime = took
	}
	e.meanTime += time.Duration(smoothing * float64(took-e.meanTime))
}

// recordFailure counts a failure and reports whether it ejects the endpoint. The
// first ejection takes failureThreshold consecutive failures. After it, each failure
// ejects the endpoint again until a request succeeds.
func (e *endpoint) recordFailure(now time.Time) bool {
	e.failures++
	if e.failures < failureThreshold && e.ejections == 0 {
		return false
	}
	e.ejectedUntil = now.Add(min(minEjection<<min(e.ejections, 10), maxEjection))
	e.ejections++
	e.failures = 0
	return true
}
