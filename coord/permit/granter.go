package permit

import (
	"context"
	"errors"
	"sync"
	"time"
)

const (
	// askTimeout bounds the time that a process waits for the reply of another one.
	askTimeout = 150 * time.Millisecond
	// relayTimeout bounds it for a question that is relayed, while the first process waits.
	relayTimeout = 70 * time.Millisecond
	// takeOverTime is how long a process must have failed to reply before another one grants
	// permits in its place. One that replies late, because it is overloaded, still grants.
	takeOverTime = time.Second
	// failureTTL is how long a failure to reply counts.
	failureTTL = 3 * time.Second
	// silentTime is how long a process that did not reply for takeOverTime is not asked again.
	silentTime = time.Second
	// maxSilent is the number of better ranked processes without a reply after which a
	// process grants a permit itself.
	maxSilent = 2
	// lateWait is the time after which a process is asked again that did not reply.
	lateWait = 100 * time.Millisecond
	// minWait is the time after which a request that has ended may be tried again.
	minWait = 20 * time.Millisecond
)

// ErrGone is the error of a question to a process that has surely ended, so that another one may
// grant permits in its place at once.
var ErrGone = errors.New("permit: the process has ended")

// Ask is a question for one permit.
type Ask struct {
	Key     string
	Rate    float64 // permits per second, for all processes together
	Relayed bool    // the receiver must not relay the question again
}

// Fleet holds the functions through which a Granter knows and calls the other processes.
type Fleet struct {
	// Granters returns the processes that may grant permits for a key, this one included,
	// in the order of their rank. A few are enough.
	Granters func(key string) []string
	// Count returns the number of live processes, this one included, and of those with
	// the ones that are missing.
	Count func() (live, known int)
	// Ask asks another process for a permit and returns the time until there is one, 0 if
	// it is granted. The error is ErrGone if the process has surely ended.
	Ask func(ctx context.Context, process string, a Ask) (time.Duration, error)
}

// Granter gets permits for this process, and grants them for the keys of which it is the
// granter. Set the exported fields before use.
type Granter struct {
	Process string // ID of this process
	Fleet   Fleet

	mu       sync.Mutex
	buckets  map[string]*bucket  // by key
	failures map[string]*failure // by process, of those that did not reply
}

// failure says since when a process has not replied.
type failure struct {
	since, last time.Time // first and last question without a reply
	silentUntil time.Time // until when the process is not asked
}

// Acquire gets a permit for one request with a key, of which all processes together may send
// rate requests per second. It returns 0 if it got one, and otherwise the time after which
// it is worth to ask again. If no other process replies, the permit comes from this one.
func (g *Granter) Acquire(ctx context.Context, key string, rate float64) time.Duration {
	return g.find(ctx, Ask{Key: key, Rate: rate}, askTimeout)
}

// Handle replies to a question of another process. It returns 0 if the permit is granted,
// and otherwise the time until there is one.
func (g *Granter) Handle(ctx context.Context, a Ask) time.Duration {
	if a.Relayed {
		return g.grant(a, 0)
	}
	a.Relayed = true
	return g.find(ctx, a, relayTimeout)
}

// find asks the granters of a key in the order of their rank until one replies.
func (g *Granter) find(ctx context.Context, a Ask, timeout time.Duration) time.Duration {
	silent := 0
	for _, process := range g.Fleet.Granters(a.Key) {
		if process == g.Process || silent == maxSilent {
			break
		}
		if g.isSilent(process) {
			silent++
			continue
		}
		wait, err := g.ask(ctx, process, a, timeout)
		if err == nil {
			g.drop(a.Key)
			return wait
		}
		if ctx.Err() != nil {
			return minWait
		}
		if !g.isSilent(process) {
			return lateWait
		}
		silent++
	}
	return g.grant(a, silent)
}

// ask asks one process, and records whether it replied.
func (g *Granter) ask(ctx context.Context, process string, a Ask, timeout time.Duration) (time.Duration, error) {
	askCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	wait, err := g.Fleet.Ask(askCtx, process, a)
	if err == nil || ctx.Err() == nil {
		g.noteReply(process, err)
	}
	return wait, err
}

// grant takes a permit from this process's own bucket. Silent is the number of better ranked
// processes that do not reply, which may grant permits elsewhere.
func (g *Granter) grant(a Ask, silent int) time.Duration {
	live, known := g.Fleet.Count()
	fraction := float64(max(live-silent, 1)) / float64(max(known, 1))
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	b := g.buckets[a.Key]
	if b == nil {
		g.makeRoom(now)
		b = newBucket(a.Rate, now)
		g.buckets[a.Key] = b
	}
	return b.take(a.Rate, fraction, now)
}

// makeRoom makes room for one more bucket. A bucket that is dropped begins empty when it is
// needed again, so that dropping it never adds permits. The caller holds g.mu.
func (g *Granter) makeRoom(now time.Time) {
	if g.buckets == nil {
		g.buckets = map[string]*bucket{}
	}
	for key, b := range g.buckets {
		if now.Sub(b.usedAt) > bucketTTL {
			delete(g.buckets, key)
		}
	}
	for key := range g.buckets {
		if len(g.buckets) < maxBuckets {
			return
		}
		delete(g.buckets, key)
	}
}

// drop forgets this process's bucket of a key that another process grants.
func (g *Granter) drop(key string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.buckets, key)
}

// isSilent reports whether a process is not to be asked now, because it has not replied.
func (g *Granter) isSilent(process string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	f := g.failures[process]
	return f != nil && time.Now().Before(f.silentUntil)
}

// noteReply records that a process has replied, or with which error it has not.
func (g *Granter) noteReply(process string, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	for p, f := range g.failures {
		if now.Sub(f.last) > failureTTL {
			delete(g.failures, p)
		}
	}
	if err == nil {
		delete(g.failures, process)
		return
	}
	if g.failures == nil {
		g.failures = map[string]*failure{}
	}
	f := g.failures[process]
	if f == nil {
		f = &failure{since: now}
		g.failures[process] = f
	}
	f.last = now
	if errors.Is(err, ErrGone) || now.Sub(f.since) >= takeOverTime {
		f.silentUntil = now.Add(silentTime)
	}
}
