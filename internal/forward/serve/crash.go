package serve

import (
	"context"
	"io"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"jacinthladder.dev/internal/forward/conns"
	"jacinthladder.dev/internal/forward/picker"
	"jacinthladder.dev/internal/forward/poison"
	"jacinthladder.dev/internal/forward/route"
)

// incarnation identifies the start of the endpoint of pk.
func incarnation(pk *picker.Pick) poison.Endpoint {
	e := pk.Endpoint()
	return poison.Endpoint{ID: e.ID, StartedAt: e.StartedAt}
}

// checkPrompt returns the final error of the request if a part of its prompt is blocked.
func (x *exchange) checkPrompt() error {
	part, wait := x.Poison.Check(x.request.Parts, time.Now())
	if part == "" {
		return nil
	}
	x.Logger.WithFields(log.Fields{"request": x.request.ID, "part": part, "wait": wait.Milliseconds()}).Info("poison: refused")
	if x.mayHaveRun {
		return x.giveUp(x.lastErr)
	}
	return refuse(PromptBlocked, "endpoints fail under a part of the prompt").withRetryAfter(wait)
}

// minServiceTime is the least time after which an endpoint that has sent no header can
// have crashed under the request.
const minServiceTime = 20 * time.Millisecond

// noteCrash tells the tracker of crashes how an attempt ended: before the first event of
// the request, with a connection that the endpoint closed, or with a response. Err is the
// error of the attempt.
func (x *exchange) noteCrash(ctx context.Context, pk *picker.Pick, err error) {
	now := time.Now()
	switch {
	case x.relay.events > 0 || x.request.LastEventID != "":
	case ctx.Err() == nil && x.endpointClosed(err):
		if x.received.status == 0 && now.Sub(x.sentAt) < minServiceTime {
			return // the connection was dead, or could not be used
		}
		x.Poison.Crash(incarnation(pk), x.request.Parts, x.received.status != 0, now)
	case err == nil, errors.Is(err, errFailed):
		x.Poison.Sound(x.request.Parts, now)
	}
}

// endpointClosed reports whether the endpoint has closed the connection before the end of
// its response. Where only that can end a stream, it counts as closed too early if no event
// has come.
func (x *exchange) endpointClosed(err error) bool {
	if err == nil {
		return x.route.Kind == route.Stream && x.received.framing == conns.ByClose
	}
	return errors.Is(err, errIncomplete) && errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE)
}
