package serve

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"

	"jacinthladder.dev/internal/forward/picker"
)

// permitTimeout bounds the time in which a request asks for permits, at all endpoints together.
// It exceeds the time that one question may take.
const permitTimeout = 200 * time.Millisecond

// place picks endpoints until one takes another request at the rate that it has named, if it
// has named one. It returns nil if there is none, and an error if the request must not be
// sent because it crashes endpoints: that takes no permit.
func (x *exchange) place(ctx context.Context) (*picker.Pick, error) {
	permitCtx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	checked := false
	tried := x.tried
	for {
		pk := x.pick(ctx, tried)
		if pk == nil {
			return nil, nil
		}
		if !checked {
			if err := x.checkTraits(); err != nil {
				pk.End(picker.Canceled, time.Now())
				return nil, err
			}
			checked = true
		}
		wait := x.getPermit(permitCtx, pk)
		if wait <= 0 {
			return pk, nil
		}
		now := time.Now()
		pk.Postpone(wait, now)
		pk.End(picker.Canceled, now)
		tried = append(slices.Clip(tried), pk.Endpoint().ID)
	}
}

// getPermit gets a permit to send the request to the endpoint of pk. It returns 0 if there
// is one or none is needed, and otherwise the time for which the endpoint takes no further
// request of this instance.
func (x *exchange) getPermit(ctx context.Context, pk *picker.Pick) time.Duration {
	limit, key := pk.Limit()
	if !limit.Named || x.Permit == nil {
		return 0
	}
	askedAt := time.Now()
	wait := x.Permit(ctx, key, limit.PerSecond)
	x.Metrics.permitAsked(x.service.Name, wait <= 0, time.Since(askedAt))
	if wait > 0 {
		x.Logger.WithFields(log.Fields{
			"request": x.request.ID, "endpoint": pk.Endpoint().ID, "limit": limit.PerSecond, "wait": wait.Milliseconds(), "ms": time.Since(askedAt).Milliseconds(),
		}).Info("limit: no permit, the endpoint takes no more requests at this rate")
	}
	return wait
}

// noteLimit passes on to the picker which rate of requests the response to the current
// attempt names, or that it names none.
func (x *exchange) noteLimit(pk *picker.Pick) {
	if x.received.limit.Named {
		x.Metrics.limitNamed(x.service.Name)
	}
	if !x.received.misdirected {
		pk.NoteLimit(x.received.limit, x.sentAt, time.Now())
		pk.NoteBrittle(x.received.brittle, time.Now())
	}
}
