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
	// ErrRunLost means that the engine has lost the run of the call or is unreachable.
	// The call may run again at another engine.
	ErrRunLost = errors.New("relay: the engine lost the run or is unreachable")
	// ErrCallerGone means that the reader of the response has disconnected.
	ErrCallerGone = errors.New("relay: the caller disconnected")
	// ErrDiverged means that a second run of a call does not start with the chunks
	// that were delivered from the first run.
	ErrDiverged = errors.New("relay: a second run differs from the delivered chunks")
)

// maxEmptyConns is the maximum number of consecutive connections to a run that bring
// no new chunk, once the run has delivered its first chunk. After one more such
// connection, the run counts as lost.
const maxEmptyConns = 4

// Sink receives the chunks of one response in order, each of them once. If one of its
// functions returns an error, the reader of the response counts as disconnected. The
// response of a plain service is a single chunk, which End receives.
type Sink struct {
	// Chunk receives the next chunk, unless it is the last chunk of the response. If
	// more is true, the following chunk is already buffered and this one need not be
	// flushed.
	Chunk func(data string, more bool) error
	// End receives the last chunk of the response and the usage of the run.
	End func(data string, u price.Usage) error
}

// Cursor is the position up to which the response to a call has been delivered, over
// all runs of the call. The zero value is the start of the response.
type Cursor struct {
	next int    // offset of the next chunk to deliver
	hash uint64 // running hash of the delivered chunks, made by addHash
}

// Delivered returns the number of chunks of the response that have been delivered.
func (c *Cursor) Delivered() int { return c.next }

// Deliver passes the next chunk of a response that another instance produces to a
// sink, and advances the cursor. The arguments data and more are those of Sink.Chunk.
// If the sink returns an error, the cursor stays where it is and Deliver returns
// ErrCallerGone.
func (c *Cursor) Deliver(data string, more bool, sink Sink) error {
	if err := sink.Chunk(data, more); err != nil {
		return errors.Mark(err, ErrCallerGone)
	}
	c.next++
	c.hash = addHash(c.hash, data)
	return nil
}

// Runner runs calls at engines and delivers the engines' streams to sinks.
type Runner struct {
	// Start starts a run of a call at the engine with the URL base. Resume opens a new
	// connection to that run, which starts with the chunk at offset.
	Start  func(ctx context.Context, base string, c *call.Call) (*send.Stream, error)
	Resume func(ctx context.Context, base string, c *call.Call, offset int) (*send.Stream, error)
	Logger log.Interface
}

// NewRunner returns a runner that starts and resumes the streams of engines through s.
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
	offset     int       // offset of the next chunk to read from this run
	hash       uint64    // running hash of the chunks read from this run, made by addHash
	startedAt  time.Time // when this instance began the run or attached to it
	emptyConns int       // consecutive connections without a new chunk
}

// Run runs c at the engine with the URL base. It delivers the chunks after the cursor
// to the sink, and advances the cursor. It returns the usage that the engine reports.
// The error is ErrRunLost, ErrCallerGone, ErrDiverged, send.ErrRejected, the cause of
// the end of ctx, or an error of package send that means that the call did not run.
func (runner *Runner) Run(ctx context.Context, base string, c *call.Call, cursor *Cursor, sink Sink) (price.Usage, error) {
	r := &run{runner: runner, base: base, call: c, cursor: cursor, sink: sink, startedAt: time.Now()}
	stream, err := runner.Start(ctx, base, c)
	return r.readUntilEnd(ctx, stream, err)
}

// Attach delivers a run of c that was already started at the engine with the URL base,
// such as the run of an instance that is gone. It reads the run from its first chunk
// on. The cursor, the sink and the results are those of Run.
func (runner *Runner) Attach(ctx context.Context, base string, c *call.Call, cursor *Cursor, sink Sink) (price.Usage, error) {
	r := &run{runner: runner, base: base, call: c, cursor: cursor, sink: sink, startedAt: time.Now()}
	stream, err := runner.Resume(ctx, base, c, 0)
	return r.readUntilEnd(ctx, stream, err)
}

// readUntilEnd delivers the run until it ends, and returns its usage. It reads from
// stream first. After an error that a new connection can recover from, it resumes the
// run on a new connection. The argument err is the error of opening stream, or nil if
// stream is open.
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

// unrecoverable reports whether the run must be given up after the error err, because
// a new connection can't recover from it. Before the first chunk of the run, new
// connections are tried until the service's first-byte time-out. After the first
// chunk, they are tried until more than maxEmptyConns in a row have brought no new
// chunk. unrecoverable counts such connections in r.emptyConns.
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

// classify returns the error with which the run ends, given the error err of its last
// connection. It returns nil if err is nil.
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

// readConn delivers the chunks of one connection and closes the connection. It returns
// the usage of the run if the run's last chunk was delivered. The bool reports whether
// the run has ended: its last chunk was delivered, or a delivery failed.
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

// deliver delivers a chunk, unless an earlier run of the call has delivered the chunk
// at its offset. It returns ErrDiverged if this run does not start with the chunks
// that earlier runs delivered. It returns ErrCallerGone if the sink returns an error.
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

// forward passes a chunk to the sink: the last chunk of the run to Sink.End, any other
// to Sink.Chunk.
func (r *run) forward(chunk send.Chunk) error {
	if chunk.Last {
		return r.sink.End(chunk.Data, chunk.Usage)
	}
	return r.sink.Chunk(chunk.Data, chunk.More)
}

// addHash returns the running hash after one more chunk with the given data. Only the
// data from the field choices on counts, because the fields before it may differ
// between two runs of the same call. The factor is the prime of the 64-bit FNV hash.
func addHash(hash uint64, data string) uint64 {
	if i := strings.Index(data, `"choices":`); i >= 0 {
		data = data[i:]
	}
	return hash*1099511628211 ^ xxhash.Sum64String(data)
}
