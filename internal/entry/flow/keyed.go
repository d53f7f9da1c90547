package flow

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"jacinthladder.dev/coord/dedup"
	"jacinthladder.dev/internal/entry/call"
	"jacinthladder.dev/internal/entry/price"
	"jacinthladder.dev/internal/entry/relay"
	"jacinthladder.dev/internal/entry/replay"
	"jacinthladder.dev/internal/fleet/once"
	"jacinthladder.dev/internal/fleet/peers"
	"jacinthladder.dev/internal/fleet/peers/wire"
)

const (
	// followWait is how long one call for more of an answer waits.
	followWait = time.Second
	// followSlack is how long the answer to it may take beyond that.
	followSlack = 500 * time.Millisecond
	// followTries is how many calls in a row may fail before the instance that
	// makes the answer is taken for gone.
	followTries = 3
	// followSize bounds one part of an answer in bytes.
	followSize = 1 << 20
	// finishTime bounds the noting of an answer on the platform.
	finishTime = 5 * time.Second
)

// keyed runs the one attempt for a key, apart from the caller that began it,
// and lets this caller follow the answer.
func (f *Pipeline) keyed(ctx context.Context, c *call.Call, sink relay.Sink) error {
	e, first, err := f.Replays.Begin(c)
	if err != nil {
		return err
	}
	if first {
		f.work.Go(func() { f.attempt(context.WithoutCancel(ctx), c, e) })
	}
	return e.Response().Follow(ctx, sink)
}

func (f *Pipeline) attempt(ctx context.Context, c *call.Call, e *replay.Entry) {
	run := f.owned
	if !c.Repeatable() {
		run = f.once
	}
	err := run(ctx, c, e.Response().Sink())
	f.Replays.End(e, err, !notRun(err), c.Service().ReplayTTL())
}

// attemptOf describes this instance's attempt at a call.
func (f *Pipeline) attemptOf(c *call.Call) dedup.Attempt {
	return dedup.Attempt{Key: replay.ScopedKey(c), Digest: c.Digest(), Request: c.ID(), Process: f.Owners.Process()}
}

// announce tells the owners of a keyed call's key where it runs.
func (f *Pipeline) announce(ctx context.Context, c *call.Call, place string) {
	if c.Key() == "" {
		return
	}
	a := f.attemptOf(c)
	a.Endpoint = place
	f.work.Go(func() { f.Owners.SetEndpoint(context.WithoutCancel(ctx), a) })
}

// owned makes the attempt, or follows the one that another instance makes.
func (f *Pipeline) owned(ctx context.Context, c *call.Call, sink relay.Sink) error {
	a := f.attemptOf(c)
	keep := c.Service().RequestTimeout() + c.Service().ReplayTTL()
	if first := f.Owners.Register(ctx, a, keep); first.Request != a.Request {
		return f.join(ctx, c, first, sink)
	}
	err := f.run(ctx, c, sink)
	if notRun(err) {
		f.Owners.Remove(ctx, a)
	}
	return err
}

func (f *Pipeline) run(ctx context.Context, c *call.Call, sink relay.Sink) error {
	if c.Chat().Model != "" {
		return f.chat(ctx, c, sink)
	}
	return f.plain(ctx, c, sink)
}

// join follows the attempt of another instance, and takes it over if that
// instance is gone.
func (f *Pipeline) join(ctx context.Context, c *call.Call, first dedup.Attempt, sink relay.Sink) error {
	if first.Digest != c.Digest() {
		return call.Refuse(call.KeyReused, "the idempotency key was used for another request")
	}
	ctx, cancel := context.WithDeadline(ctx, c.Deadline())
	defer cancel()
	var cursor relay.Cursor
	for {
		f.Logger.Infof("claim: request %s follows %s at %s", c.ID(), first.Request, first.Process)
		err := f.follow(ctx, c, first, &cursor, sink)
		if !errors.Is(err, peers.ErrUnknownProcess) {
			return err
		}
		if f.Owners.TakeOver(ctx, first, c.Service().ReplayTTL()) {
			break
		}
		next := f.Owners.Register(ctx, first, c.Service().ReplayTTL())
		if next.Process == first.Process {
			return call.Indeterminate(call.AnswerGone, "the request ran as %s; its answer is no longer kept", first.Request)
		}
		first = next
	}
	f.Logger.Warnf("claim: request %s is taken over from %s", first.Request, first.Process)
	return f.adopt(ctx, c.WithID(first.Request), first.Endpoint, &cursor, sink)
}

// follow delivers the answer that another instance makes. ErrStranger means
// that the instance is gone, or knows nothing of the request.
func (f *Pipeline) follow(ctx context.Context, c *call.Call, first dedup.Attempt, cursor *relay.Cursor, sink relay.Sink) error {
	failed := 0
	for {
		n := &wire.FollowAsk{
			Key: first.Key, Request: first.Request, Process: first.Process,
			At: int64(cursor.Delivered()), Wait: followWait.Milliseconds(),
		}
		part, err := f.part(ctx, n)
		if err != nil {
			failed++
			switch {
			case ctx.Err() != nil:
				return call.Indeterminate(call.NoAnswer, "the answer was not whole in time")
			case errors.Is(err, peers.ErrUnknownProcess), failed == followTries:
				return errors.Mark(err, peers.ErrUnknownProcess)
			}
			continue
		}
		failed = 0
		if ended, err := take(part, cursor, sink); ended || err != nil {
			return err
		}
	}
}

func (f *Pipeline) part(ctx context.Context, n *wire.FollowAsk) (*wire.FollowAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, followWait+followSlack)
	defer cancel()
	return f.FollowPeer(ctx, n)
}

// take delivers a part and reports whether the answer has ended.
func take(part *wire.FollowAnswer, cursor *relay.Cursor, sink relay.Sink) (bool, error) {
	for i, p := range part.GetPieces() {
		if err := cursor.Deliver(p, i < len(part.GetPieces())-1, sink); err != nil {
			return true, err
		}
	}
	if !part.GetEnded() {
		return false, nil
	}
	if r := part.GetRefusal(); r != nil {
		return true, call.NewRefusal(call.Code(r.GetCode()), r.GetReason(), call.Outcome(r.GetOutcome()))
	}
	u := part.GetUsage()
	return true, sink.End(part.GetLast(), price.Usage{Input: u.GetInput(), Cached: u.GetCached(), Output: u.GetOutput()})
}

// adopt makes an attempt in the place of an instance that is gone: it resumes
// the engine's stream where there is one, and else runs the call again.
func (f *Pipeline) adopt(ctx context.Context, c *call.Call, place string, cursor *relay.Cursor, sink relay.Sink) error {
	if c.Chat().Model == "" {
		return f.plain(ctx, c, sink)
	}
	return f.paid(ctx, c, func(ctx context.Context) (price.Usage, error) {
		if place != "" {
			usage, err := f.Runner.Attach(ctx, place, c, cursor, sink)
			if err == nil || errors.IsAny(err, relay.ErrCallerGone, relay.ErrDiverged) || ctx.Err() != nil {
				return usage, err
			}
		}
		return f.runs(ctx, c, cursor, sink)
	})
}

// once makes the attempt at a call that must not run twice, under a claim that
// is on the platform before the call leaves.
func (f *Pipeline) once(ctx context.Context, c *call.Call, sink relay.Sink) error {
	h, release, err := f.reserve(ctx, c)
	if err != nil {
		return err
	}
	defer release()
	key := replay.ScopedKey(c)
	held, err := f.Once.Claim(ctx, key, c.ID(), c.Digest(), func(o once.Claim) bool { return f.void(ctx, key, o) })
	if err != nil {
		h.Settle(0)
		return call.Refuse(call.ClaimUnavailable, "the platform is away, and the call must not run twice").RetryAfter(time.Second)
	}
	if held.Request != c.ID() {
		h.Settle(0)
		return f.joinOnce(ctx, c, key, held, sink)
	}
	ctx, cancel := context.WithDeadline(ctx, c.Deadline())
	defer cancel()
	answer, err := f.calls(ctx, c)
	if notRun(err) {
		h.Settle(0)
		f.Once.Release(c.ID())
		return err
	}
	f.settle(c, h, price.Usage{})
	if err != nil {
		return err
	}
	text := encodeAnswer(answer)
	f.work.Go(func() { f.finish(c, key, text) })
	return sink.End(text, price.Usage{})
}

// finish notes the answer with the claim.
func (f *Pipeline) finish(c *call.Call, key, answer string) {
	ctx, cancel := context.WithTimeout(context.Background(), finishTime)
	defer cancel()
	if err := f.Once.Finish(ctx, key, c.ID(), c.Digest(), answer); err != nil {
		f.Logger.WithError(err).Warnf("claim: the answer to request %s is not noted", c.ID())
	}
}

// void asks the instance that holds a claim whether it gave the request up.
func (f *Pipeline) void(ctx context.Context, key string, o once.Claim) bool {
	if o.Process == f.Owners.Process() {
		return false // its own keeper has been asked
	}
	part, err := f.part(ctx, &wire.FollowAsk{Key: key, Request: o.Request, Process: o.Process})
	return err == nil && part.GetVoid()
}

// joinOnce gives the answer of the call that holds the claim, and never runs it
// again.
func (f *Pipeline) joinOnce(ctx context.Context, c *call.Call, key string, held once.Claim, sink relay.Sink) error {
	if held.Digest != c.Digest() {
		return call.Refuse(call.KeyReused, "the idempotency key was used for another request")
	}
	if held.State == once.Done && held.Response != "" {
		return sink.End(held.Response, price.Usage{})
	}
	if held.State == once.Done {
		return call.Indeterminate(call.AnswerGone, "the request ran as %s; its answer is not kept", held.Request)
	}
	var cursor relay.Cursor
	first := dedup.Attempt{Key: key, Request: held.Request, Process: held.Process}
	ctx, cancel := context.WithDeadline(ctx, c.Deadline())
	defer cancel()
	err := f.follow(ctx, c, first, &cursor, sink)
	if errors.Is(err, peers.ErrUnknownProcess) {
		return call.Indeterminate(call.NoAnswer, "the request may have run as %s; its instance is gone", held.Request)
	}
	return err
}

// ServeFollow answers another instance that follows an answer made here.
func (f *Pipeline) ServeFollow(ctx context.Context, n *wire.FollowAsk) (*wire.FollowAnswer, error) {
	if f.Once.Abandoned(n.GetRequest()) {
		return &wire.FollowAnswer{Void: true}, nil
	}
	e, gone := f.Replays.Find(n.GetKey(), n.GetRequest())
	if e == nil {
		return nil, errors.Wrap(peers.ErrUnknownProcess, n.GetRequest())
	}
	if gone {
		r := call.Indeterminate(call.AnswerGone, "the request ran as %s; its answer is no longer kept", n.GetRequest())
		return &wire.FollowAnswer{Ended: true, Refusal: refusalNote(r)}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, min(time.Duration(n.GetWait())*time.Millisecond, followWait))
	defer cancel()
	p := e.Response().Read(ctx, int(n.GetAt()))
	answer := &wire.FollowAnswer{Pieces: bounded(p.Chunks)}
	if !p.Ended || len(answer.GetPieces()) < len(p.Chunks) {
		return answer, nil
	}
	answer.Ended, answer.Last = true, p.Last
	answer.Usage = &wire.UsageNote{Input: p.Usage.Input, Cached: p.Usage.Cached, Output: p.Usage.Output}
	if p.Err != nil {
		answer.Refusal = refusalNote(asRefusal(p.Err))
	}
	return answer, nil
}

// bounded returns as many pieces as fit one part, at least one.
func bounded(pieces []string) []string {
	size := 0
	for i, p := range pieces {
		size += len(p)
		if size > followSize && i > 0 {
			return pieces[:i]
		}
	}
	return pieces
}

func refusalNote(r *call.Refusal) *wire.RefusalNote {
	return &wire.RefusalNote{Code: string(r.Code()), Reason: r.Reason(), Outcome: string(r.Outcome())}
}
