// Package logs writes structured log lines without blocking the caller.
//
// A Writer is a handler of package apex/log. It encodes each log entry as one line of
// JSON and queues the line; Run writes the queued lines. A line is dropped and counted if
// the queue is full, or if lines below the level of a warning arrive faster than allowed.
// A line contains the number of lines dropped since the previous line was encoded.
package logs

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"sync/atomic"

	"github.com/apex/log"
	"golang.org/x/time/rate"
)

const (
	// queueSize is the maximum number of queued lines.
	queueSize = 2048
	// maxPerSecond is the maximum rate, in lines per second, of lines below the level of
	// a warning. maxBurst is the maximum number of such lines at once. Lines beyond
	// these limits are dropped.
	maxPerSecond = 1500
	maxBurst     = 1500
)

// Writer is a handler of package apex/log that queues log lines until Run writes them.
// Create one with New.
type Writer struct {
	queue      chan []byte   // encoded lines that Run has not written yet
	limit      *rate.Limiter // limits the lines below the level of a warning
	dropped    atomic.Int64  // lines dropped since the writer was made
	unreported atomic.Int64  // lines dropped since the last line was encoded
}

// New returns a writer with an empty queue. Lines are written only while Run runs.
func New() *Writer {
	return &Writer{queue: make(chan []byte, queueSize), limit: rate.NewLimiter(maxPerSecond, maxBurst)}
}

// Dropped returns the number of lines dropped since the writer was made. A batch of lines
// that Run could not write counts as one line.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// record is the JSON form of a log line.
type record struct {
	Time    string     `json:"time"`
	Level   string     `json:"level"`
	Message string     `json:"message"`
	Fields  log.Fields `json:"fields,omitempty"`
	Dropped int64      `json:"dropped,omitempty"` // lines dropped since the last line was encoded
}

// HandleLog encodes a log entry and queues its line, or drops it and returns nil if the
// queue is full or the rate of lines below a warning is too high. It does not block. It
// returns an error if the entry can't be encoded.
func (w *Writer) HandleLog(e *log.Entry) error {
	if e.Level < log.WarnLevel && !w.limit.Allow() {
		w.drop()
		return nil
	}
	data, err := json.Marshal(record{
		Time: e.Timestamp.UTC().Format("15:04:05.000"), Level: e.Level.String(),
		Message: e.Message, Fields: e.Fields, Dropped: w.unreported.Swap(0),
	})
	if err != nil {
		return err
	}
	select {
	case w.queue <- append(data, '\n'):
	default:
		w.drop()
	}
	return nil
}

// drop counts one dropped line, for Dropped and for the next line that is encoded.
func (w *Writer) drop() {
	w.dropped.Add(1)
	w.unreported.Add(1)
}

// Run writes the queued lines to out until ctx ends. It then writes the lines that are
// still queued and returns.
func (w *Writer) Run(ctx context.Context, out io.Writer) {
	var batch bytes.Buffer
	for {
		select {
		case line := <-w.queue:
			batch.Write(line)
		case <-ctx.Done():
			w.drainQueue(&batch)
			w.flush(&batch, out)
			return
		}
		w.drainQueue(&batch)
		w.flush(&batch, out)
	}
}

// drainQueue moves all queued lines to batch without waiting for more.
func (w *Writer) drainQueue(batch *bytes.Buffer) {
	for {
		select {
		case line := <-w.queue:
			batch.Write(line)
		default:
			return
		}
	}
}

// flush writes batch to out and empties it.
func (w *Writer) flush(batch *bytes.Buffer, out io.Writer) {
	if _, err := out.Write(batch.Bytes()); err != nil {
		w.drop() // the log can't be written, so the loss of the batch is only counted, as one line
	}
	batch.Reset()
}
