package flow

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"jacinthladder.dev/coord/escrow"
	"jacinthladder.dev/coord/retry"
	"jacinthladder.dev/internal/entry/accept"
	"jacinthladder.dev/internal/entry/call"
	"jacinthladder.dev/internal/entry/hold"
	"jacinthladder.dev/internal/entry/meter"
	"jacinthladder.dev/internal/entry/price"
	"jacinthladder.dev/internal/entry/relay"
	"jacinthladder.dev/internal/entry/replay"
	"jacinthladder.dev/internal/entry/send"
	"jacinthladder.dev/internal/entry/settle"
	"jacinthladder.dev/internal/fleet/memory"
	"jacinthladder.dev/internal/fleet/once"
	"jacinthladder.dev/internal/fleet/owner"
	"jacinthladder.dev/internal/fleet/peers/wire"
	"jacinthladder.dev/internal/route/choose"
)

// cancelTimeout limits the time of one request to an engine that cancels a stream.
const cancelTimeout = 5 * time.Second

// Pipeline holds the stages of one instance in the order in which they run. Its
// methods serve the requests of callers.
type Pipeline struct {
	Parser   *accept.Parser
	Replays  *replay.Table
	Reserver *hold.Reserver
	Picker   *choose.Picker
	Sender   *send.Sender
	Runner   *relay.Runner
	Recorder *settle.Recorder
	Metrics  *meter.Metrics
	Logger   log.Interface
	// Bound is what callers can make the process hold.
	Bound *memory.Bound

	// Registry registers the attempt at each call that has an idempotency key at the
	// owners of the key. These are the instances that store the attempts at the key.
	// Registry also finds the attempt of another instance there.
	Registry *owner.Registry
	// Claimer stores a claim on the platform for each call that has an idempotency key
	// and must run at most once. Only the request that holds the claim may send the
	// call.
	Claimer *once.Claimer
	// FollowPeer asks another process, which n names, for the next segment of a
	// response that the other process produces.
	FollowPeer func(ctx context.Context, n *wire.FollowAsk) (*wire.FollowAnswer, error)
	// Admit admits a call within the limits of its client account on the request rate
	// and on calls in flight. The function release must be called when the call has
	// ended. The error is a refusal; release is then nil.
	Admit func(c *call.Call) (release func(), err error)

	retries    retry.Throttle // limits the retries of the calls of each service
	background sync.WaitGroup // running attempts at calls with an idempotency key, and running writes to Registry and Claimer
}

// Chat serves the chat completions request r of a caller and writes the response to w.
func (p *Pipeline) Chat(w http.ResponseWriter, r *http.Request) {
	c, err := p.Parser.Chat(w, r)
	if err != nil {
		p.Refuse(w, err)
		return
	}
	w.Header().Set(call.RequestHeader, c.ID())
	out := newChatWriter(w, c, p.Metrics)
	if c.Key() != "" {
		err = p.runKeyed(r.Context(), c, out.sink())
	} else {
		err = p.runChat(r.Context(), c, out.sink())
	}
	p.endRequest(w, c, out, err)
}

// Plain serves the request r of a caller to a plain service and writes the response to
// w.
func (p *Pipeline) Plain(w http.ResponseWriter, r *http.Request) {
	c, err := p.Parser.Plain(w, r)
	if err != nil {
		p.Refuse(w, err)
		return
	}
	w.Header().Set(call.RequestHeader, c.ID())
	out := newPlainWriter(w)
	if c.Key() != "" {
		err = p.runKeyed(r.Context(), c, out.sink())
	} else {
		// A call that was sent can't be cancelled, so it runs to its end even
		// if the caller disconnects.
		err = p.runPlain(context.WithoutCancel(r.Context()), c, out.sink())
	}
	p.endRequest(w, c, out, err)
}

// Wait blocks until everything that runs in the background has ended: the attempts at
// calls with an idempotency key, and the writes to the registry and to claims.
func (p *Pipeline) Wait() { p.background.Wait() }

// reserve computes the maximum cost of a call, admits the call within the limits of
// its client account, and reserves that cost. It returns the reservation and a
// function that must be called when the call has ended. After that the call no longer
// counts as one in flight. The error is a refusal.
func (p *Pipeline) reserve(ctx context.Context, c *call.Call) (escrow.Hold, func(), error) {
	maxCost, err := price.MaxCost(c)
	if err != nil {
		return escrow.Hold{}, nil, err
	}
	release, err := p.Admit(c)
	if err != nil {
		return escrow.Hold{}, nil, err
	}
	h, err := p.Reserver.Reserve(ctx, c, maxCost)
	if err != nil {
		release()
		return escrow.Hold{}, nil, err
	}
	return h, release, nil
}

// runChat reserves the maximum cost of a model call, runs the call and settles it. It
// delivers the response to sink.
func (p *Pipeline) runChat(ctx context.Context, c *call.Call, sink relay.Sink) error {
	var cursor relay.Cursor
	return p.runReserved(ctx, c, func(ctx context.Context) (price.Usage, error) {
		return p.streamWithRetries(ctx, c, &cursor, sink)
	})
}

// runReserved reserves the maximum cost of a model call, calls run, and settles the
// call at the usage that run returns. It settles the call at 0 in two cases: run fails
// for another reason than a disconnected caller, or another instance has taken the
// attempt over.
func (p *Pipeline) runReserved(ctx context.Context, c *call.Call, run func(ctx context.Context) (price.Usage, error)) error {
	h, release, err := p.reserve(ctx, c)
	if err != nil {
		return err
	}
	defer release()
	ctx, cancel := context.WithDeadline(ctx, c.Deadline())
	defer cancel()
	usage, err := run(ctx)
	if err != nil && !errors.Is(err, relay.ErrCallerGone) {
		// A response that the fleet could not complete is not billed. If the caller
		// disconnected, the usage up to that moment is billed.
		h.Settle(0)
		return err
	}
	if !p.endAttempt(ctx, c) {
		h.Settle(0)
		return err
	}
	p.settle(c, h, usage)
	return err
}

// settle charges the cost of a call with the usage u to its reservation h. It adds the
// cost to the metrics and logs it.
func (p *Pipeline) settle(c *call.Call, h escrow.Hold, u price.Usage) {
	cost := p.Recorder.Settle(c, h, u)
	p.Metrics.Spent(c.Service().Name(), cost)
	p.Logger.Infof("settle: request %s cost %d of %d reserved micro-units", c.ID(), cost, h.Amount())
}

// streamWithRetries runs a model call at one endpoint after another until one delivers
// the complete response or no retry is left. The cursor tells each run which chunks
// are already delivered. The result is the usage of the last run. If there is also an
// error, it is this usage as far as it is known.
func (p *Pipeline) streamWithRetries(ctx context.Context, c *call.Call, cursor *relay.Cursor, sink relay.Sink) (price.Usage, error) {
	attempts := p.retries.Begin(c.Service().Name(), c.Service().RetryRatio(), c.Service().MaxAttempts())
	var tried []string
	for {
		pick, err := p.Picker.Pick(ctx, c, tried)
		if err != nil {
			return price.Usage{Output: int64(cursor.Delivered())}, p.refusalAfterDelivery(cursor, err)
		}
		p.publishEndpoint(ctx, c, pick.URL())
		usage, err := p.Runner.Run(ctx, pick.URL(), c, cursor, sink)
		pick.End(streamResult(ctx, err))
		if err == nil {
			return usage, nil
		}
		if !retryable(err) || ctx.Err() != nil {
			return p.cancelRun(pick, c, cursor), p.classifyRunError(ctx, cursor, err)
		}
		p.Logger.Infof("choose: request %s failed at endpoint %s: %s", c.ID(), pick.Name(), err)
		tried = append(tried, pick.Name())
		if !attempts.Next(ctx, errors.Is(err, send.ErrNotAccepted) || errors.Is(err, send.ErrLeaving)) {
			return p.cancelRun(pick, c, cursor), p.classifyRunError(ctx, cursor, err)
		}
	}
}

// cancelRun cancels a run whose response is no longer needed and returns the usage of
// the run. If the engine does not report the usage, it counts one output token for
// each delivered chunk.
func (p *Pipeline) cancelRun(pick *choose.Pick, c *call.Call, cursor *relay.Cursor) price.Usage {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	usage, err := p.Sender.Cancel(ctx, pick.URL(), c.ID())
	if err != nil {
		// The engine did not report the usage. At least the delivered chunks
		// were produced.
		return price.Usage{Output: int64(cursor.Delivered())}
	}
	return usage
}

// classifyRunError returns the error of a model call whose last run ended with err:
// relay.ErrCallerGone if the caller disconnected, otherwise a refusal.
func (p *Pipeline) classifyRunError(ctx context.Context, cursor *relay.Cursor, err error) error {
	switch {
	case errors.Is(err, relay.ErrCallerGone), errors.Is(ctx.Err(), context.Canceled):
		return relay.ErrCallerGone
	case errors.Is(err, send.ErrRejected):
		return call.Refuse(call.BadRequest, "the engine rejected the request")
	case errors.Is(err, send.ErrNotAccepted), errors.Is(err, send.ErrLeaving):
		return p.refusalAfterDelivery(cursor, call.Refuse(call.NoCapacity, "no endpoint took the request").RetryAfter(time.Second))
	default:
		return call.Indeterminate(call.NoAnswer, "no endpoint gave the whole answer")
	}
}

// refusalAfterDelivery returns err if no chunk of the response has been delivered.
// Otherwise it returns a refusal with the outcome Unknown.
func (p *Pipeline) refusalAfterDelivery(cursor *relay.Cursor, err error) error {
	if cursor.Delivered() == 0 {
		return err
	}
	return call.Indeterminate(call.NoAnswer, "the answer broke off")
}

// retryable reports whether a model call whose run ended with err may run again at
// another endpoint.
func retryable(err error) bool {
	return errors.IsAny(err, relay.ErrRunLost, send.ErrNotAccepted, send.ErrLeaving)
}

// streamResult returns the result that is reported to the picker for a run of a model
// call that ended with err. The context is that of the call.
func streamResult(ctx context.Context, err error) choose.Result {
	switch {
	case err == nil:
		return choose.Succeeded
	case errors.Is(err, send.ErrLeaving):
		return choose.Leaving
	case errors.IsAny(err, relay.ErrRunLost, send.ErrNotAccepted) && ctx.Err() == nil:
		return choose.Failed
	default:
		return choose.Canceled
	}
}

// runPlain reserves the price of a call of a plain service, sends the call and settles
// it. It delivers the response to sink. A call that may have run is billed even if no
// response arrived, unless another instance has taken the attempt over.
func (p *Pipeline) runPlain(ctx context.Context, c *call.Call, sink relay.Sink) error {
	h, release, err := p.reserve(ctx, c)
	if err != nil {
		return err
	}
	defer release()
	ctx, cancel := context.WithDeadline(ctx, c.Deadline())
	defer cancel()
	resp, err := p.callWithRetries(ctx, c)
	if notRun(err) {
		h.Settle(0)
		return err
	}
	if !p.endAttempt(ctx, c) {
		h.Settle(0)
	} else {
		p.settle(c, h, price.Usage{})
	}
	if err != nil {
		return err
	}
	return sink.End(encodeResponse(resp), price.Usage{})
}

// endAttempt ends the attempt at the call c in the registry. It reports whether this
// instance bills the call. The result is false if another instance has taken the
// attempt over or made an attempt of its own, and then that instance bills the call,
// unless it is gone. A call without an idempotency key is not in the registry, and the
// result is true.
func (p *Pipeline) endAttempt(ctx context.Context, c *call.Call) bool {
	if c.Key() == "" {
		return true
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), endTimeout)
	defer cancel()
	other, ok := p.Registry.End(ctx, p.attemptOf(c))
	if ok || !p.gone(ctx, other) {
		return ok
	}
	p.Logger.Warnf("claim: request %s is billed in place of the attempt of request %s, because process %s is gone", c.ID(), other.Request, other.Process)
	return p.Registry.TakeOver(ctx, other, c.Service().ReplayTTL())
}

// notRun reports whether err is a refusal with the outcome NotRun. It is false if err
// is nil.
func notRun(err error) bool {
	var r *call.Refusal
	return errors.As(err, &r) && r.Outcome() == call.NotRun
}

// callWithRetries sends a call of a plain service to one endpoint after another until
// one responds or no retry is left. A call that must not run twice is retried only if
// the last endpoint provably did not accept it. The error is a refusal.
func (p *Pipeline) callWithRetries(ctx context.Context, c *call.Call) (send.Response, error) {
	attempts := p.retries.Begin(c.Service().Name(), c.Service().RetryRatio(), c.Service().MaxAttempts())
	var tried []string
	ran := false
	for {
		pick, err := p.Picker.Pick(ctx, c, tried)
		if err != nil {
			return send.Response{}, refusalAfterRun(ran, err)
		}
		resp, err := p.Sender.Call(ctx, pick.URL(), c)
		pick.End(callResult(err))
		if err == nil {
			return resp, nil
		}
		p.Logger.Infof("choose: request %s failed at endpoint %s: %s", c.ID(), pick.Name(), err)
		tried = append(tried, pick.Name())
		notAccepted := errors.IsAny(err, send.ErrNotAccepted, send.ErrLeaving)
		ran = ran || !notAccepted
		if ran && !c.Retryable() {
			return send.Response{}, call.Indeterminate(call.NoAnswer, "the call left and no answer came")
		}
		if ctx.Err() != nil || !attempts.Next(ctx, notAccepted) {
			return send.Response{}, refusalAfterRun(ran, call.Refuse(call.NoCapacity, "no endpoint took the call").RetryAfter(time.Second))
		}
	}
}

// refusalAfterRun returns err if ran is false. If ran is true, the call may have run,
// and refusalAfterRun returns a refusal with the outcome Unknown.
func refusalAfterRun(ran bool, err error) error {
	if ran {
		return call.Indeterminate(call.NoAnswer, "the call left and no answer came")
	}
	return err
}

// callResult returns the result that is reported to the picker for a call of a plain
// service that ended with err.
func callResult(err error) choose.Result {
	switch {
	case err == nil:
		return choose.Succeeded
	case errors.Is(err, send.ErrLeaving):
		return choose.Leaving
	default:
		return choose.Failed
	}
}
