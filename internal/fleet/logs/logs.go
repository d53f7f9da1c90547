// Package logs writes structured log lines without blocking the caller.
//
// A Writer is a handler of package apex/log. It encodes an entry as one line of
// JSON and queues it; Run writes the queued lines. If the queue is full, or more
// lines arrive per second than allowed, the line is dropped and counted. The next
// line that is written has the number of dropped lines.
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
	// maxPerSecond and maxBurst limit the rate of accepted lines below the level
	// of a warning.
	maxPerSecond = 1500
	maxBurst     = 1500
)

// Writer is a log handler. Make one with New.
type Writer struct {
	queue      chan []byte
	limit      *rate.Limiter
	dropped    atomic.Int64
	unreported atomic.Int64 // lines dropped since the last line was encoded
}

// New returns a writer with an empty queue.
func New() *Writer {
	return &Writer{queue: make(chan []byte, queueSize), limit: rate.NewLimiter(maxPerSecond, maxBurst)}
}

// Dropped returns the number of lines that were dropped.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

type record struct {
	Time    string     `json:"time"`
	Level   string     `json:"level"`
	Message string     `json:"message"`
	Fields  log.Fields `json:"fields,omitempty"`
	Dropped int64      `json:"dropped,omitempty"`
}

// HandleLog queues an entry, or drops it. It does not block.
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

func (w *Writer) drop() {
	w.dropped.Add(1)
	w.unreported.Add(1)
}

// Run writes the queue to out until ctx ends and the queue is empty.
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

func (w *Writer) flush(batch *bytes.Buffer, out io.Writer) {
	if _, err := out.Write(batch.Bytes()); err != nil {
		w.drop() // the log can't be written, so the loss is only counted
	}
	batch.Reset()
}
