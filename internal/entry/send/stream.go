package send

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"iter"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tmaxmax/go-sse"

	"jacinthladder.dev/internal/entry/price"
)

const (
	// maxPiece bounds one piece of a stream in bytes.
	maxPiece = 1 << 20
	// bufferSize is what one read takes of a connection, in bytes.
	bufferSize = 2 << 10
)

// eventReader hands a stream of events on one event at a time, so that it is
// known whether the next is at hand.
type eventReader struct{ buffer *bufio.Reader }

var eventEnd = []byte("\n\n")

// Read reads up to the end of the event that is at hand.
func (r *eventReader) Read(p []byte) (int, error) {
	if _, err := r.buffer.Peek(1); err != nil {
		return 0, err
	}
	data, err := r.buffer.Peek(min(r.buffer.Buffered(), len(p)))
	if err != nil {
		return 0, err
	}
	if i := bytes.Index(data, eventEnd); i >= 0 {
		data = data[:i+len(eventEnd)]
	}
	n := copy(p, data)
	_, err = r.buffer.Discard(n)
	return n, err
}

// more reports whether a whole event is at hand.
func (r *eventReader) more() bool {
	data, err := r.buffer.Peek(r.buffer.Buffered())
	return err == nil && bytes.Contains(data, eventEnd)
}

// Chunk is one event of a stream.
type Chunk struct {
	Offset int         // place in the stream, from 0
	Data   string      // the chunk as the engine wrote it
	More   bool        // the next piece is at hand already
	Last   bool        // the piece ends the answer and carries its usage
	Usage  price.Usage // of the whole run, with Last
}

// Stream is an open stream of an engine. Close it after use.
type Stream struct {
	id     string
	body   io.ReadCloser
	ctx    context.Context
	cancel context.CancelCauseFunc
	watch  *watch
}

// Close ends the connection. The run goes on at the engine.
func (s *Stream) Close() {
	s.watch.stop()
	s.cancel(nil)
	if err := s.body.Close(); err != nil {
		return // the connection is gone either way
	}
}

// Chunks yields the pieces until the last one, or an error: ErrSilent,
// ErrBroken, or the context's. A piece of another stream is an error.
func (s *Stream) Chunks() iter.Seq2[Chunk, error] {
	return func(yield func(Chunk, error) bool) {
		s.watch.reset()
		events := &eventReader{buffer: bufio.NewReaderSize(s.body, bufferSize)}
		for e, err := range sse.Read(events, &sse.ReadConfig{MaxEventSize: maxPiece}) {
			s.watch.stop()
			if err != nil {
				yield(Chunk{}, s.failure(err))
				return
			}
			p, err := s.piece(e)
			p.More = events.more()
			if !yield(p, err) || err != nil || p.Last {
				return
			}
			s.watch.reset()
		}
		yield(Chunk{}, s.failure(io.ErrUnexpectedEOF))
	}
}

func (s *Stream) failure(err error) error {
	cause := context.Cause(s.ctx)
	switch {
	case errors.Is(cause, ErrStalled):
		return ErrStalled
	case cause != nil:
		return cause
	default:
		return errors.Mark(err, ErrBroken)
	}
}

// piece checks an event: it must belong to this stream.
func (s *Stream) piece(e sse.Event) (Chunk, error) {
	offset, err := strconv.Atoi(e.LastEventID)
	if err != nil {
		return Chunk{}, errors.Wrap(ErrBroken, "a piece without offset")
	}
	if !s.owns(e.Data) {
		return Chunk{}, errors.Wrap(ErrBroken, "a piece of another stream")
	}
	p := Chunk{Offset: offset, Data: e.Data}
	if !strings.Contains(e.Data, `"usage":{`) {
		return p, nil
	}
	var end struct {
		Usage usageText `json:"usage"`
	}
	if err := json.Unmarshal([]byte(e.Data), &end); err != nil {
		return Chunk{}, errors.Mark(err, ErrBroken)
	}
	p.Last, p.Usage = true, end.Usage.usage()
	return p, nil
}

// owns reports whether a chunk carries this stream's ID.
func (s *Stream) owns(data string) bool {
	rest, ok := strings.CutPrefix(data, `{"id":"`)
	if ok {
		id, ok := strings.CutPrefix(rest, s.id)
		return ok && strings.HasPrefix(id, `"`)
	}
	var head struct {
		ID string `json:"id"`
	}
	err := json.NewDecoder(bytes.NewReader([]byte(data))).Decode(&head)
	return err == nil && head.ID == s.id
}

type usageText struct {
	Prompt     int64 `json:"prompt_tokens"`
	Completion int64 `json:"completion_tokens"`
	Details    struct {
		Cached int64 `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

func (u usageText) usage() price.Usage {
	return price.Usage{Input: u.Prompt, Cached: u.Details.Cached, Output: u.Completion}
}

// watch cancels a stream that makes no progress in time.
type watch struct {
	gap    time.Duration
	timer  *time.Timer
	cancel context.CancelCauseFunc
}

func newWatch(gap time.Duration, cancel context.CancelCauseFunc) *watch {
	w := &watch{gap: gap, cancel: cancel}
	w.timer = time.AfterFunc(gap, func() { cancel(ErrStalled) })
	return w
}

func (w *watch) reset() { w.timer.Reset(w.gap) }

func (w *watch) stop() { w.timer.Stop() }
