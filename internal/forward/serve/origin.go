package serve

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"jacinthladder.dev/internal/fleet/pause"
	"jacinthladder.dev/internal/forward/origin"
	"jacinthladder.dev/internal/forward/picker"
	"jacinthladder.dev/internal/forward/route"
)

const (
	// maxStepWait bounds the time that a stream waits until this process is in step again, and
	// stepInterval is the time between two looks.
	maxStepWait  = 300 * time.Millisecond
	stepInterval = 10 * time.Millisecond
)

// awaitStep waits while this process is out of step. A stream that it began then could not go on
// elsewhere.
func (x *exchange) awaitStep(ctx context.Context) {
	if x.OutOfStep == nil || x.Origins == nil || x.route.Kind != route.Stream {
		return
	}
	for end := time.Now().Add(maxStepWait); x.OutOfStep() && time.Now().Before(end) && ctx.Err() == nil; {
		pause.For(ctx, stepInterval)
	}
}

// findOrigin finds the software version that began the stream that the request resumes, and
// returns a refusal if it is not known. The stream goes on at the service at which it began.
func (x *exchange) findOrigin(ctx context.Context) error {
	if x.Origins == nil || x.route.Kind != route.Stream || x.request.LastEventID == "" {
		return nil
	}
	var services []string
	for _, s := range x.route.Services {
		services = append(services, s.Service)
	}
	began := time.Now()
	o, err := x.Origins.Find(ctx, x.request.Resumes, services)
	f := log.Fields{
		"request": x.request.ID, "resumes": limitText(x.request.Resumes), "from": limitText(x.request.LastEventID), "ms": time.Since(began).Milliseconds(),
	}
	if err == nil && (!slices.Contains(services, o.Service) || x.table.Service(o.Service) == nil) {
		err = errors.WithMessagef(origin.ErrUnknown, "the route no longer leads to service %s, where the stream began", o.Service)
	}
	if err != nil {
		f["reason"] = reasonOf(err)
		x.Logger.WithFields(f).Info("origin: refused to resume a stream")
		refusal := refuse(OriginUnknown, "it is not known which software version began the stream")
		if errors.Is(err, origin.ErrUnreachable) {
			refusal = refusal.withRetryAfter(x.retryAfter())
		}
		return refusal
	}
	x.service, x.version = x.table.Service(o.Service), o.Version
	return nil
}

// sameEndpoint reports whether the endpoint of pk is surely behind the connection of the present attempt.
// While the registry is followed, an endpoint that takes its place is heard of. Otherwise another
// connection that led to it before shows that it has not ended.
func (x *exchange) sameEndpoint(pk *picker.Pick) bool {
	switch {
	case x.RegistryLive == nil:
		return true
	case pk.Replaced():
		return false
	case x.RegistryLive():
		return true
	}
	now, confirmedAt := time.Now(), x.ConfirmedAt()
	same := func(openedAt time.Time) bool { return pk.Same(openedAt, confirmedAt) }
	if same(x.openedAt) {
		return true
	}
	if !x.Pool.StillOpen(pk.Endpoint().Address, same) {
		return false
	}
	pk.Unchanged(now)
	return true
}

// noteOrigin records at the first event of the response which version sends it. A stream that is
// resumed keeps its origin. If the version is in doubt, the origin is recorded as unknown, and the
// stream does not go on elsewhere.
func (x *exchange) noteOrigin(pk *picker.Pick) {
	if x.version == "" {
		x.version = pk.Endpoint().Version
		x.unconfirmed = !pk.Doubtful() && !x.sameEndpoint(pk)
		x.originUnknown.Store(pk.Doubtful() || x.unconfirmed)
	}
	x.recordOrigin()
}

// confirmOrigin records the version that began the stream, if only now it is sure which endpoint has.
func (x *exchange) confirmOrigin(pk *picker.Pick) {
	if !x.unconfirmed || !x.sameEndpoint(pk) {
		return
	}
	x.unconfirmed = false
	x.originUnknown.Store(false)
	x.recordOrigin()
}

// recordOrigin records the version that began the stream, or that it is unknown.
func (x *exchange) recordOrigin() {
	if x.Origins == nil {
		return
	}
	o := origin.Origin{Service: x.service.Name, Version: x.version}
	if x.originUnknown.Load() {
		o.Version = ""
	}
	id := x.request.ID
	if x.request.LastEventID != "" {
		id = x.request.Resumes
	}
	x.Origins.Began(id, o, x.deadline)
}
