package serve

import (
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
)

// finish ends the exchange with a request's final error err, which is nil after a
// complete response. If no response has begun, it sends the caller either the last
// failure response of an endpoint or the refusal in err. It records how the request
// ended. If the response is incomplete or the caller has disconnected, it aborts the
// connection to the caller.
func (x *exchange) finish(err error) {
	var refusal *Refusal
	outcome := "answered"
	abort := false
	switch {
	case err == nil:
	case errors.Is(err, errCallerGone):
		outcome = "caller_gone"
		abort = true
	case errors.Is(err, errFailed) && x.relay.status == 0:
		outcome = x.relayFailure()
	case errors.As(err, &refusal) && x.relay.status == 0:
		outcome = string(refusal.code)
		refusal.write(x.w, &x.Codec, x.request.ID)
	default:
		outcome = "broken_off"
		abort = true
	}
	x.recordEnd(outcome, err)
	if abort {
		x.abort()
	}
}

// abort closes the connection to the caller without an end of the response, by a panic
// with http.ErrAbortHandler. A response over HTTP/1.0 has no chunks and may end with its
// connection, so that connection is reset.
func (x *exchange) abort() {
	if !x.r.ProtoAtLeast(1, 1) {
		if err := x.resetCaller(); err != nil {
			x.Logger.WithFields(log.Fields{"request": x.request.ID, "reason": err.Error()}).Warn("request: cannot reset the caller's connection")
		}
	}
	panic(http.ErrAbortHandler)
}

// resetCaller closes the connection to the caller with a TCP reset.
func (x *exchange) resetCaller() error {
	nc, _, err := x.relay.control.Hijack()
	if err != nil {
		return errors.Wrap(err, "serve: take over the connection")
	}
	defer nc.Close()
	c, ok := nc.(interface{ SetLinger(seconds int) error })
	if !ok {
		return errors.Newf("serve: a connection of type %T cannot be reset", nc)
	}
	return errors.Wrap(c.SetLinger(0), "serve: reset the connection")
}

// relayFailure relays the last failure response that an endpoint has sent. It
// returns the outcome of the request for the log and the metrics. If the status of
// that response says that the request did not run, although it may have run, or if its
// body was too long to be kept, the caller gets a refusal instead. The refusal has no
// headers of the endpoint and therefore not its seal.
func (x *exchange) relayFailure() string {
	resp := x.relay.failedResponse
	var refusal *Refusal
	switch {
	case statusSaysNotRun(resp.StatusCode):
		refusal = refuse(NoResponse, "the endpoint failed with status %d", resp.StatusCode)
	case !x.relay.failedWhole:
		refusal = refuse(NoResponse, "the endpoint failed with status %d and a response longer than %d bytes", resp.StatusCode, min(len(x.relay.failedBody), maxBuffered))
	}
	if refusal != nil {
		refusal.write(x.w, &x.Codec, x.request.ID)
		return "endpoint_failed"
	}
	x.relay.writeHeader(resp)
	if _, err := x.w.Write(x.relay.failedBody); err != nil {
		return "caller_gone"
	}
	return "endpoint_failed"
}

// recordEnd logs the end of the request with its outcome and its final error, if
// any, and updates the metrics.
func (x *exchange) recordEnd(outcome string, err error) {
	took := time.Since(x.startedAt)
	name := "none"
	f := log.Fields{
		"request": x.request.ID, "outcome": outcome, "ms": took.Milliseconds(), "sends": x.attempts, "events": x.relay.events,
	}
	if x.route != nil {
		name = x.route.Name
		f["route"] = name
	}
	if x.table != nil {
		f["version"] = x.table.Version()
	}
	if x.account != nil {
		f["account"], f["tokens"], f["bound"] = x.account.Name, x.billedTokens, x.request.MaxTokens()
	}
	if !x.relay.firstAt.IsZero() {
		f["first"] = x.relay.firstAt.Sub(x.startedAt).Milliseconds()
		x.Metrics.firstData(name, x.relay.firstAt.Sub(x.startedAt))
	}
	if err != nil {
		f["reason"] = reasonOf(err)
	}
	x.Metrics.requestEnded(name, outcome, took)
	x.Logger.WithFields(f).Info("request: ended")
}
