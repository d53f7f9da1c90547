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
	// pollWait is how long one poll of a peer waits for the next chunk.
	pollWait = time.Second
	// pollGrace is added to pollWait for the time-out of a poll.
	pollGrace = 500 * time.Millisecond
	// maxPollFailures is the number of consecutive failed polls after which the
	// instance that produces the response counts as gone.
	maxPollFailures = 3
	// maxSegment limits one segment of a response, in bytes.
	maxSegment = 1 << 20
	// storeTimeout limits one write of a response to the platform.
	storeTimeout = 5 * time.Second
)

// runKeyed starts the attempt for a key if there is none yet, and delivers its
// response to this caller. The attempt continues if the caller disconnects.
func (p *Pipeline) runKeyed(ctx context.Context, c *call.Call, sink relay.Sink) error {
	e, first, err := p.Replays.Begin(c)
	if err != nil {
		return err
	}
	if first {
		p.background.Go(func() { p.runAttempt(context.WithoutCancel(ctx), c, e) })
	}
	return e.Response().Follow(ctx, sink)
}

// runAttempt runs the attempt for a key and ends its entry in Replays.
func (p *Pipeline) runAttempt(ctx context.Context, c *call.Call, e *replay.Entry) {
	run := p.runRegistered
	if !c.Retryable() {
		run = p.runClaimed
	}
	err := run(ctx, c, e.Response().Sink())
	p.Replays.End(e, err, !notRun(err), c.Service().ReplayTTL())
}

// attemptOf describes this instance's attempt at a call.
func (p *Pipeline) attemptOf(c *call.Call) dedup.Attempt {
	return dedup.Attempt{Key: replay.ScopedKey(c), Digest: c.Digest(), Request: c.ID(), Process: p.Registry.Process()}
}

// publishEndpoint reports the endpoint of a keyed call to the owners of its key.
func (p *Pipeline) publishEndpoint(ctx context.Context, c *call.Call, endpoint string) {
	if c.Key() == "" {
		return
	}
	a := p.attemptOf(c)
	a.Endpoint = endpoint
	p.background.Go(func() { p.Registry.SetEndpoint(context.WithoutCancel(ctx), a) })
}

// runRegistered registers the attempt in the fleet and runs it, or follows the
// attempt that another instance has registered.
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

// dispatch runs a call according to the kind of its service.
func (p *Pipeline) dispatch(ctx context.Context, c *call.Call, sink relay.Sink) error {
	if c.Chat().Model != "" {
		return p.runChat(ctx, c, sink)
	}
	return p.runPlain(ctx, c, sink)
}

// joinAttempt follows the attempt of another instance, and takes it over if that
// instance is gone.
func (p *Pipeline) joinAttempt(ctx context.Context, c *call.Call, attempt dedup.Attempt, sink relay.Sink) error {
	if attempt.Digest != c.Digest() {
		return call.Refuse(call.KeyReused, "the idempotency key was used for another request")
	}
	ctx, cancel := context.WithDeadline(ctx, c.Deadline())
	defer cancel()
	var cursor relay.Cursor
	for {
		p.Logger.Infof("claim: request %s follows %s at %s", c.ID(), attempt.Request, attempt.Process)
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
	p.Logger.Warnf("claim: request %s taken over from %s", attempt.Request, attempt.Process)
	return p.takeOver(ctx, c.WithID(attempt.Request), attempt.Endpoint, &cursor, sink)
}

// follow delivers the response that another instance produces.
// ErrUnknownProcess means that the instance is gone or does not know the request.
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

func (p *Pipeline) fetchSegment(ctx context.Context, ask *wire.FollowAsk) (*wire.FollowAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, pollWait+pollGrace)
	defer cancel()
	return p.FollowPeer(ctx, ask)
}

// deliverSegment delivers a segment and reports whether the response has ended.
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

// takeOver continues the attempt of an instance that is gone. It reads the
// engine's stream from its endpoint if one is known, and otherwise, or if the
// stream is lost, runs the call again.
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

// runClaimed runs a call that must not run twice. It stores a claim on the
// platform before it sends the call.
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

// storeResponse stores the response in the claim.
func (p *Pipeline) storeResponse(c *call.Call, key, body string) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if err := p.Claimer.Finish(ctx, key, c.ID(), c.Digest(), body); err != nil {
		p.Logger.WithError(err).Warnf("claim: the response to request %s was not stored", c.ID())
	}
}

// abandonedByPeer asks the instance that made a claim whether it abandoned the
// request, which then did not run and will not run.
func (p *Pipeline) abandonedByPeer(ctx context.Context, key string, other once.Claim) bool {
	if other.Process == p.Registry.Process() {
		return false // this instance's Claimer has already checked its own requests
	}
	segment, err := p.fetchSegment(ctx, &wire.FollowAsk{Key: key, Request: other.Request, Process: other.Process})
	return err == nil && segment.GetVoid()
}

// joinClaim delivers the response of the request that holds the claim. It never
// runs the call again.
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

// ServeFollow returns the next segment of a response that this instance produces
// to an instance that follows it.
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

// limitSegment returns the first chunks that fit into one segment, at least one.
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

func refusalToWire(r *call.Refusal) *wire.RefusalNote {
	return &wire.RefusalNote{Code: string(r.Code()), Reason: r.Reason(), Outcome: string(r.Outcome())}
}
