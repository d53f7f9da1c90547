package caller

import (
	"bytes"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"jacinthladder.dev/internal/fleet/memory"
	"jacinthladder.dev/internal/fleet/socket"
)

const (
	// headFactor is how much memory a byte of a head takes, and lineBytes how much a line takes beyond that:
	// the server keeps each line in a map of lists, and it is copied for the endpoint.
	headFactor = 2
	lineBytes  = 256
	// writeTimeout is the time in which a caller must take writePiece bytes of its response. One that takes
	// less keeps an endpoint from others, too.
	writeTimeout = 10 * time.Second
	writePiece   = 16 << 10
	// connBytes is what an open connection takes: the buffers of the kernel, and those of the server as
	// far as they are more than what the kernel has of the same bytes.
	connBytes = socket.ReceiveBuffer + socket.SendBuffer
	// connFiles is the number of files that a connection takes: its own, and that to an endpoint.
	connFiles = 2
	// minBlocked is how long a write has been blocked before the connection may be ended for others.
	minBlocked = time.Second
)

// refusal is sent to a caller in place of a response when there is no room for the head of its request. It asks the
// caller to retry after retryAfter seconds.
const (
	refusal    = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: " + retryAfter + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	retryAfter = "1"
)

// errEnded is the error of reads from a connection that was ended for others. It is a timeout, so that the
// server closes the connection without a response if the head is not complete.
var errEnded net.Error = endedError{}

type endedError struct{}

func (endedError) Error() string   { return "caller: the connection was ended for others" }
func (endedError) Timeout() bool   { return true }
func (endedError) Temporary() bool { return false }

// phase is what a connection does.
type phase int

const (
	head    phase = iota // waits for the head of a request, or reads it
	body                 // reads a body, or what is left of it
	running              // serves a request
)

// conn is a connection of a caller. Its reservation is ended only while it waits for the caller.
type conn struct {
	net.Conn
	bound    *memory.Bound
	reserved *memory.Reservation

	mu        sync.Mutex
	phase     phase
	unread    bool      // the request has a body that is not read to its end
	inRequest bool      // between beginRequest and endRequest
	blocked   time.Time // since when a write is in progress, zero if there is none
	ended     bool      // was ended for others
	closed    bool
}

// open opens the reservation of the connection and reports whether there is room for it.
func (c *conn) open() bool {
	var ok bool
	if c.reserved, ok = c.bound.Open(connBytes, connFiles, c.end); ok {
		c.reserved.Wait()
	}
	return ok
}

// end ends the connection for others, if it waits for its caller. A body that is being read is refused then.
func (c *conn) end() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed:
		return true
	case !c.blocked.IsZero():
		if time.Since(c.blocked) < minBlocked {
			return false
		}
		c.ended = true
		go c.reset()
		return true
	case c.phase == running:
		return false
	}
	c.ended = true
	return c.Conn.SetReadDeadline(time.Unix(1, 0)) == nil
}

// isEnded reports whether the connection was ended for others.
func (c *conn) isEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

// Read reads from the connection. What belongs to a head is taken from the bound, and the connection ends
// if there is no room.
func (c *conn) Read(b []byte) (int, error) {
	if c.isEnded() {
		return 0, errEnded
	}
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	inHead, ended := c.phase == head, c.ended
	c.mu.Unlock()
	if ended {
		return 0, errEnded
	}
	if inHead && n > 0 && !c.reserved.Grow(int64(headFactor*n+lineBytes*bytes.Count(b[:n], []byte{'\n'}))) {
		c.refuseHead()
		return 0, errEnded
	}
	return n, err
}

// refuseHead refuses the request whose head is being read, and ends the connection.
func (c *conn) refuseHead() {
	c.mu.Lock()
	c.ended = true
	c.mu.Unlock()
	if _, err := c.Write([]byte(refusal)); err != nil {
		return // the caller has gone
	}
}

// Write writes to the connection. It fails if the caller takes less than writePiece bytes in writeTimeout.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	waits := c.phase == running
	c.blocked = time.Now()
	c.mu.Unlock()
	if waits {
		c.reserved.Wait()
	}
	n, err := c.writePieces(b)
	c.mu.Lock()
	c.blocked = time.Time{}
	waits = waits && c.phase == running
	c.mu.Unlock()
	if waits {
		c.reserved.Run()
	}
	return n, err
}

// writePieces writes b, with a deadline for each piece.
func (c *conn) writePieces(b []byte) (int, error) {
	written := 0
	for first := true; first || written < len(b); first = false {
		if err := c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(b[written:min(len(b), written+writePiece)])
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// SetReadDeadline sets the read deadline that the server requests, unless the connection was ended for others.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetLinger sets how Close handles data that was not sent, as net.TCPConn.SetLinger does.
func (c *conn) SetLinger(seconds int) error {
	l, ok := c.Conn.(interface{ SetLinger(seconds int) error })
	if !ok {
		return errors.Newf("caller: a connection of type %T has no linger option", c.Conn)
	}
	return l.SetLinger(seconds)
}

// CloseWrite shuts down the writing side of the connection, as net.TCPConn.CloseWrite does.
func (c *conn) CloseWrite() error {
	w, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.Newf("caller: a connection of type %T has no writing side of its own", c.Conn)
	}
	return w.CloseWrite()
}

// reset closes the connection with a TCP reset, so that the kernel keeps nothing of it.
func (c *conn) reset() {
	if err := c.SetLinger(0); err != nil {
		c.Close()
		return
	}
	c.Close()
}

// Close closes the connection. Its reservation is closed when its request has ended, too.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.mu.Lock()
	c.closed = true
	inRequest := c.inRequest
	c.mu.Unlock()
	if !inRequest {
		c.reserved.Close()
	}
	return err
}

// enter records what the connection does now. It reports whether the connection was not ended for others.
func (c *conn) enter(p phase) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = p
	if p == running {
		c.reserved.Run()
	} else {
		c.reserved.Wait()
	}
	return !c.ended
}

// awaitHead records that the connection waits for a request.
func (c *conn) awaitHead() { c.enter(head) }

// beginRequest records that a request has begun. It reports whether the connection was not ended for others while the
// head was read.
func (c *conn) beginRequest(hasBody bool) bool {
	begins := c.enter(running)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inRequest, c.unread = true, hasBody
	return begins
}

// endRequest gives back what the request has taken. What is left of its body is read for lingerTime at most.
func (c *conn) endRequest() {
	c.mu.Lock()
	c.inRequest = false
	unread, closed := c.unread, c.closed
	c.mu.Unlock()
	if closed {
		c.reserved.Close()
		return
	}
	c.reserved.ShrinkTo(connBytes)
	c.enter(body)
	if unread {
		if err := c.SetReadDeadline(time.Now().Add(lingerTime)); err != nil {
			return // the connection is closed already
		}
	}
}
