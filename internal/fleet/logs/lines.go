// Package logs writes structured log lines without ever holding up the caller.
//
// The idea. A Writer is a handler of package apex/log. It turns an entry into
// one line of JSON and queues it; Run writes the queue out. When the queue is
// full, or more lines come in a second than allowed, the line is dropped and
// counted, and the next line written says how many were.
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
	// queueSize is the most lines that wait to be written.
	queueSize = 2048
	// perSecond and burst bound the lines accepted.
	perSecond = 1500
	burst     = 1500
)

// Writer is a log handler. Make one with New.
type Writer struct {
	queue   chan []byte
	limit   *rate.Limiter
	dropped atomic.Int64
	lost    atomic.Int64 // dropped since the last line written
}

// New returns a writer that has written nothing.
func New() *Writer {
	return &Writer{queue: make(chan []byte, queueSize), limit: rate.NewLimiter(perSecond, burst)}
}

// Dropped returns the lines that were not written.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

type line struct {
	Time    string     `json:"time"`
	Level   string     `json:"level"`
	Message string     `json:"message"`
	Fields  log.Fields `json:"fields,omitempty"`
	Dropped int64      `json:"dropped,omitempty"`
}

// HandleLog queues an entry. It never waits.
func (w *Writer) HandleLog(e *log.Entry) error {
	if e.Level < log.WarnLevel && !w.limit.Allow() {
		w.drop()
		return nil
	}
	data, err := json.Marshal(line{
		Time: e.Timestamp.UTC().Format("15:04:05.000"), Level: e.Level.String(),
		Message: e.Message, Fields: e.Fields, Dropped: w.lost.Swap(0),
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
	w.lost.Add(1)
}

// Run writes the queue to out until ctx ends and the queue is empty.
func (w *Writer) Run(ctx context.Context, out io.Writer) {
	var batch bytes.Buffer
	for {
		select {
		case l := <-w.queue:
			batch.Write(l)
		case <-ctx.Done():
			w.gather(&batch)
			w.flush(&batch, out)
			return
		}
		w.gather(&batch)
		w.flush(&batch, out)
	}
}

func (w *Writer) gather(batch *bytes.Buffer) {
	for {
		select {
		case l := <-w.queue:
			batch.Write(l)
		default:
			return
		}
	}
}

func (w *Writer) flush(batch *bytes.Buffer, out io.Writer) {
	if _, err := out.Write(batch.Bytes()); err != nil {
		w.drop() // nobody reads the log
	}
	batch.Reset()
}
