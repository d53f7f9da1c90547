package relay

import (
	"context"
	"iter"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"jacinthladder.dev/internal/entry/call"
	"jacinthladder.dev/internal/entry/price"
	"jacinthladder.dev/internal/entry/send"
)

var (
	// ErrRunLost means that the engine has lost the run or is unreachable.
	ErrRunLost = errors.New("relay: the engine lost the run or is unreachable")
	// ErrCallerGone means that the reader of the response has disconnected.
	ErrCallerGone = errors.New("relay: the caller disconnected")
	// ErrDiverged means that a second run does not start with the chunks that were
	// delivered from the first.
	ErrDiverged = errors.New("relay: a second run differs from the delivered chunks")
)

// maxEmptyConns is the maximum number of consecutive connections to a run without a new
// chunk, once the run has delivered its first chunk. After one more, the run is lost.
const maxEmptyConns = 4

// Sink receives the chunks of one response, in order and once each. If one of its
// functions returns an error, the reader of the response counts as disconnected. The
// response of a plain service is a single chunk, which End receives.
type Sink struct {
	// Chunk receives the next chunk, unless it is the last. If more is true, another chunk is already
	// buffered and this one need not be flushed.
	Chunk func(data string, more bool) error
	// End receives the last chunk of the response and the usage of the run.
	End func(data string, u price.Usage) error
}

// Cursor is the position up to which a response has been delivered, over all runs
// of its call. The zero value is the start of the response.
type Cursor struct {
	next int    // offset of the next chunk to deliver
	hash uint64 // of the delivered chunks, as addHash adds them
}

// Delivered returns the number of chunks delivered.
func (c *Cursor) Delivered() int { return c.next }

// Deliver passes the next chunk of a response that another instance produces to a sink
// and advances the cursor. The arguments data and more are those of Sink.Chunk. If the
// sink returns an error, Deliver returns ErrCallerGone.
func (c *Cursor) Deliver(data string, more bool, sink Sink) error {
	if err := sink.Chunk(data, more); err != nil {
		return errors.Mark(err, ErrCallerGone)
	}
	c.next++
	c.hash = addHash(c.hash, data)
	return nil
}

// Runner runs calls at engines and delivers their streams.
type Runner struct {
	// Start starts a run of a call at the engine with the URL base. Resume opens a new
	// connection to that run, from the chunk at offset on.
	Start  func(ctx context.Context, base string, c *call.Call) (*send.Stream, error)
	Resume func(ctx context.Context, base string, c *call.Call, offset int) (*send.Stream, error)
	Logger log.Interface
}

// NewRunner returns a runner that reaches engines through s.
func NewRunner(s *send.Sender, logger log.Interface) *Runner {
	return &Runner{Start: s.Start, Resume: s.Resume, Logger: logger}
}

// run is one run of a call at one engine.
type run struct {
	runner     *Runner
	base       string // URL of the engine
	call       *call.Call
	cursor     *Cursor
	sink       Sink
	offset     int    // of the next chunk of this run
	hash       uint64 // of this run's chunks so far, as addHash adds them
	startedAt  time.Time
	emptyConns int // consecutive connections without a new chunk
}

// Run runs c at the engine with the URL base and delivers to the sink the chunks after
// the cursor, which it advances. It returns the usage that the engine reports. The error
// is ErrRunLost, ErrCallerGone, ErrDiverged, send.ErrRejected, the context's error, or an
// error of package send that means that nothing ran.
func (runner *Runner) Run(ctx context.Context, base string, c *call.Call, cursor *Cursor, sink Sink) (price.Usage, error) {
	r := &run{runner: runner, base: base, call: c, cursor: cursor, sink: sink, startedAt: time.Now()}
	stream, err := runner.Start(ctx, base, c)
	return r.readUntilEnd(ctx, stream, err)
}

// Attach delivers a run of c that the engine with the URL base has already started. It
// reads the run from its start, and is otherwise like Run.
func (runner *Runner) Attach(ctx context.Context, base string, c *call.Call, cursor *Cursor, sink Sink) (price.Usage, error) {
	r := &run{runner: runner, base: base, call: c, cursor: cursor, sink: sink, startedAt: time.Now()}
	stream, err := runner.Resume(ctx, base, c, 0)
	return r.readUntilEnd(ctx, stream, err)
}

// readUntilEnd reads the run from stream, and from new connections after errors that
// these can recover from, until the run ends. The argument err is the error with which
// stream was opened.
func (r *run) readUntilEnd(ctx context.Context, stream *send.Stream, err error) (price.Usage, error) {
	for {
		var usage price.Usage
		var ended bool
		if err == nil {
			usage, ended, err = r.readConn(stream)
		}
		if ended || r.unrecoverable(ctx, err) {
			return usage, r.classify(ctx, err)
		}
		r.runner.Logger.Infof("relay: request %s resumes at chunk %d on a new connection after error: %s", r.call.ID(), r.offset, err)
		stream, err = r.runner.Resume(ctx, r.base, r.call, r.offset)
	}
}

// unrecoverable reports whether a new connection can't recover from an error. Before the
// first chunk of the run, new connections are tried until the service's first-byte
// time-out; after it, until there were more than maxEmptyConns in a row without a new
// chunk. unrecoverable counts them in r.emptyConns.
func (r *run) unrecoverable(ctx context.Context, err error) bool {
	if ctx.Err() != nil {
		return true
	}
	switch {
	case errors.Is(err, send.ErrStreamExists):
		return false // the engine already has the run, and Resume reads it
	case errors.Is(err, send.ErrStalled), errors.Is(err, send.ErrBroken):
		r.emptyConns++
		if r.offset == 0 {
			return time.Since(r.startedAt) > r.call.Service().FirstByteTimeout()
		}
		return r.emptyConns > maxEmptyConns
	default:
		return true
	}
}

// classify returns the error with which the run ends, given the error of its last
// connection.
func (r *run) classify(ctx context.Context, err error) error {
	switch {
	case err == nil:
		return nil
	case ctx.Err() != nil:
		return context.Cause(ctx)
	case errors.Is(err, send.ErrNoStream), errors.Is(err, send.ErrStalled), errors.Is(err, send.ErrBroken):
		return errors.Mark(err, ErrRunLost)
	case errors.Is(err, send.ErrNotAccepted) && r.emptyConns > 0:
		// An earlier connection was made, so the run may have started.
		return errors.Mark(err, ErrRunLost)
	default:
		return err
	}
}

// readConn delivers the chunks of one connection and closes it. It returns the usage of
// the run, and true if the run has ended: its last chunk was delivered, or a
// delivery failed.
func (r *run) readConn(stream *send.Stream) (price.Usage, bool, error) {
	defer stream.Close()
	return r.deliverAll(stream.Chunks())
}

// deliverAll delivers chunks up to the last chunk of the run. Its results are those of
// readConn.
func (r *run) deliverAll(chunks iter.Seq2[send.Chunk, error]) (price.Usage, bool, error) {
	for chunk, err := range chunks {
		if err != nil {
			return price.Usage{}, false, err
		}
		if chunk.Offset < r.offset {
			continue
		}
		if chunk.Offset > r.offset {
			return price.Usage{}, false, errors.Wrapf(send.ErrBroken, "expected the chunk at offset %d, got offset %d", r.offset, chunk.Offset)
		}
		if err := r.deliver(chunk); err != nil {
			return price.Usage{}, true, err
		}
		if chunk.Last {
			return chunk.Usage, true, nil
		}
	}
	return price.Usage{}, false, send.ErrBroken
}

// deliver delivers a chunk, unless an earlier run of the call has delivered the chunk at
// its offset. It returns ErrDiverged if this run does not start with the chunks that
// earlier runs delivered, and ErrCallerGone if the sink returns an error.
func (r *run) deliver(chunk send.Chunk) error {
	r.emptyConns = 0
	r.offset++
	r.hash = addHash(r.hash, chunk.Data)
	switch {
	case r.offset <= r.cursor.next && chunk.Last:
		return ErrDiverged
	case r.offset < r.cursor.next:
		return nil
	case r.offset == r.cursor.next && r.hash == r.cursor.hash:
		return nil
	case r.offset == r.cursor.next:
		return ErrDiverged
	}
	if err := r.forward(chunk); err != nil {
		return errors.Mark(err, ErrCallerGone)
	}
	r.cursor.next, r.cursor.hash = r.offset, r.hash
	return nil
}

// forward passes a chunk to the sink.
func (r *run) forward(chunk send.Chunk) error {
	if chunk.Last {
		return r.sink.End(chunk.Data, chunk.Usage)
	}
	return r.sink.Chunk(chunk.Data, chunk.More)
}

// addHash adds the data of a chunk, from its choices on, to a running hash. The fields
// before the choices may differ between two runs of one call. The factor is the prime of
// the 64-bit FNV hash.
func addHash(hash uint64, data string) uint64 {
	if i := strings.Index(data, `"choices":`); i >= 0 {
		data = data[i:]
	}
	return hash*1099511628211 ^ xxhash.Sum64String(data)
}
