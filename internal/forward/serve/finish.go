package serve

import (
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
)

// finish gives the caller its final answer, unless it has it, and notes how the
// request ended.
func (x *exchange) finish(err error) {
	var refusal *Refusal
	outcome := "answered"
	abort := false
	switch {
	case err == nil:
	case errors.Is(err, errCaller):
		outcome = "caller_gone"
		abort = true
	case errors.Is(err, errFailed) && x.reply.status == 0:
		outcome = x.passFailure()
	case errors.As(err, &refusal) && x.reply.status == 0:
		outcome = string(refusal.code)
		refusal.write(x.w, &x.Codec, x.request.ID)
	default:
		outcome = "broken_off"
		abort = true
	}
	x.note(outcome, err)
	if abort {
		panic(http.ErrAbortHandler)
	}
}

// passFailure passes on an endpoint's own failure. Where its status would say
// that the request did not run, though it may have, the caller gets another,
// without the endpoint's seal.
func (x *exchange) passFailure() string {
	resp := x.reply.failed
	if promises(resp.StatusCode) {
		refuse(NoResponse, "the endpoint failed with status %d", resp.StatusCode).write(x.w, &x.Codec, x.request.ID)
		return "endpoint_failed"
	}
	x.reply.begin(resp)
	if _, err := x.w.Write(x.reply.failedBody); err != nil {
		return "caller_gone"
	}
	return "endpoint_failed"
}

// note logs and counts the end of a request.
func (x *exchange) note(outcome string, err error) {
	took := time.Since(x.begun)
	name := "none"
	f := log.Fields{
		"request": x.request.ID, "outcome": outcome, "ms": took.Milliseconds(), "sends": x.sends, "events": x.reply.events,
	}
	if x.route != nil {
		name = x.route.Name
		f["route"] = name
	}
	if x.table != nil {
		f["version"] = x.table.Version()
	}
	if x.account != nil {
		f["account"], f["tokens"], f["bound"] = x.account.Name, x.used, x.request.MaxTokens()
	}
	if !x.reply.first.IsZero() {
		f["first"] = x.reply.first.Sub(x.begun).Milliseconds()
		x.Metrics.first(name, x.reply.first.Sub(x.begun))
	}
	if err != nil {
		f["reason"] = err.Error()
	}
	x.Metrics.ended(name, outcome, took)
	x.Logger.WithFields(f).Info("request: ended")
}
