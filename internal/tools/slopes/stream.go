package slopes

import (
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

// lastEvent ends every complete stream of the chat completions interface.
var lastEvent = []byte("data: [DONE]\n\n")

// readStream reads a stream and drops it. A stream that ends without its last event is an
// error, because a response that ends with its connection has no other sign of its end.
func readStream(r io.Reader) error {
	end := &endWriter{}
	if _, err := io.Copy(end, r); err != nil {
		return err
	}
	if !bytes.Equal(end.last, lastEvent) {
		return errors.Newf("measure stream: it ended with %q, want %q", end.last, lastEvent)
	}
	return nil
}

// endWriter keeps the last bytes that were written, as many as lastEvent has.
type endWriter struct{ last []byte }

// Write replaces the kept bytes.
func (e *endWriter) Write(b []byte) (int, error) {
	e.last = append(e.last, b[max(0, len(b)-len(lastEvent)):]...)
	e.last = append(e.last[:0], e.last[max(0, len(e.last)-len(lastEvent)):]...)
	return len(b), nil
}
