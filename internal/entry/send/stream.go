package send

import (
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

// maxPiece bounds one piece of a stream in bytes.
const maxPiece = 1 << 20

// Piece is one event of a stream.
type Piece struct {
	Offset int         // place in the stream, from 0
	Data   string      // the chunk as the engine wrote it
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

// Pieces yields the pieces until the last one, or an error: ErrSilent,
// ErrBroken, or the context's. A piece of another stream is an error.
func (s *Stream) Pieces() iter.Seq2[Piece, error] {
	return func(yield func(Piece, error) bool) {
		s.watch.reset()
		for e, err := range sse.Read(s.body, &sse.ReadConfig{MaxEventSize: maxPiece}) {
			s.watch.stop()
			if err != nil {
				yield(Piece{}, s.failure(err))
				return
			}
			p, err := s.piece(e)
			if !yield(p, err) || err != nil || p.Last {
				return
			}
			s.watch.reset()
		}
		yield(Piece{}, s.failure(io.ErrUnexpectedEOF))
	}
}

func (s *Stream) failure(err error) error {
	cause := context.Cause(s.ctx)
	switch {
	case errors.Is(cause, ErrSilent):
		return ErrSilent
	case cause != nil:
		return cause
	default:
		return errors.Mark(err, ErrBroken)
	}
}

// piece checks an event: it must belong to this stream.
func (s *Stream) piece(e sse.Event) (Piece, error) {
	offset, err := strconv.Atoi(e.LastEventID)
	if err != nil {
		return Piece{}, errors.Wrap(ErrBroken, "a piece without offset")
	}
	if !s.owns(e.Data) {
		return Piece{}, errors.Wrap(ErrBroken, "a piece of another stream")
	}
	p := Piece{Offset: offset, Data: e.Data}
	if !strings.Contains(e.Data, `"usage":{`) {
		return p, nil
	}
	var end struct {
		Usage usageText `json:"usage"`
	}
	if err := json.Unmarshal([]byte(e.Data), &end); err != nil {
		return Piece{}, errors.Mark(err, ErrBroken)
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
	w.timer = time.AfterFunc(gap, func() { cancel(ErrSilent) })
	return w
}

func (w *watch) reset() { w.timer.Reset(w.gap) }

func (w *watch) stop() { w.timer.Stop() }
