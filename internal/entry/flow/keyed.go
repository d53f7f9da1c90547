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
	"jacinthladder.dev/internal/fleet/memory"
	"jacinthladder.dev/internal/fleet/once"
	"jacinthladder.dev/internal/fleet/peers"
	"jacinthladder.dev/internal/fleet/peers/wire"
)

const (
	// attemptBytes and attemptFiles are what an attempt at a call with an idempotency key takes beside its
	// body, as it goes on without its caller: its response as far as it is text, and its connection to an endpoint.
	attemptBytes = 64 << 10
	attemptFiles = 1
	// pollWait is how long a poll for a response of another instance waits for the
	// next chunk.
	pollWait = time.Second
	// pollGrace is how much longer than pollWait a poll for a response of another
	// instance may take before it fails.
	pollGrace = 500 * time.Millisecond
	// maxPollFailures is the number of consecutive failed polls after which the
	// instance that produces the response counts as gone.
	maxPollFailures = 3
	// maxSegment is the maximum size of one segment of a response, in bytes. A single
	// chunk may be larger.
	maxSegment = 1 << 20
	// endTimeout limits the time to end an attempt at the owners of its key, and to ask
	// the instance that made another attempt at the key.
	endTimeout = 5 * time.Second
	// storeTimeout limits the time to store the response to a call in the claim of its
	// idempotency key on the platform.
	storeTimeout = 5 * time.Second
)

// runKeyed delivers the response for the idempotency key of c to sink. If this
// instance has no attempt for the key yet, runKeyed starts one in the background. The
// attempt continues if the caller disconnects.
func (p *Pipeline) runKeyed(ctx context.Context, c *call.Call, sink relay.Sink) error {
	e, first, err := p.Replays.Begin(c)
	if err != nil {
		return err
	}
	if first {
		reserved, ok := p.Bound.Open(attemptBytes+2*c.Size(), attemptFiles, nil)
		if !ok {
			err := call.Refuse(call.Full, "there is no room for the request now").RetryAfter(time.Second)
			p.Replays.End(e, err, false, 0)
			return err
		}
		ctx := memory.With(context.WithoutCancel(ctx), reserved)
		p.background.Go(func() {
			defer reserved.Close()
			p.runAttempt(ctx, c, e)
		})
	}
	return e.Response().Follow(ctx, sink)
}

// runAttempt runs the attempt for the idempotency key of c. The response goes to e,
// the entry of the key in Replays. When the attempt ends, runAttempt ends the entry.
func (p *Pipeline) runAttempt(ctx context.Context, c *call.Call, e *replay.Entry) {
	run := p.runRegistered
	if !c.Retryable() {
		run = p.runClaimed
	}
	err := run(ctx, c, e.Response().Sink())
	p.Replays.End(e, err, !notRun(err), c.Service().ReplayTTL())
}

// attemptOf returns the description of this instance's attempt at the call c, which
// has an idempotency key. The registry stores attempts in this form.
func (p *Pipeline) attemptOf(c *call.Call) dedup.Attempt {
	return dedup.Attempt{Key: replay.ScopedKey(c), Digest: c.Digest(), Request: c.ID(), Process: p.Registry.Process()}
}

// publishEndpoint tells the owners of a call's idempotency key, the instances that
// store the attempts at the key, at which endpoint the call runs. The argument
// endpoint is the URL of that endpoint. The owners are told in the background.
// publishEndpoint does nothing for a call without a key.
func (p *Pipeline) publishEndpoint(ctx context.Context, c *call.Call, endpoint string) {
	if c.Key() == "" {
		return
	}
	a := p.attemptOf(c)
	a.Endpoint = endpoint
	p.background.Go(func() { p.Registry.SetEndpoint(context.WithoutCancel(ctx), a) })
}

// runRegistered registers this attempt at a call with the owners of its idempotency
// key, which are the instances that store the attempts at the key, and runs the call.
// If another attempt is already registered for the key, it delivers the response of
// that attempt instead. The call must be one that may run more than once.
func (p *Pipeline) runRegistered(ctx context.Context, c *call.Call, sink relay.Sink) error {
	a := p.attemptOf(c)
	ttl := c.Service().RequestTimeout() + c.Service().ReplayTTL()
	if first := p.Registry.Register(ctx, a, ttl); first.Request != a.Request {
		return p.joinAttempt(ctx, c, first, sink)
	}
	err := p.dispatch(ctx, c, sink)
	if notRun(err) {
		p.Registry.Remove(ctx, a)
	}
	return err
}

// dispatch reserves, runs and settles a call: with runChat if it is a call of a model
// service, otherwise with runPlain.
func (p *Pipeline) dispatch(ctx context.Context, c *call.Call, sink relay.Sink) error {
	if c.Chat().Model != "" {
		return p.runChat(ctx, c, sink)
	}
	return p.runPlain(ctx, c, sink)
}

// joinAttempt delivers the response of another instance's attempt at the call c. If
// that instance is gone, joinAttempt takes the attempt over. If the attempt had ended
// there, its response is no longer kept, and the error is a refusal.
func (p *Pipeline) joinAttempt(ctx context.Context, c *call.Call, attempt dedup.Attempt, sink relay.Sink) error {
	if attempt.Digest != c.Digest() {
		return call.Refuse(call.KeyReused, "the idempotency key was used for another request")
	}
	ctx, cancel := context.WithDeadline(ctx, c.Deadline())
	defer cancel()
	var cursor relay.Cursor
	for {
		p.Logger.Infof("claim: request %s follows the attempt of request %s at process %s", c.ID(), attempt.Request, attempt.Process)
		err := p.follow(ctx, c, attempt, &cursor, sink)
		if !errors.Is(err, peers.ErrUnknownProcess) {
			return err
		}
		if p.Registry.TakeOver(ctx, attempt, c.Service().ReplayTTL()) {
			break
		}
		next := p.Registry.Register(ctx, attempt, c.Service().ReplayTTL())
		if next.Process == attempt.Process {
			return call.Indeterminate(call.AnswerGone, "the request ran as %s; its answer is no longer kept", attempt.Request)
		}
		attempt = next
	}
	p.Logger.Warnf("claim: attempt of request %s taken over from process %s", attempt.Request, attempt.Process)
	return p.takeOver(ctx, c.WithID(attempt.Request), attempt.Endpoint, &cursor, sink)
}

// follow polls the instance that makes an attempt for the response, and delivers the
// chunks after the cursor to sink. It returns nil if the response is complete.
// peers.ErrUnknownProcess means that the instance is gone or does not know the
// request.
func (p *Pipeline) follow(ctx context.Context, c *call.Call, attempt dedup.Attempt, cursor *relay.Cursor, sink relay.Sink) error {
	failures := 0
	for {
		ask := &wire.FollowAsk{
			Key: attempt.Key, Request: attempt.Request, Process: attempt.Process,
			At: int64(cursor.Delivered()), Wait: pollWait.Milliseconds(),
		}
		segment, err := p.fetchSegment(ctx, ask)
		if err != nil {
			failures++
			switch {
			case ctx.Err() != nil:
				return call.Indeterminate(call.NoAnswer, "the answer was not whole in time")
			case errors.Is(err, peers.ErrUnknownProcess), failures == maxPollFailures:
				return errors.Mark(err, peers.ErrUnknownProcess)
			}
			continue
		}
		failures = 0
		if ended, err := deliverSegment(segment, cursor, sink); ended || err != nil {
			return err
		}
	}
}

// gone reports whether the instance that makes an attempt is gone or does not know the
// attempt. An attempt without a process is of an instance that does not say which.
func (p *Pipeline) gone(ctx context.Context, attempt dedup.Attempt) bool {
	if attempt.Process == "" {
		return false
	}
	for range maxPollFailures {
		_, err := p.fetchSegment(ctx, &wire.FollowAsk{Key: attempt.Key, Request: attempt.Request, Process: attempt.Process})
		if err == nil {
			return false
		}
		if errors.Is(err, peers.ErrUnknownProcess) {
			return true
		}
	}
	return true
}

// fetchSegment asks another instance once for the next segment of a response that it
// produces.
func (p *Pipeline) fetchSegment(ctx context.Context, ask *wire.FollowAsk) (*wire.FollowAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, pollWait+pollGrace)
	defer cancel()
	return p.FollowPeer(ctx, ask)
}

// deliverSegment delivers a segment of a response that another instance has sent to a
// sink. The bool reports whether there is nothing more to deliver: the response has
// ended, or a delivery failed. The error is the refusal with which the response ended,
// or the error of the failed delivery.
func deliverSegment(segment *wire.FollowAnswer, cursor *relay.Cursor, sink relay.Sink) (bool, error) {
	for i, chunk := range segment.GetPieces() {
		if err := cursor.Deliver(chunk, i < len(segment.GetPieces())-1, sink); err != nil {
			return true, err
		}
	}
	if !segment.GetEnded() {
		return false, nil
	}
	if r := segment.GetRefusal(); r != nil {
		return true, call.NewRefusal(call.Code(r.GetCode()), r.GetReason(), call.Outcome(r.GetOutcome()))
	}
	u := segment.GetUsage()
	return true, sink.End(segment.GetLast(), price.Usage{Input: u.GetInput(), Cached: u.GetCached(), Output: u.GetOutput()})
}

// takeOver continues the attempt of an instance that is gone, from the cursor on. The
// argument endpoint is the URL of the endpoint where the attempt runs, or "" if it is
// not known. For a model call, takeOver reads the stream at this endpoint. If the URL
// is not known or the stream is lost, it runs the call again. A call of a plain
// service always runs again.
func (p *Pipeline) takeOver(ctx context.Context, c *call.Call, endpoint string, cursor *relay.Cursor, sink relay.Sink) error {
	if c.Chat().Model == "" {
		return p.runPlain(ctx, c, sink)
	}
	return p.runReserved(ctx, c, func(ctx context.Context) (price.Usage, error) {
		if endpoint != "" {
			usage, err := p.Runner.Attach(ctx, endpoint, c, cursor, sink)
			if err == nil || errors.IsAny(err, relay.ErrCallerGone, relay.ErrDiverged) || ctx.Err() != nil {
				return usage, err
			}
		}
		return p.streamWithRetries(ctx, c, cursor, sink)
	})
}

// runClaimed runs a call that has an idempotency key and must not run twice. Before it
// sends the call, it stores a claim for the key on the platform. If another request
// holds the claim for the key, runClaimed delivers the response of that request.
func (p *Pipeline) runClaimed(ctx context.Context, c *call.Call, sink relay.Sink) error {
	h, release, err := p.reserve(ctx, c)
	if err != nil {
		return err
	}
	defer release()
	key := replay.ScopedKey(c)
	claim, err := p.Claimer.Claim(ctx, key, c.ID(), c.Digest(), func(other once.Claim) bool { return p.abandonedByPeer(ctx, key, other) })
	if err != nil {
		h.Settle(0)
		return call.Refuse(call.ClaimUnavailable, "the platform is away, and the call must not run twice").RetryAfter(time.Second)
	}
	if claim.Request != c.ID() {
		h.Settle(0)
		return p.joinClaim(ctx, c, key, claim, sink)
	}
	ctx, cancel := context.WithDeadline(ctx, c.Deadline())
	defer cancel()
	resp, err := p.callWithRetries(ctx, c)
	if notRun(err) {
		h.Settle(0)
		p.Claimer.Release(c.ID())
		return err
	}
	p.settle(c, h, price.Usage{})
	if err != nil {
		return err
	}
	body := encodeResponse(resp)
	p.background.Go(func() { p.storeResponse(c, key, body) })
	return sink.End(body, price.Usage{})
}

// storeResponse stores the encoded response to a call in the claim for the scoped key,
// so that later requests with the same idempotency key get it. If that fails, the
// error is logged.
func (p *Pipeline) storeResponse(c *call.Call, key, body string) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if err := p.Claimer.Finish(ctx, key, c.ID(), c.Digest(), body); err != nil {
		p.Logger.WithError(err).Warnf("claim: the response to request %s was not stored in its claim", c.ID())
	}
}

// abandonedByPeer asks the instance that made the claim other whether it abandoned the
// request of that claim. An abandoned request did not run and will not run. If the
// instance does not respond, or this instance made the claim, abandonedByPeer returns
// false.
func (p *Pipeline) abandonedByPeer(ctx context.Context, key string, other once.Claim) bool {
	if other.Process == p.Registry.Process() {
		return false // this instance's Claimer has already checked its own requests
	}
	segment, err := p.fetchSegment(ctx, &wire.FollowAsk{Key: key, Request: other.Request, Process: other.Process})
	return err == nil && segment.GetVoid()
}

// joinClaim delivers the response to the request that holds the claim for the
// idempotency key of c, an earlier request with the same key. It takes the response
// that is stored in the claim. If the earlier request is still running, joinClaim
// follows the response at the instance that runs it. joinClaim never runs the call
// again.
func (p *Pipeline) joinClaim(ctx context.Context, c *call.Call, key string, claim once.Claim, sink relay.Sink) error {
	if claim.Digest != c.Digest() {
		return call.Refuse(call.KeyReused, "the idempotency key was used for another request")
	}
	if claim.State == once.Done && claim.Response != "" {
		return sink.End(claim.Response, price.Usage{})
	}
	if claim.State == once.Done {
		return call.Indeterminate(call.AnswerGone, "the request ran as %s; its answer is not kept", claim.Request)
	}
	var cursor relay.Cursor
	attempt := dedup.Attempt{Key: key, Request: claim.Request, Process: claim.Process}
	ctx, cancel := context.WithDeadline(ctx, c.Deadline())
	defer cancel()
	err := p.follow(ctx, c, attempt, &cursor, sink)
	if errors.Is(err, peers.ErrUnknownProcess) {
		return call.Indeterminate(call.NoAnswer, "the request may have run as %s; its instance is gone", claim.Request)
	}
	return err
}

// ServeFollow answers an instance that follows a response of this instance. It returns
// the next segment of the response, or reports that the request was abandoned. The
// error peers.ErrUnknownProcess means that this instance does not know the request.
func (p *Pipeline) ServeFollow(ctx context.Context, ask *wire.FollowAsk) (*wire.FollowAnswer, error) {
	if p.Claimer.Abandoned(ask.GetRequest()) {
		return &wire.FollowAnswer{Void: true}, nil
	}
	e, evicted := p.Replays.Find(ask.GetKey(), ask.GetRequest())
	if e == nil {
		return nil, errors.Wrap(peers.ErrUnknownProcess, ask.GetRequest())
	}
	if evicted {
		r := call.Indeterminate(call.AnswerGone, "the request ran as %s; its answer is no longer kept", ask.GetRequest())
		return &wire.FollowAnswer{Ended: true, Refusal: refusalToWire(r)}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, min(time.Duration(ask.GetWait())*time.Millisecond, pollWait))
	defer cancel()
	segment := e.Response().Read(ctx, int(ask.GetAt()))
	reply := &wire.FollowAnswer{Pieces: limitSegment(segment.Chunks)}
	if !segment.Ended || len(reply.GetPieces()) < len(segment.Chunks) {
		return reply, nil
	}
	reply.Ended, reply.Last = true, segment.Last
	reply.Usage = &wire.UsageNote{Input: segment.Usage.Input, Cached: segment.Usage.Cached, Output: segment.Usage.Output}
	if segment.Err != nil {
		reply.Refusal = refusalToWire(asRefusal(segment.Err))
	}
	return reply, nil
}

// limitSegment returns as many of the first chunks as together have at most maxSegment
// bytes. It returns at least the first chunk, even if that is larger.
func limitSegment(chunks []string) []string {
	size := 0
	for i, chunk := range chunks {
		size += len(chunk)
		if size > maxSegment && i > 0 {
			return chunks[:i]
		}
	}
	return chunks
}

// refusalToWire returns the message with which a refusal is sent to another instance.
func refusalToWire(r *call.Refusal) *wire.RefusalNote {
	return &wire.RefusalNote{Code: string(r.Code()), Reason: r.Reason(), Outcome: string(r.Outcome())}
}
