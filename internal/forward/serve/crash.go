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

// traits returns what the request has in common with others: the shared parts of its prompt,
// and that it may be sent again.
func (x *exchange) traits() []poison.Trait {
	return append(poison.PartTraits(x.request.Parts), x.requestTraits()...)
}

func (x *exchange) requestTraits() []poison.Trait {
	return poison.RequestTraits(x.digest(), x.request.Parts)
}

// checkTraits returns the final error of the request if it is blocked.
func (x *exchange) checkTraits() error {
	if x.Poison.Empty() {
		return nil
	}
	trait, wait := x.Poison.Check(x.traits(), time.Now())
	if wait <= 0 {
		return nil
	}
	x.Logger.WithFields(log.Fields{"request": x.request.ID, "trait": trait.Name(), "wait": wait.Milliseconds()}).Info("poison: refused")
	switch {
	case x.mayHaveRun:
		return x.giveUp(x.lastErr)
	case trait.Same():
		return refuse(RequestBlocked, "endpoints fail under this request").withRetryAfter(wait)
	default:
		return refuse(PromptBlocked, "endpoints fail under a part of the prompt").withRetryAfter(wait)
	}
}

// minServiceTime is the least time after which an endpoint that has sent no header and has
// closed the connection has surely not closed it before the request came.
const minServiceTime = 20 * time.Millisecond

// noteCrash tells the tracker of crashes how an attempt ended: with a connection that the
// endpoint closed, or with a response. Err is the error of the attempt. A prompt that has got an
// event does not crash endpoints, but the request may still.
func (x *exchange) noteCrash(ctx context.Context, pk *picker.Pick, err error) {
	now := time.Now()
	switch {
	case ctx.Err() == nil && !x.relayed && x.endpointClosed(err):
		traits := x.requestTraits()
		if x.relay.events == 0 && x.request.LastEventID == "" {
			traits = x.traits()
		}
		endpoint, account, begun := incarnation(pk), x.accountName(), x.received.status != 0
		crash := func() { x.Poison.Crash(endpoint, account, traits, begun, now) }
		early := !begun && now.Sub(x.sentAt) < minServiceTime
		if !early {
			crash()
		}
		if early || x.route.Kind == route.Stream {
			x.ifGone(pk.Endpoint().Address, func() {
				pk.Broken(time.Now())
				if early {
					crash()
				}
			})
		}
	case !x.Poison.Empty() && (err == nil || errors.Is(err, errFailed)):
		x.Poison.Sound(x.traits(), now)
	}
}

const (
	// goneCheckDelay is the time from a closed connection to the check whether its endpoint
	// has gone, in which a process that crashes stops listening.
	goneCheckDelay = 30 * time.Millisecond
	// maxGoneChecks is the number of these checks at a time. Beyond it none is made.
	maxGoneChecks = 32
)

// ifGone calls gone, in the background, if nothing listens at the address of an endpoint that
// has just closed a connection. A connection that had died before, or was one too many, is closed as
// soon, but then the endpoint accepts another one.
func (s *Server) ifGone(address string, gone func()) {
	if s.goneChecks.Add(1) > maxGoneChecks {
		s.goneChecks.Add(-1)
		return
	}
	s.requests.Go(func() {
		defer s.goneChecks.Add(-1)
		time.Sleep(goneCheckDelay)
		conn, err := s.Pool.Get(context.Background(), address, true)
		if errors.Is(err, conns.ErrNoPath) {
			return
		}
		if err != nil {
			gone()
			return
		}
		s.Pool.Put(conn)
	})
}

// noteFirstEvent tells the tracker of crashes that the request has got its first event.
func (x *exchange) noteFirstEvent() {
	if !x.Poison.Empty() {
		x.Poison.Sound(poison.PartTraits(x.request.Parts), time.Now())
	}
}

// endpointClosed reports whether the endpoint has closed the connection before the end of
// its response. Where only that can end a stream, it counts as closed too early if no event
// has come.
func (x *exchange) endpointClosed(err error) bool {
	if err == nil {
		return x.route.Kind == route.Stream && x.received.framing == conns.ByClose && x.relay.events == 0
	}
	return errors.Is(err, errIncomplete) && errors.IsAny(err, errInsideEvent, io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE)
}
