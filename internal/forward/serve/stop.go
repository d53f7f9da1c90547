package serve

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// stopping is the part that a planned stop has in requests. The zero value means that there is none.
type stopping struct {
	until atomic.Pointer[time.Time] // see Server.RefuseLate

	once    sync.Once
	ctx     context.Context // ends with Server.Abandon
	abandon context.CancelFunc
}

// minStopRetryAfter and stopRetrySpread give the time after which a caller is told to retry if this
// instance stops. Others are ready, and the caller's next connection leads to one of them.
const (
	minStopRetryAfter = 20 * time.Millisecond
	stopRetrySpread   = 60 * time.Millisecond
)

// RefuseLate makes the server refuse the requests that arrive from now on, unless their deadline is
// before the given time, by which a planned stop ends. The others could not be answered whole.
func (s *Server) RefuseLate(until time.Time) { s.stopping.until.Store(&until) }

// Abandon ends the attempts of all requests in progress. Those whose response has not begun get a
// refusal, the other responses are broken off.
func (s *Server) Abandon() {
	s.abandoned()
	s.stopping.abandon()
}

// abandoned returns a context that ends when requests are abandoned.
func (s *Server) abandoned() context.Context {
	s.stopping.once.Do(func() { s.stopping.ctx, s.stopping.abandon = context.WithCancel(context.Background()) })
	return s.stopping.ctx
}

// checkStop returns a refusal if the instance stops before the deadline of the request, or has given up the requests
// in progress.
func (x *exchange) checkStop() error {
	if x.abandoned().Err() != nil {
		return refuseStopping()
	}
	if until := x.stopping.until.Load(); until == nil || !x.deadline.After(*until) {
		return nil
	}
	return refuseStopping()
}

// stopError returns the final error of a request that was abandoned.
func (x *exchange) stopError() error {
	if x.mayHaveRun {
		return refuse(NoResponse, "this instance stops, and no whole answer came in time")
	}
	return refuseStopping()
}

func refuseStopping() *Refusal {
	return refuse(Stopping, "this instance stops").withRetryAfter(minStopRetryAfter + rand.N(stopRetrySpread))
}
