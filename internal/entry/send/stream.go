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
	// maxChunk is the maximum size of one chunk of a stream, in bytes. A stream with a
	// larger chunk fails with ErrBroken.
	maxChunk = 1 << 20
	// bufferSize is the size of the read buffer and of the write buffer of a pooled
	// connection, and of the buffer of an eventReader, in bytes.
	bufferSize = 2 << 10
)

// eventReader splits a response body into server-sent events. Each Read returns data
// of at most one event. The data after that event stays in the buffer, so that
// hasEvent can report whether the next event has already arrived.
type eventReader struct{ buffer *bufio.Reader }

// eventEnd ends a server-sent event: the line break of its last line and an empty
// line.
var eventEnd = []byte("\n\n")

// Read copies buffered data into p, up to the end of the first buffered event. If the
// buffer is empty, Read waits for data.
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

// hasEvent reports whether a complete event is in the buffer.
func (r *eventReader) hasEvent() bool {
	data, err := r.buffer.Peek(r.buffer.Buffered())
	return err == nil && bytes.Contains(data, eventEnd)
}

// Chunk is one server-sent event of an engine's stream.
type Chunk struct {
	Offset int         // index of the chunk in the stream, from 0
	Data   string      // JSON data of the event as the engine wrote it
	More   bool        // the next chunk has already arrived and is buffered
	Last   bool        // the chunk ends the response and carries the usage of the run
	Usage  price.Usage // usage of the whole run, set if Last is true
}

// Stream is an open connection to the stream of a call at an engine. The caller must
// close it after use.
type Stream struct {
	id       string
	body     io.ReadCloser
	ctx      context.Context
	cancel   context.CancelCauseFunc
	watchdog *watchdog
}

// Close closes the connection. The engine continues the run, so the stream can be
// resumed on another connection.
func (s *Stream) Close() {
	s.watchdog.stop()
	s.cancel(nil)
	if err := s.body.Close(); err != nil {
		return // the connection is closed in any case
	}
}

// Chunks yields the chunks of the stream in order, up to and including the last chunk
// of the response. If the stream fails before that, Chunks yields one error and ends.
// The error is ErrStalled, ErrBroken or the cause with which the context of the
// request ended. A chunk that belongs to another stream is reported as ErrBroken.
func (s *Stream) Chunks() iter.Seq2[Chunk, error] {
	return func(yield func(Chunk, error) bool) {
		s.watchdog.reset()
		events := &eventReader{buffer: bufio.NewReaderSize(s.body, bufferSize)}
		for e, err := range sse.Read(events, &sse.ReadConfig{MaxEventSize: maxChunk}) {
			s.watchdog.stop()
			if err != nil {
				yield(Chunk{}, s.readError(err))
				return
			}
			chunk, err := s.parseChunk(e)
			chunk.More = events.hasEvent()
			if !yield(chunk, err) || err != nil || chunk.Last {
				return
			}
			s.watchdog.reset()
		}
		yield(Chunk{}, s.readError(io.ErrUnexpectedEOF))
	}
}

// readError returns the error for a read that failed with err. If the context of the
// request has ended, that is the cause of its end, such as ErrStalled. Otherwise it is
// err marked as ErrBroken.
func (s *Stream) readError(err error) error {
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

// parseChunk decodes a server-sent event and checks that it belongs to this stream. A
// chunk with a usage object is the last chunk of the response. Invalid data is
// reported as ErrBroken.
func (s *Stream) parseChunk(e sse.Event) (Chunk, error) {
	offset, err := strconv.Atoi(e.LastEventID)
	if err != nil {
		return Chunk{}, errors.Wrap(ErrBroken, "event ID of the chunk is not an offset")
	}
	if !s.hasOwnID(e.Data) {
		return Chunk{}, errors.Wrap(ErrBroken, "chunk has the ID of another stream")
	}
	chunk := Chunk{Offset: offset, Data: e.Data}
	if !strings.Contains(e.Data, `"usage":{`) {
		return chunk, nil
	}
	var end struct {
		Usage usageFields `json:"usage"`
	}
	if err := json.Unmarshal([]byte(e.Data), &end); err != nil {
		return Chunk{}, errors.Mark(err, ErrBroken)
	}
	chunk.Last, chunk.Usage = true, end.Usage.usage()
	return chunk, nil
}

// hasOwnID reports whether the data of a chunk carries the ID of this stream. If the
// data starts with the field id, only that start is compared. Other data is decoded to
// find the ID.
func (s *Stream) hasOwnID(data string) bool {
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

// usageFields is the usage object of the chat completions API.
type usageFields struct {
	Prompt     int64 `json:"prompt_tokens"`
	Completion int64 `json:"completion_tokens"`
	Details    struct {
		Cached int64 `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// usage returns the token counts as a price.Usage.
func (u usageFields) usage() price.Usage {
	return price.Usage{Input: u.Prompt, Cached: u.Details.Cached, Output: u.Completion}
}

// watchdog cancels the context of a stream with the cause ErrStalled if the stream
// receives no data within a time-out.
type watchdog struct {
	timeout time.Duration
	timer   *time.Timer
	cancel  context.CancelCauseFunc
}

// newWatchdog returns a watchdog whose time-out starts now. The function cancel
// cancels the context of the stream.
func newWatchdog(timeout time.Duration, cancel context.CancelCauseFunc) *watchdog {
	w := &watchdog{timeout: timeout, cancel: cancel}
	w.timer = time.AfterFunc(timeout, func() { cancel(ErrStalled) })
	return w
}

// reset starts the time-out from now.
func (w *watchdog) reset() { w.timer.Reset(w.timeout) }

// stop ends the time-out, so that the stream is not cancelled until the next reset.
func (w *watchdog) stop() { w.timer.Stop() }
