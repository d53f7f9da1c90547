package conns

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// maxInlineBody is the largest body, in bytes, that Send writes together with its
// header. A longer body is written in the background, because the endpoint may
// respond before it has read all of it.
const maxInlineBody = 32 << 10

// maxResponses is the largest number of responses that one call of ReadResponse
// reads, including the interim (1xx) ones.
const maxResponses = 4

// Conn is a connection to an endpoint, made by Pool.Get. It serves one request at a
// time.
type Conn struct {
	address     string // address of the endpoint, by which the pool lists the connection
	nc          net.Conn
	limit       *headerLimit
	br          *bufio.Reader // reads from nc through limit
	openedAt    time.Time
	idleSince   time.Time     // when the connection was last put into the pool
	idleTimeout time.Duration // how long the connection may stay idle in the pool
	relayed     bool          // the connection leads by way of a peer
	reused      bool          // the connection has served a request before
	closing     bool          // the connection is closed after the response, by the endpoint or by Retire
	unread      bool          // the body of the last response was not read to its end
	bodyResult  chan error    // receives the result of a background write of the body; nil if there is none
}

func newConn(address string, nc net.Conn) *Conn {
	limit := &headerLimit{reader: nc}
	return &Conn{address: address, nc: nc, openedAt: time.Now(), limit: limit, br: bufio.NewReader(limit), idleTimeout: defaultIdleTimeout}
}

// Reused reports whether the connection has served a request before.
func (c *Conn) Reused() bool { return c.reused }

// Relayed reports whether the connection leads by way of a peer. Such a connection is not reused.
func (c *Conn) Relayed() bool { return c.relayed }

// OpenedAt returns when the connection was opened.
func (c *Conn) OpenedAt() time.Time { return c.openedAt }

// Retire makes Pool.Put close the connection, because the endpoint has sent a response on it
// that belongs to no request or to another one.
func (c *Conn) Retire() { c.closing = true }

// Close closes the connection. It may be called while another method runs, which
// then fails.
func (c *Conn) Close() {
	if err := c.nc.Close(); err != nil {
		return // already closed
	}
}

// Request is a request in the form in which Send writes it to a connection.
type Request struct {
	Method string
	Target string // path and query, escaped as the caller sent them
	Host   string
	Header http.Header
	Body   []byte
}

// head returns the request line and the headers in the form in which they are sent,
// including the empty line at the end.
func (r *Request) head() []byte {
	var b bytes.Buffer
	b.Grow(1024)
	for _, s := range []string{r.Method, " ", r.Target, " HTTP/1.1\r\nHost: ", r.Host, "\r\n"} {
		b.WriteString(s)
	}
	if err := r.Header.Write(&b); err != nil {
		panic(err) // writes to a buffer do not fail
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// Send writes a request to the connection. After an error, part of the request may
// have been sent. A body longer than maxInlineBody may still be in transmission when
// Send returns.
func (c *Conn) Send(r *Request) error {
	head := r.head()
	if len(r.Body) <= maxInlineBody {
		_, err := c.nc.Write(append(head, r.Body...))
		return errors.Wrap(err, "conns: send the request to the endpoint")
	}
	if _, err := c.nc.Write(head); err != nil {
		return errors.Wrap(err, "conns: send the header of the request to the endpoint")
	}
	c.bodyResult = make(chan error, 1)
	go func(done chan<- error) {
		_, err := c.nc.Write(r.Body)
		done <- err
	}(c.bodyResult)
	return nil
}

// ReadResponse reads the header of the next final response on the connection. It
// skips interim (1xx) responses, except 101. The method of r decides whether the
// response has a body, which the caller reads. The response may belong to an earlier
// request on the connection, so the caller checks which request it answers.
func (c *Conn) ReadResponse(r *Request) (*http.Response, error) {
	for range maxResponses {
		c.limit.start()
		resp, err := http.ReadResponse(c.br, &http.Request{Method: r.Method})
		c.limit.stop()
		if err != nil {
			return nil, errors.Wrap(err, "conns: read the header of the endpoint's response")
		}
		if resp.StatusCode < http.StatusContinue {
			return nil, errors.Newf("conns: the endpoint's response has the status %03d, which is none", resp.StatusCode)
		}
		if resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
			c.closing = c.closing || resp.Close
			if resp.Body != http.NoBody {
				c.unread = true
				resp.Body = &body{ReadCloser: resp.Body, conn: c, endsByClose: FramingOf(resp) == ByClose}
			}
			return resp, nil
		}
	}
	return nil, errors.New("conns: the endpoint sent only interim (1xx) responses to the request")
}

// body is the body of a response. It records on its connection that it was read to its
// end.
type body struct {
	io.ReadCloser
	conn        *Conn
	endsByClose bool
}

// errUploadBroken means that a response ended with its connection while the body of the request could not be
// written to its end. The system reports a reset only once, to whoever reads or writes first, so the
// response may have been broken off by one.
var errUploadBroken = errors.New("conns: the connection ended before the request was written")

// Read reads from the body of the response.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	if b.endsByClose && !b.conn.uploaded() {
		return n, errUploadBroken
	}
	b.conn.unread = false
	return n, io.EOF
}

// uploadTimeout is how long the end of a write is waited for after the endpoint has closed its connection. A write
// that the reset of the connection ends returns at once.
const uploadTimeout = 200 * time.Millisecond

// uploaded reports whether the body of the last request was written to its end.
func (c *Conn) uploaded() bool {
	if c.bodyResult == nil {
		return true
	}
	timeout := time.NewTimer(uploadTimeout)
	defer timeout.Stop()
	select {
	case err := <-c.bodyResult:
		c.bodyResult = nil
		c.closing = c.closing || err != nil
		return err == nil
	case <-timeout.C:
		return false
	}
}

// SetIdleTimeout sets the idle timeout that the endpoint announced for the
// connection. The connection expires in the pool earlier than that, so that it is
// not reused while the endpoint closes it. If d is 0, the endpoint announced no
// timeout, and SetIdleTimeout changes nothing.
func (c *Conn) SetIdleTimeout(d time.Duration) {
	if d > 0 {
		c.idleTimeout = max(d-idleMargin, d/2)
	}
}

// Reusable reports whether the connection may serve another request: the endpoint
// keeps it open, the last request was fully written, the body of the last response was
// read to its end, and no unread bytes are buffered.
func (c *Conn) Reusable() bool {
	if c.closing || c.relayed || c.unread || c.br.Buffered() > 0 {
		return false
	}
	if c.bodyResult == nil {
		return true
	}
	select {
	case err := <-c.bodyResult:
		c.bodyResult = nil
		return err == nil
	default:
		return false // the body is still being written
	}
}

// expired reports whether the connection has been in the pool for at least its idle
// timeout.
func (c *Conn) expired(now time.Time) bool { return now.Sub(c.idleSince) >= c.idleTimeout }

// healthy reports whether an idle connection has not expired, is still open and has
// no bytes to read. If the socket of the connection is not accessible, only the
// expiry and the buffered bytes are checked.
func (c *Conn) healthy(now time.Time) bool {
	if c.expired(now) || c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.nc.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}
