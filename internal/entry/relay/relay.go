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
	// ErrRunLost means that the engine has lost the run, or can't be reached.
	ErrRunLost = errors.New("relay: the engine lost the run")
	// ErrCallerGone means that whoever took the answer takes no more.
	ErrCallerGone = errors.New("relay: the caller is gone")
	// ErrDiverged means that a second run does not begin as the first did.
	ErrDiverged = errors.New("relay: a second run differs from what was delivered")
)

// resumeLimit is how many connections in a row may bring nothing once a stream
// has begun.
const resumeLimit = 4

// Sink takes the pieces of one answer, in order and once each.
type Sink struct {
	// Chunk takes the next chunk. More says that another is at hand, so that this
	// one need not be sent at once.
	Chunk func(data string, more bool) error
	// End takes the last chunk and the usage of the run.
	End func(data string, u price.Usage) error
}

// Cursor is how far an answer has been delivered, over all runs of its call.
// The zero value is the beginning.
type Cursor struct {
	next int
	sum  uint64
}

// Delivered returns the number of pieces delivered.
func (c *Cursor) Delivered() int { return c.next }

// Deliver delivers the next piece of an answer that another instance makes.
func (c *Cursor) Deliver(data string, more bool, sink Sink) error {
	if err := sink.Chunk(data, more); err != nil {
		return errors.Mark(err, ErrCallerGone)
	}
	c.next++
	c.sum = fold(c.sum, data)
	return nil
}

// Runner makes streams.
type Runner struct {
	// Start begins a run; Resume opens a new connection to one.
	Start  func(ctx context.Context, base string, c *call.Call) (*send.Stream, error)
	Resume func(ctx context.Context, base string, c *call.Call, offset int) (*send.Stream, error)
	Logger log.Interface
}

// NewRunner returns an engine that a sender reaches.
func NewRunner(s *send.Sender, logger log.Interface) *Runner {
	return &Runner{Start: s.Start, Resume: s.Resume, Logger: logger}
}

// run is one run of a call at one engine.
type run struct {
	engine *Runner
	base   string
	call   *call.Call
	cursor *Cursor
	sink   Sink
	at     int // offset that is due from this run
	sum    uint64
	begun  time.Time
	barren int // connections in a row that brought nothing
}

// Run runs c at the engine at base and delivers what the cursor lacks. Errors
// are those of package send that say that nothing ran, ErrLost, ErrGone,
// ErrDiffers, send.ErrRejected, or the context's.
func (e *Runner) Run(ctx context.Context, base string, c *call.Call, cursor *Cursor, sink Sink) (price.Usage, error) {
	r := &run{engine: e, base: base, call: c, cursor: cursor, sink: sink, begun: time.Now()}
	stream, err := e.Start(ctx, base, c)
	return r.follow(ctx, stream, err)
}

// Attach delivers a run that is already at the engine.
func (e *Runner) Attach(ctx context.Context, base string, c *call.Call, cursor *Cursor, sink Sink) (price.Usage, error) {
	r := &run{engine: e, base: base, call: c, cursor: cursor, sink: sink, begun: time.Now()}
	stream, err := e.Resume(ctx, base, c, 0)
	return r.follow(ctx, stream, err)
}

// follow reads connection after connection until the run ends.
func (r *run) follow(ctx context.Context, stream *send.Stream, err error) (price.Usage, error) {
	for {
		var usage price.Usage
		var ended bool
		if err == nil {
			usage, ended, err = r.read(stream)
		}
		if ended || r.final(ctx, err) {
			return usage, r.verdict(ctx, err)
		}
		r.engine.Logger.Infof("relay: request %s resumes at %d on a new connection: %s", r.call.ID(), r.at, err)
		stream, err = r.engine.Resume(ctx, r.base, r.call, r.at)
	}
}

// final reports whether an error can't be mended by a new connection.
func (r *run) final(ctx context.Context, err error) bool {
	if ctx.Err() != nil {
		return true
	}
	switch {
	case errors.Is(err, send.ErrStreamExists):
		return false
	case errors.Is(err, send.ErrStalled), errors.Is(err, send.ErrBroken):
		r.barren++
		if r.at == 0 {
			return time.Since(r.begun) > r.call.Service().FirstByteTimeout()
		}
		return r.barren > resumeLimit
	default:
		return true
	}
}

// verdict names the error that ends the run.
func (r *run) verdict(ctx context.Context, err error) error {
	switch {
	case err == nil:
		return nil
	case ctx.Err() != nil:
		return context.Cause(ctx)
	case errors.Is(err, send.ErrNoStream), errors.Is(err, send.ErrStalled), errors.Is(err, send.ErrBroken):
		return errors.Mark(err, ErrRunLost)
	case errors.Is(err, send.ErrNotAccepted) && r.barren > 0:
		return errors.Mark(err, ErrRunLost)
	default:
		return err
	}
}

// read delivers from one connection. It reports whether the run has ended.
func (r *run) read(stream *send.Stream) (price.Usage, bool, error) {
	defer stream.Close()
	return r.take(stream.Chunks())
}

func (r *run) take(pieces iter.Seq2[send.Chunk, error]) (price.Usage, bool, error) {
	for p, err := range pieces {
		if err != nil {
			return price.Usage{}, false, err
		}
		if p.Offset < r.at {
			continue
		}
		if p.Offset > r.at {
			return price.Usage{}, false, errors.Wrapf(send.ErrBroken, "gap from %d to %d", r.at, p.Offset)
		}
		if err := r.deliver(p); err != nil {
			return price.Usage{}, true, err
		}
		if p.Last {
			return p.Usage, true, nil
		}
	}
	return price.Usage{}, false, send.ErrBroken
}

// deliver hands a piece on, unless an earlier run of the call has delivered
// the same.
func (r *run) deliver(p send.Chunk) error {
	r.barren = 0
	r.at++
	r.sum = fold(r.sum, p.Data)
	switch {
	case r.at <= r.cursor.next && p.Last:
		return ErrDiverged
	case r.at < r.cursor.next:
		return nil
	case r.at == r.cursor.next && r.sum == r.cursor.sum:
		return nil
	case r.at == r.cursor.next:
		return ErrDiverged
	}
	if err := r.pass(p); err != nil {
		return errors.Mark(err, ErrCallerGone)
	}
	r.cursor.next, r.cursor.sum = r.at, r.sum
	return nil
}

func (r *run) pass(p send.Chunk) error {
	if p.Last {
		return r.sink.End(p.Data, p.Usage)
	}
	return r.sink.Chunk(p.Data, p.More)
}

// fold adds a chunk's choices, the part that two runs have in common, to a sum.
func fold(sum uint64, data string) uint64 {
	if i := strings.Index(data, `"choices":`); i >= 0 {
		data = data[i:]
	}
	return sum*1099511628211 ^ xxhash.Sum64String(data)
}
