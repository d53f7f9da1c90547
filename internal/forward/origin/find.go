package origin

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"jacinthladder.dev/internal/fleet/pause"
)

var (
	// ErrUnknown means that the origin of a stream is known nowhere and will not be.
	ErrUnknown = errors.New("origin: nobody knows which version began the stream")
	// ErrUnreachable means that those who may know the origin of a stream could not all be asked.
	ErrUnreachable = errors.New("origin: not all that may know which version began the stream could be asked")
)

const (
	// askTimeout bounds the questions to peers.
	askTimeout = 250 * time.Millisecond
	// minReadInterval is the shortest interval between two reads from the platform, readSpread its part
	// for each live instance, because all of them may have to read at once, and each reads what all
	// have written. maxReadWait bounds the time that a request waits for the next read.
	minReadInterval = 100 * time.Millisecond
	readSpread      = 10 * time.Millisecond
	maxReadWait     = 300 * time.Millisecond
	// askHeadStart is the time from the questions to peers to the read from the platform.
	askHeadStart = 15 * time.Millisecond
)

// errUnsettled means that the platform has lost writes, and what instances remember of them is not
// written again yet.
var errUnsettled = errors.New("origin: the platform has lost writes a moment ago")

// reading is what one read from the platform has shown, with the versions that this instance knows to
// be listed.
type reading struct {
	begunAt time.Time
	listed  listing
	settled bool              // no listed version is missing
	stored  bool              // the stored origins were read
	streams map[digest]Origin // the stored origins
	err     error
}

// answer is the result of one way to find an origin.
type answer struct {
	origin Origin
	found  bool
	err    error // why it is not known that there is none
}

// known returns the origin, or ErrUnknown if it is one that is remembered as unknown.
func (o Origin) known() (Origin, error) {
	if o.Version == "" {
		return Origin{}, ErrUnknown
	}
	return o, nil
}

// Find returns the origin of the stream that the request with the given ID began, or with an
// empty ID that of a stream of which nothing is known. Services are those that the stream may have
// begun at. It fails with ErrUnknown or ErrUnreachable.
func (r *Register) Find(ctx context.Context, id string, services []string) (Origin, error) {
	if id != "" {
		if o, ok := r.Known(id); ok {
			return o.known()
		}
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	arrivedAt := time.Now()
	answers := make(chan answer, 2)
	ways := 1
	head := time.Duration(0)
	peersDone := make(chan struct{})
	if id != "" {
		ways, head = 2, askHeadStart
		go func() {
			defer close(peersDone)
			answers <- r.askPeers(ctx, id)
		}()
	}
	go func() {
		select {
		case <-time.After(head):
		case <-peersDone:
		case <-ctx.Done():
		}
		if ctx.Err() == nil {
			answers <- r.askStore(ctx, digestOf(id), services, arrivedAt)
		}
	}()
	result := error(ErrUnknown)
	for range ways {
		var a answer
		select {
		case a = <-answers:
		case <-ctx.Done():
			return Origin{}, errors.Mark(ctx.Err(), ErrUnreachable)
		}
		if a.found {
			return a.origin.known()
		}
		if a.err != nil {
			result = errors.Mark(a.err, ErrUnreachable)
		}
	}
	return Origin{}, result
}

// askPeers asks the peers for the origin of a stream.
func (r *Register) askPeers(ctx context.Context, id string) answer {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	o, found, complete := r.Ask(ctx, id)
	if !found && !complete {
		return answer{err: errors.New("origin: not all peers replied")}
	}
	return answer{origin: o, found: found}
}

// askStore looks for the origin of a stream on the platform, in what is read there from the time
// since on.
func (r *Register) askStore(ctx context.Context, id digest, services []string, since time.Time) answer {
	got := r.read(ctx, since, len(services) > 1)
	if got.err != nil {
		return answer{err: got.err}
	}
	if o, ok := got.streams[id]; ok {
		return answer{origin: o, found: true}
	}
	if !got.settled {
		return answer{err: errUnsettled}
	}
	if len(services) == 1 && len(got.listed[services[0]]) == 1 {
		return answer{origin: Origin{Service: services[0], Version: got.listed[services[0]][0]}, found: true}
	}
	return answer{}
}

// read reads the listed versions, and the stored origins if a service is ambiguous or the caller wants
// them. A read that began at the time since or later serves all that wait for one.
func (r *Register) read(ctx context.Context, since time.Time, wantStored bool) reading {
	r.readMu.Lock()
	defer r.readMu.Unlock()
	if last := r.lastRead; !last.begunAt.Before(since) && (last.stored || last.err != nil || !wantStored) {
		return last
	}
	interval := max(minReadInterval, time.Duration(r.Members())*readSpread)
	if wait := interval - time.Since(r.lastRead.begunAt); wait > maxReadWait {
		return reading{err: errors.New("origin: the platform was read a moment ago")}
	} else if wait > 0 {
		pause.For(ctx, wait)
	}
	ctx = context.WithoutCancel(ctx) // others wait for the result too
	got := reading{begunAt: time.Now()}
	stored, err := r.readListing(ctx)
	if got.err = err; err == nil {
		r.Merge(stored.listing)
		r.noteStored(stored.era)
		got.listed, _ = stored.with(r.Listing())
		got.settled = r.settled()
	}
	if got.err == nil && (wantStored || len(r.ambiguous(got.listed)) > 0) {
		got.streams, got.err = r.readStreams(ctx)
		got.stored = got.err == nil
	}
	r.lastRead = got
	return got
}

// readStreams reads the stored origins of the streams of all instances.
func (r *Register) readStreams(ctx context.Context) (map[digest]Origin, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	page, err := r.Store.Watch(ctx, StreamsKind, 0, 0)
	if err != nil {
		return nil, err
	}
	streams := map[digest]Origin{}
	for _, o := range page.Objects() {
		if o.Deleted() {
			continue
		}
		if err := decodeStreams(o.Value(), func(id digest, o Origin) { streams[id] = o }); err != nil {
			r.Logger.WithError(err).WithField("object", o.Name()).Warn("origin: left out stored origins that cannot be read")
		}
	}
	return streams, nil
}
