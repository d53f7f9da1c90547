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
	"jacinthladder.dev/internal/fleet/once"
	"jacinthladder.dev/internal/fleet/owner"
	"jacinthladder.dev/internal/fleet/peers/wire"
	"jacinthladder.dev/internal/route/choose"
)

// cancelTime bounds the cancelling of a stream.
const cancelTime = 5 * time.Second

// Pipeline is the stages of one instance, in order.
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

	// Owners finds the one attempt at a key in the fleet.
	Owners *owner.Registry
	// Once keeps the claims of keyed calls that must not run twice.
	Once *once.Claimer
	// FollowPeer returns what there is of an answer that another instance makes.
	FollowPeer func(ctx context.Context, n *wire.FollowAsk) (*wire.FollowAnswer, error)
	// Admit admits a call within the limits of its account. It returns the
	// function that ends the call, or a refusal.
	Admit func(c *call.Call) (release func(), err error)

	budgets retry.Throttle // retries by service
	work    sync.WaitGroup
}

// Chat takes a chat completions request through the stages.
func (f *Pipeline) Chat(w http.ResponseWriter, r *http.Request) {
	c, err := f.Parser.Chat(w, r)
	if err != nil {
		f.Refuse(w, err)
		return
	}
	w.Header().Set(call.RequestHeader, c.ID())
	out := newReply(w, c, f.Metrics)
	if c.Key() != "" {
		err = f.keyed(r.Context(), c, out.sink())
	} else {
		err = f.chat(r.Context(), c, out.sink())
	}
	f.end(w, c, out, err)
}

// Plain takes a call of a plain service through the stages.
func (f *Pipeline) Plain(w http.ResponseWriter, r *http.Request) {
	c, err := f.Parser.Plain(w, r)
	if err != nil {
		f.Refuse(w, err)
		return
	}
	w.Header().Set(call.RequestHeader, c.ID())
	out := newPlainReply(w)
	if c.Key() != "" {
		err = f.keyed(r.Context(), c, out.sink())
	} else {
		// A call that left can't be taken back: it runs to its end even if
		// the caller goes.
		err = f.plain(context.WithoutCancel(r.Context()), c, out.sink())
	}
	f.end(w, c, out, err)
}

// Wait returns when no attempt is under way.
func (f *Pipeline) Wait() { f.work.Wait() }

// reserve prices a call, admits it within its limits and sets its bound aside.
func (f *Pipeline) reserve(ctx context.Context, c *call.Call) (escrow.Hold, func(), error) {
	bound, err := price.MaxCost(c)
	if err != nil {
		return escrow.Hold{}, nil, err
	}
	release, err := f.Admit(c)
	if err != nil {
		return escrow.Hold{}, nil, err
	}
	h, err := f.Reserver.Reserve(ctx, c, bound)
	if err != nil {
		release()
		return escrow.Hold{}, nil, err
	}
	return h, release, nil
}

// chat runs a model call and settles it.
func (f *Pipeline) chat(ctx context.Context, c *call.Call, sink relay.Sink) error {
	var cursor relay.Cursor
	return f.paid(ctx, c, func(ctx context.Context) (price.Usage, error) {
		return f.runs(ctx, c, &cursor, sink)
	})
}

// paid reserves for a model call, runs it, and settles it at what it used.
func (f *Pipeline) paid(ctx context.Context, c *call.Call, run func(ctx context.Context) (price.Usage, error)) error {
	h, release, err := f.reserve(ctx, c)
	if err != nil {
		return err
	}
	defer release()
	ctx, cancel := context.WithDeadline(ctx, c.Deadline())
	defer cancel()
	usage, err := run(ctx)
	if err != nil && !errors.Is(err, relay.ErrCallerGone) {
		// An answer that the fleet could not give whole is not billed.
		h.Settle(0)
		return err
	}
	if !f.mayBill(ctx, c) {
		h.Settle(0)
		return err
	}
	f.settle(c, h, usage)
	return err
}

func (f *Pipeline) settle(c *call.Call, h escrow.Hold, u price.Usage) {
	cost := f.Recorder.Settle(c, h, u)
	f.Metrics.Spent(c.Service().Name(), cost)
	f.Logger.Infof("settle: request %s cost %d of %d", c.ID(), cost, h.Amount())
}

// runs tries endpoint after endpoint until one gives the whole answer.
func (f *Pipeline) runs(ctx context.Context, c *call.Call, cursor *relay.Cursor, sink relay.Sink) (price.Usage, error) {
	attempts := f.budgets.Begin(c.Service().Name(), c.Service().RetryRatio(), c.Service().MaxAttempts())
	var tried []string
	for {
		p, err := f.Picker.Pick(ctx, c, tried)
		if err != nil {
			return price.Usage{Output: int64(cursor.Delivered())}, f.partial(cursor, err)
		}
		f.announce(ctx, c, p.URL())
		usage, err := f.Runner.Run(ctx, p.URL(), c, cursor, sink)
		p.End(resultOf(ctx, err))
		if err == nil {
			return usage, nil
		}
		if !retryable(err) || ctx.Err() != nil {
			return f.abandon(p, c, cursor), f.failure(ctx, cursor, err)
		}
		f.Logger.Infof("choose: request %s failed at %s: %s", c.ID(), p.Name(), err)
		tried = append(tried, p.Name())
		if !attempts.Next(ctx, errors.Is(err, send.ErrNotAccepted) || errors.Is(err, send.ErrLeaving)) {
			return f.abandon(p, c, cursor), f.failure(ctx, cursor, err)
		}
	}
}

// abandon cancels a run that nobody wants and returns what it used.
func (f *Pipeline) abandon(p *choose.Pick, c *call.Call, cursor *relay.Cursor) price.Usage {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTime)
	defer cancel()
	usage, err := f.Sender.Cancel(ctx, p.URL(), c.ID())
	if err != nil {
		// The engine can't say. What was delivered is known to have been made.
		return price.Usage{Output: int64(cursor.Delivered())}
	}
	return usage
}

// failure turns the error that ended a run into a refusal.
func (f *Pipeline) failure(ctx context.Context, cursor *relay.Cursor, err error) error {
	switch {
	case errors.Is(err, relay.ErrCallerGone), errors.Is(ctx.Err(), context.Canceled):
		return relay.ErrCallerGone
	case errors.Is(err, send.ErrRejected):
		return call.Refuse(call.BadRequest, "the engine rejected the request")
	case errors.Is(err, send.ErrNotAccepted), errors.Is(err, send.ErrLeaving):
		return f.partial(cursor, call.Refuse(call.NoCapacity, "no endpoint took the request").RetryAfter(time.Second))
	default:
		return call.Indeterminate(call.NoAnswer, "no endpoint gave the whole answer")
	}
}

// partial returns a refusal as one that may have run if any of the answer has
// been delivered.
func (f *Pipeline) partial(cursor *relay.Cursor, err error) error {
	if cursor.Delivered() == 0 {
		return err
	}
	return call.Indeterminate(call.NoAnswer, "the answer broke off")
}

func retryable(err error) bool {
	return errors.IsAny(err, relay.ErrRunLost, send.ErrNotAccepted, send.ErrLeaving)
}

func resultOf(ctx context.Context, err error) choose.Result {
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

// plain runs a call of a plain service and settles it.
func (f *Pipeline) plain(ctx context.Context, c *call.Call, sink relay.Sink) error {
	h, release, err := f.reserve(ctx, c)
	if err != nil {
		return err
	}
	defer release()
	ctx, cancel := context.WithDeadline(ctx, c.Deadline())
	defer cancel()
	answer, err := f.calls(ctx, c)
	if notRun(err) {
		h.Settle(0)
		return err
	}
	if !f.mayBill(ctx, c) {
		h.Settle(0)
	} else {
		f.settle(c, h, price.Usage{})
	}
	if err != nil {
		return err
	}
	return sink.End(encodeAnswer(answer), price.Usage{})
}

// mayBill ends a call's attempt, and reports whether it is still this
// instance's to bill: another may have taken a keyed one over.
func (f *Pipeline) mayBill(ctx context.Context, c *call.Call) bool {
	return c.Key() == "" || f.Owners.End(context.WithoutCancel(ctx), f.attemptOf(c))
}

// notRun reports whether an error says that a request did not run.
func notRun(err error) bool {
	var r *call.Refusal
	return errors.As(err, &r) && r.Outcome() == call.NotRun
}

// calls tries endpoint after endpoint. A call that must not run twice goes on
// to the next only if the last provably did not take it.
func (f *Pipeline) calls(ctx context.Context, c *call.Call) (send.Response, error) {
	attempts := f.budgets.Begin(c.Service().Name(), c.Service().RetryRatio(), c.Service().MaxAttempts())
	var tried []string
	ran := false
	for {
		p, err := f.Picker.Pick(ctx, c, tried)
		if err != nil {
			return send.Response{}, mayHaveRun(ran, err)
		}
		answer, err := f.Sender.Call(ctx, p.URL(), c)
		p.End(plainResult(err))
		if err == nil {
			return answer, nil
		}
		f.Logger.Infof("choose: request %s failed at %s: %s", c.ID(), p.Name(), err)
		tried = append(tried, p.Name())
		untaken := errors.IsAny(err, send.ErrNotAccepted, send.ErrLeaving)
		ran = ran || !untaken
		if ran && !c.Repeatable() {
			return send.Response{}, call.Indeterminate(call.NoAnswer, "the call left and no answer came")
		}
		if ctx.Err() != nil || !attempts.Next(ctx, untaken) {
			return send.Response{}, mayHaveRun(ran, call.Refuse(call.NoCapacity, "no endpoint took the call").RetryAfter(time.Second))
		}
	}
}

func mayHaveRun(ran bool, err error) error {
	if ran {
		return call.Indeterminate(call.NoAnswer, "the call left and no answer came")
	}
	return err
}

func plainResult(err error) choose.Result {
	switch {
	case err == nil:
		return choose.Succeeded
	case errors.Is(err, send.ErrLeaving):
		return choose.Leaving
	default:
		return choose.Failed
	}
}
