package place

import "time"

const (
	// prefillPerToken is the time that a model engine takes to prefill one prompt
	// token.
	prefillPerToken = 15 * time.Microsecond
	// costPerRunning is the delay that each running request adds for a new request at
	// a model engine.
	costPerRunning = 150 * time.Microsecond
	// crossZonePerKB is the cost of sending one kilobyte (1024 bytes) to an endpoint
	// in another zone. It is about the cost of prefilling 25 prompt tokens again.
	crossZonePerKB = 400 * time.Microsecond
	// minCrossZone is the cost of sending a request of any size to an endpoint in
	// another zone. The cost by size, crossZonePerKB, is added to it.
	minCrossZone = 6 * time.Millisecond
	// failureCost is the cost that a failure ratio of 1 adds to an endpoint. A lower
	// ratio adds proportionally less.
	failureCost = 2 * time.Second
	// fullCost is the cost that a plain endpoint has because of its load if all its
	// slots are in use. The cost is proportional to the fraction of its slots in
	// use.
	fullCost = 40 * time.Millisecond
	// warmUpCost is the cost that is added for an endpoint that is warming up.
	warmUpCost = 100 * time.Millisecond
)

// preferredCached is the fraction of a request's shared prompt tokens that the
// preferred endpoint is assumed to have cached. The reason is that other instances
// send requests with the same shared parts to that endpoint too.
const preferredCached = 0.9

// Request holds the properties of a request on which the cost of placing it depends.
type Request struct {
	PromptTokens int64 // 0 for plain services
	SharedTokens int64 // those of PromptTokens in parts that other requests are assumed to have too
	Bytes        int   // length of the request body, a measure of the traffic to another zone
}

// Candidate describes an endpoint as this instance knows it.
type Candidate struct {
	Slots        int     // requests that the endpoint runs concurrently, 0 for no limit
	Running      int     // this instance's requests at the endpoint
	QueuedTokens int64   // prompt tokens of this instance's requests at the endpoint that are not prefilled yet
	CachedTokens int64   // prompt tokens of this request that the engine has cached
	Preferred    bool    // all instances prefer this endpoint for requests with the same shared prompt parts
	FailRatio    float64 // moving average of failed requests, from 0 for no recent failures to 1
	CrossZone    bool    // the endpoint is in another zone than this instance
	WarmingUp    bool    // the endpoint started recently and is still slow
	Ejected      bool    // the endpoint failed recently; Best returns it only if all others are ejected or full
	Busy         bool    // the endpoint has turned a request away and wants none yet; it counts as full
}

// Cost returns the cost of placing a request at a candidate, expressed as a delay.
func Cost(r Request, c Candidate) time.Duration {
	d := time.Duration(c.FailRatio * float64(failureCost))
	if r.PromptTokens > 0 {
		cached := c.CachedTokens
		if c.Preferred {
			cached = max(cached, int64(preferredCached*float64(r.SharedTokens)))
		}
		d += time.Duration(c.QueuedTokens+max(r.PromptTokens-cached, 0)) * prefillPerToken
		d += time.Duration(c.Running) * costPerRunning
	} else if c.Slots > 0 {
		d += time.Duration(float64(fullCost) * float64(c.Running) / float64(c.Slots))
	}
	if c.CrossZone {
		d += minCrossZone + time.Duration(r.Bytes)*crossZonePerKB/1024
	}
	if c.WarmingUp {
		d += warmUpCost
	}
	return d
}

// Best returns the index of the candidate that has a free slot and the lowest cost,
// or -1 if none has a free slot. An ejected candidate is returned only if no other
// one has a free slot. The search begins at index start and continues from the first
// candidate after the last one. Of candidates with equal cost, the first one found
// is returned.
func Best(r Request, candidates []Candidate, start int) int {
	best, lowest := -1, time.Duration(0)
	for i := range candidates {
		index := (i + start) % len(candidates)
		c := candidates[index]
		if c.Busy || c.Slots > 0 && c.Running >= c.Slots {
			continue
		}
		d := Cost(r, c)
		switch {
		case best < 0, candidates[best].Ejected && !c.Ejected:
		case c.Ejected && !candidates[best].Ejected, d >= lowest:
			continue
		}
		best, lowest = index, d
	}
	return best
}
