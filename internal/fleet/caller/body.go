package caller

import (
	"net/http"

	"github.com/cockroachdb/errors"

	"jacinthladder.dev/internal/fleet/memory"
)

// ReadBody reads the body of a request to its end, at most limit bytes. Its room is taken from the reservation in
// the context of the request, as memory.ReadAll does, and stays taken until the request has ended. It fails with
// memory.ErrNoRoom also if the connection is ended for others before the body is complete.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	c, reserved := from(r), memory.From(r.Context())
	if c == nil {
		return memory.ReadAll(r.Body, reserved, r.ContentLength, limit)
	}
	if !c.enter(body) {
		return nil, memory.ErrNoRoom
	}
	data, err := memory.ReadAll(r.Body, reserved, r.ContentLength, limit)
	if !c.enter(running) || errors.Is(err, errEnded) {
		return nil, memory.ErrNoRoom
	}
	if err != nil {
		return nil, err
	}
	c.bodyRead()
	w.Header().Del("Connection")
	return data, nil
}

// bodyRead records that the body of the request was read to its end.
func (c *conn) bodyRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unread = false
}
