package place

import "time"

const (
	// readTime is how long an engine takes to read one prompt token.
	readTime = 15 * time.Microsecond
	// stepTime is by how much one running request slows the others at an engine.
	stepTime = 150 * time.Microsecond
	// farTime is what sending one kilobyte to another zone weighs: about the price
	// of reading 25 prompt tokens again.
	farTime = 400 * time.Microsecond
	// farLeast is what leaving the zone weighs whatever the size.
	farLeast = 6 * time.Millisecond
	// failTime is what a share of failures of 1 weighs.
	failTime = 2 * time.Second
	// fillTime is what a plain endpoint that is full weighs.
	fillTime = 40 * time.Millisecond
	// coldTime is what an endpoint that has just started weighs.
	coldTime = 100 * time.Millisecond
)

// homeShare is the part of the shared prompt that the home of these parts is taken
// to have, as other instances send there too.
const homeShare = 0.9

// Request is what a request asks of an endpoint.
type Request struct {
	PromptTokens int64 // tokens to read, 0 for plain services
	SharedTokens int64 // those of them in parts that other requests have too
	Bytes        int   // that go to the endpoint and back, roughly
}

// Candidate is an endpoint as this instance knows it.
type Candidate struct {
	Slots        int
	Running      int   // requests of this instance
	QueuedTokens int64 // prompt tokens of this instance's requests yet to be read
	CachedTokens int64 // prompt tokens of this request that the engine still has
	Preferred    bool  // where all instances send prompts with these shared parts
	FailRatio    float64
	CrossZone    bool // in another zone
	WarmingUp    bool // started not long ago
	Ejected      bool // failed so lately that it gets nothing if others can
}

// Cost returns what a candidate weighs for a need; the least is best.
func Cost(n Request, c Candidate) time.Duration {
	d := time.Duration(c.FailRatio * float64(failTime))
	if n.PromptTokens > 0 {
		cached := c.CachedTokens
		if c.Preferred {
			cached = max(cached, int64(homeShare*float64(n.SharedTokens)))
		}
		d += time.Duration(c.QueuedTokens+max(n.PromptTokens-cached, 0)) * readTime
		d += time.Duration(c.Running) * stepTime
	} else if c.Slots > 0 {
		d += time.Duration(float64(fillTime) * float64(c.Running) / float64(c.Slots))
	}
	if c.CrossZone {
		d += farLeast + time.Duration(n.Bytes)*farTime/1024
	}
	if c.WarmingUp {
		d += coldTime
	}
	return d
}

// Best returns the index of the best candidate, -1 if there is none. An
// ejected one is taken only where there is no other. Start is where ties begin
// to be looked at.
func Best(n Request, all []Candidate, start int) int {
	best, least := -1, time.Duration(0)
	for i := range all {
		at := (i + start) % len(all)
		c := all[at]
		if c.Slots > 0 && c.Running >= c.Slots {
			continue
		}
		d := Cost(n, c)
		switch {
		case best < 0, all[best].Ejected && !c.Ejected:
		case c.Ejected && !all[best].Ejected, d >= least:
			continue
		}
		best, least = at, d
	}
	return best
}
