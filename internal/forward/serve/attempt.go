package serve

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"jacinthladder.dev/internal/forward/conns"
	"jacinthladder.dev/internal/forward/meta"
	"jacinthladder.dev/internal/forward/picker"
	"jacinthladder.dev/internal/forward/route"
)

const (
	// maxEndpoints is the largest number of endpoints that are picked for one
	// request. Endpoints to which no connection could be opened are counted too.
	maxEndpoints = 5
	// minResponseTimeout is the least time that an endpoint has to begin its
	// response to a retryable request. After it, another endpoint may be tried.
	minResponseTimeout = 150 * time.Millisecond
	// minCheckDelay is the least time without a response after which the path to an endpoint is
	// checked.
	minCheckDelay = 150 * time.Millisecond
	// busySpread is the time over which the retries of callers are spread after all
	// endpoints of a service have turned requests away.
	busySpread = 200 * time.Millisecond
	// minGapTimeout is the least pause between two events of a resumable stream
	// after which another endpoint may continue the stream.
	minGapTimeout = 900 * time.Millisecond
)

var (
	// errNotConnected means that no connection to the endpoint could be opened, so
	// nothing was sent to it.
	errNotConnected = errors.New("serve: not connected")
	// errNotSure means that a stream does not go on at an endpoint, because another one may have taken its
	// place.
	errNotSure = errors.New("serve: not sure which endpoint it is")
	// errNotRun means that the endpoint reported that it did not run the request.
	errNotRun = errors.New("serve: endpoint did not run the request")
	// errFailed means that the endpoint responded with a failure, which is relayed
	// to the caller if no other endpoint succeeds. The request may have run.
	errFailed = errors.New("serve: request failed at the endpoint")
	// errIncomplete means that no complete response to the request was received: the
	// connection broke, or the endpoint sent something other than that response.
	errIncomplete = errors.New("serve: no whole answer")
	// errStalled means that the stall timer has closed the connection to the
	// endpoint. The endpoint did not begin its response in time or paused for too
	// long between two events.
	errStalled = errors.New("serve: endpoint is silent")
	// errCallerGone means that the caller has disconnected.
	errCallerGone = errors.New("serve: caller disconnected")
)

// tryEndpoints sends the request to one endpoint after another until one responds
// completely or no other one may be tried. It returns the final error of the
// request, which is nil after a complete response.
func (x *exchange) tryEndpoints(ctx context.Context) error {
	for range maxEndpoints {
		pk, err := x.place(ctx)
		if err != nil {
			return err
		}
		if pk == nil {
			return x.giveUp(nil)
		}
		err = x.attempt(ctx, pk)
		pk.End(x.pickResult(ctx, err), time.Now())
		x.logAttempt(pk, err)
		x.noteCrash(ctx, pk, err)
		if ctx.Err() == nil && errors.Is(err, errNotConnected) && !errors.IsAny(err, conns.ErrNoPath, errNotSure) {
			pk.Broken(time.Now())
		}
		if err == nil || errors.Is(err, errCallerGone) || ctx.Err() != nil {
			return x.finalError(ctx, err)
		}
		x.tried = append(x.tried, pk.Endpoint().ID)
		x.lastErr = err
		if !x.mayRetry(err) {
			return x.giveUp(err)
		}
	}
	return x.giveUp(x.lastErr)
}

// pick picks an endpoint that is not among those tried. It returns nil if there is none
// with a free slot or if ctx is done.
func (x *exchange) pick(ctx context.Context, tried []string) *picker.Pick {
	if ctx.Err() != nil || x.originUnknown.Load() {
		return nil
	}
	return x.Picker.Pick(x.pickInfo(tried), time.Now())
}

// pickInfo describes the request to the picker. A stream that has begun goes on only at the
// software version that began it.
func (x *exchange) pickInfo(tried []string) picker.PickInfo {
	info := picker.PickInfo{
		Service: x.service.Name, Request: &x.request, Bytes: len(x.body), Tried: tried, Version: x.version,
	}
	if x.Origins != nil && x.route.Kind == route.Stream {
		info.Begins = func(version string) bool { return x.Origins.Listed(info.Service, version) }
	}
	if x.ConfirmedAt != nil {
		info.RegistryAt = x.ConfirmedAt()
	}
	info.OutOfStep = x.OutOfStep != nil && x.OutOfStep()
	return info
}

// mayRetry reports whether another endpoint may be tried after an attempt failed
// with err. If it returns true, it has counted the retry in the window that limits
// retries. There are two exceptions: after errNotConnected nothing was sent, so
// there is nothing to count, and after errStalled the stall timer has already
// counted the retry.
func (x *exchange) mayRetry(err error) bool {
	if x.relay.events > 0 && x.relay.lastEventID == "" {
		return false // the next endpoint could not be told where to go on
	}
	if errors.Is(err, errNotConnected) || errors.Is(err, errStalled) {
		return true // not counted: nothing was sent, or the stall timer has already counted the retry
	}
	if x.attempts >= x.route.MaxAttempts {
		return false
	}
	if !errors.Is(err, errNotRun) && !x.route.Retryable() {
		return false
	}
	return x.Retries(x.service.Name).AllowRetry(time.Now())
}

// giveUp returns the final error of the request when no other endpoint may be tried.
// If an endpoint has sent a failure response, the error is errFailed, and finish
// relays that response. Otherwise the error is a refusal, whose code depends on
// whether the request may have run.
func (x *exchange) giveUp(err error) error {
	switch {
	case x.relay.failedResponse != nil:
		return errFailed // the endpoint's own response is relayed
	case x.abandoned().Err() != nil:
		return x.stopError()
	case x.mayHaveRun:
		return refuse(NoResponse, "the request left and no whole answer came")
	case x.version != "" && !x.Picker.Fits(x.pickInfo(nil)):
		return x.versionGone()
	case x.Picker.Available(x.service.Name) == 0:
		return refuse(NoCapacity, "no endpoint of the service is known").withRetryAfter(x.retryAfter())
	}
	if wait, limited := x.Picker.BusyFor(x.service.Name, time.Now()); wait > 0 {
		text := "all endpoints of the service turn requests away"
		if limited {
			text = "all endpoints of the service get as many requests as they take"
		}
		return refuse(NoCapacity, "%s", text).withRetryAfter(wait + rand.N(busySpread))
	}
	return refuse(NoCapacity, "no endpoint took the request").withRetryAfter(x.retryAfter())
}

// versionGone returns the refusal of a stream that fits no endpoint. If those of its version are only in
// doubt, it may go on later.
func (x *exchange) versionGone() *Refusal {
	if slices.Contains(x.Picker.Versions(x.service.Name), x.version) {
		return refuse(VersionGone, "it is not certain which endpoints are of the software version that began the stream").withRetryAfter(x.retryAfter())
	}
	return refuse(VersionGone, "no endpoint is left of the software version that began the stream")
}

// finalError returns the final error of the request after its last attempt, which
// ended with err. It is called if the attempt received a complete response, the
// caller has disconnected or the deadline has passed.
func (x *exchange) finalError(ctx context.Context, err error) error {
	switch {
	case err == nil, errors.Is(err, errCallerGone):
		return err
	case errors.Is(x.r.Context().Err(), context.Canceled):
		return errCallerGone
	case errors.Is(err, errFailed):
		return err
	case x.abandoned().Err() != nil:
		return x.stopError()
	case x.mayHaveRun:
		return refuse(Timeout, "no whole answer came in time")
	default:
		return refuse(NoCapacity, "no endpoint took the request in time").withRetryAfter(x.retryAfter())
	}
}

// retryAfter returns the time after which a caller should retry a refused request.
// The time is random, so that callers refused together do not retry together. It is
// less than the time that the request has left before its deadline, but at least 20
// ms.
func (x *exchange) retryAfter() time.Duration {
	left := time.Until(x.deadline)
	return max(min(left/4, time.Second)/2+rand.N(max(left/8, time.Millisecond)), 20*time.Millisecond)
}

// pickResult converts the error of an attempt, nil after a complete response, to the
// result that the picker records for the endpoint.
func (x *exchange) pickResult(ctx context.Context, err error) picker.Result {
	switch {
	case err == nil:
		return picker.Succeeded
	case errors.Is(err, errCallerGone), x.r.Context().Err() != nil, x.abandoned().Err() != nil, errors.Is(err, errNotSure):
		return picker.Canceled
	case x.received.retryAfter > 0:
		return picker.Busy
	case errors.Is(err, errNotRun):
		return picker.Rejected
	case errors.Is(err, errStalled):
		return picker.Stalled
	case errors.Is(err, errFailed):
		return picker.Failed
	default:
		return picker.Incomplete
	}
}

// maxLoggedParts is the largest number of prompt parts that a log line names.
const maxLoggedParts = 8

// partIDs returns the IDs of the first parts of a prompt, for the log.
func partIDs(parts []meta.Part) string {
	var ids []string
	for _, p := range parts[:min(len(parts), maxLoggedParts)] {
		ids = append(ids, limitText(p.ID))
	}
	return strings.Join(ids, ",")
}

// logAttempt logs one attempt at the endpoint of pk. The error err of the attempt is
// nil after a complete response.
func (x *exchange) logAttempt(pk *picker.Pick, err error) {
	e := pk.Endpoint()
	f := log.Fields{
		"request": x.request.ID, "route": x.route.Name, "version": x.table.Version(), "endpoint": e.ID,
		"zone": e.Zone, "software": e.Version, "cached": pk.CachedTokens(), "send": x.attempts, "ms": time.Since(x.startedAt).Milliseconds(),
	}
	if x.sentFrom != "" {
		f["from"], f["resumes"] = limitText(x.sentFrom), limitText(x.request.Resumes)
	}
	if x.RegistryAge != nil {
		f["registry"] = x.RegistryAge().Milliseconds()
	}
	if x.relayed {
		f["relayed"] = true
	}
	x.received.addFields(f)
	if err == nil {
		x.Logger.WithFields(f).Info("send: answered")
		return
	}
	f["reason"], f["events"], f["parts"], f["digest"] = reasonOf(err), x.relay.events, partIDs(x.request.Parts), x.digest()
	x.Logger.WithFields(f).Info("send: failed")
}

// attempt sends the request to the endpoint of pk and relays the response. It
// returns nil if the caller got the complete response. Afterwards it puts a reusable
// connection back into the pool and closes any other.
func (x *exchange) attempt(ctx context.Context, pk *picker.Pick) error {
	x.received, x.sentAt, x.relayed = receipt{}, time.Time{}, false
	e := pk.Endpoint()
	// A response to an earlier attempt of this request names its ID too, so it must not arrive
	// on the connection of this one.
	fresh := slices.Contains(x.addresses, e.Address)
	x.addresses = append(x.addresses, e.Address)
	conn, err := x.connect(ctx, pk, fresh)
	if err != nil {
		return errors.Mark(err, errNotConnected)
	}
	x.Metrics.connected(conn.Reused())
	x.relayed = conn.Relayed()
	if x.version != "" && !x.sameEndpoint(pk) {
		x.Pool.Put(conn)
		return errors.Mark(errors.WithStack(errNotSure), errNotConnected)
	}
	stop := context.AfterFunc(ctx, conn.Close)
	keep := false
	defer func() {
		if stop() && keep {
			x.Pool.Put(conn)
			return
		}
		conn.Close()
	}()
	r := x.outgoing(e)
	x.sentFrom = cmp.Or(x.relay.lastEventID, x.request.LastEventID)
	x.attempts++
	sentAt := time.Now()
	x.sentAt = sentAt
	ranBefore := x.mayHaveRun
	x.mayHaveRun = true // undone below if the endpoint reports that it did not run the request
	if err := conn.Send(r); err != nil {
		return incomplete(err)
	}
	if !x.relayed {
		check := time.AfterFunc(max(x.route.Objective*3/4, minCheckDelay), func() { x.Pool.Check(e.Address, sentAt) })
		defer check.Stop()
	}
	keep, err = x.relayResponse(ctx, pk, conn, r)
	if errors.Is(err, errNotRun) {
		x.mayHaveRun = ranBefore
	}
	return err
}

// outgoing returns the request in the form in which it is sent to endpoint e. It is
// the caller's request without hop-by-hop headers, and with the fleet's metadata in
// place of the caller's.
func (x *exchange) outgoing(e picker.Endpoint) *conns.Request {
	h := x.r.Header.Clone()
	removeHopHeaders(h)
	out := meta.Outbound{Deadline: time.Until(x.deadline), Endpoint: e.ID, Account: x.accountName(), LastEventID: x.relay.lastEventID}
	x.Codec.EncodeRequest(h, out)
	r := &conns.Request{Method: x.r.Method, Target: x.r.RequestURI, Host: x.r.Host, Header: h, Body: x.body}
	h.Del("Content-Length")
	if x.declaresBody || len(x.body) > 0 {
		h.Set("Content-Length", itoa(len(x.body)))
	}
	return r
}

// relayResponse reads the endpoint's response from conn and relays it to the caller.
// If the response reports that the request did not run, it is discarded, and the
// error is errNotRun. The result keep reports whether the connection may be reused.
func (x *exchange) relayResponse(ctx context.Context, pk *picker.Pick, conn *conns.Conn, r *conns.Request) (keep bool, err error) {
	timer := x.startStallTimer(pk, conn)
	defer timer.stop()
	resp, header, err := x.readHeader(conn, r)
	if err != nil {
		return false, timer.cause(err)
	}
	conn.SetIdleTimeout(header.IdleTimeout)
	x.received = newReceipt(resp, header)
	x.noteState(pk)
	pk.Heard(x.openedAt, time.Now())
	x.Pool.Heard(conn)
	x.Poison.Alive(incarnation(pk), time.Now())
	if header.NotRun {
		return x.discard(resp), errNotRun
	}
	if x.route.Kind == route.Stream && resp.StatusCode >= http.StatusOK && resp.StatusCode < http.StatusMultipleChoices {
		err = x.relay.stream(ctx, pk, resp, timer)
	} else {
		err = x.relay.nonStream(ctx, resp, timer)
	}
	x.Metrics.bodyEnded(x.received, err)
	return err == nil || errors.Is(err, errFailed), timer.cause(err)
}

// noteState passes on to the picker what the response says about the state of the
// endpoint of pk: that it is leaving, or for how long it wants no requests.
func (x *exchange) noteState(pk *picker.Pick) {
	now := time.Now()
	e := pk.Endpoint()
	if x.received.leaving && x.Picker.MarkLeaving(e.ID, e.StartedAt, now) {
		x.Metrics.leaveAnnounced(x.service.Name)
		x.Logger.WithFields(log.Fields{"request": x.request.ID, "endpoint": e.ID, "service": x.service.Name}).Info("endpoint: leaving, its response said so")
	}
	x.noteLimit(pk)
	if x.received.retryAfter > 0 {
		x.Metrics.turnedAway(x.service.Name)
		pk.TurnAway(x.received.retryAfter, now)
	}
}

// maxForeignResponses is the largest number of responses that readHeader reads from a
// connection in search of the response to this request.
const maxForeignResponses = 3

// readHeader returns the response to this request, whose body is not read yet, and
// the metadata in its header. Only a response that names the ID of this request belongs
// to it. Any other one, also one that says that a request did not run, may have been written
// for an earlier request on the connection: it is discarded, and the connection serves no
// further request.
func (x *exchange) readHeader(conn *conns.Conn, r *conns.Request) (*http.Response, meta.Response, error) {
	for range maxForeignResponses {
		resp, err := conn.ReadResponse(r)
		if err != nil {
			return nil, meta.Response{}, incomplete(err)
		}
		header := x.Codec.DecodeResponse(resp.StatusCode, resp.Header)
		if header.ID == x.request.ID {
			return resp, header, nil
		}
		conn.Retire()
		x.Metrics.foreignResponse(x.service.Name)
		x.Logger.WithFields(log.Fields{
			"request": x.request.ID, "other": limitText(header.ID), "status": resp.StatusCode, "notrun": header.NotRun, "reused": conn.Reused(),
		}).Warn("send: discarding a response that does not name the request")
		if !x.mayFollow(conn, resp, header) {
			break
		}
	}
	return nil, meta.Response{}, errors.WithMessage(errIncomplete, "the endpoint sent responses that do not name the request")
}

// mayFollow reports whether the response to this request may follow a foreign one on the
// connection, whose body it discards. On a new connection, a response without an ID takes the
// place of the response to this request, because there is no earlier one.
func (x *exchange) mayFollow(conn *conns.Conn, resp *http.Response, header meta.Response) bool {
	if conns.FramingOf(resp) == conns.ByClose || !conn.Reused() && header.ID == "" {
		return false
	}
	return x.discard(resp)
}
