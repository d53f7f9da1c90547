package conns

import (
	"bufio"
	"bytes"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// inlineBody is the largest body that is written together with its header. A
// longer one is written beside the reading of the answer, which may come first.
const inlineBody = 32 << 10

// maxInterim bounds the interim (1xx) answers before the final one.
const maxInterim = 4

// Conn is one connection. It is used by one request at a time.
type Conn struct {
	address string
	nc      net.Conn
	br      *bufio.Reader
	since   time.Time     // when it became idle
	keep    time.Duration // how long the endpoint keeps it idle
	reused  bool
	done    bool // the endpoint closes it
	sent    chan error
}

func newConn(address string, nc net.Conn) *Conn {
	return &Conn{address: address, nc: nc, br: bufio.NewReader(nc), keep: idleMost}
}

// Reused reports whether the connection has served a request before.
func (c *Conn) Reused() bool { return c.reused }

// Close closes the connection. It may be called at any time, also beside the
// other methods, which then fail.
func (c *Conn) Close() {
	if err := c.nc.Close(); err != nil {
		return // closed before
	}
}

// Request is what goes over the wire, byte for byte.
type Request struct {
	Method string
	Target string // path and query as the caller sent them
	Host   string
	Header http.Header
	Body   []byte
}

func (r *Request) head() []byte {
	var b bytes.Buffer
	b.Grow(1024)
	for _, s := range []string{r.Method, " ", r.Target, " HTTP/1.1\r\nHost: ", r.Host, "\r\n"} {
		b.WriteString(s)
	}
	if err := r.Header.Write(&b); err != nil {
		panic(err) // a buffer takes everything
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// Send writes a request. After an error the request may have left in part.
func (c *Conn) Send(r *Request) error {
	head := r.head()
	if len(r.Body) <= inlineBody {
		_, err := c.nc.Write(append(head, r.Body...))
		return errors.Wrap(err, "conns: send")
	}
	if _, err := c.nc.Write(head); err != nil {
		return errors.Wrap(err, "conns: send")
	}
	c.sent = make(chan error, 1)
	go func(done chan<- error) {
		_, err := c.nc.Write(r.Body)
		done <- err
	}(c.sent)
	return nil
}

// ReadResponse reads the header of the next answer on the connection.
func (c *Conn) ReadResponse(r *Request) (*http.Response, error) {
	for range maxInterim {
		resp, err := http.ReadResponse(c.br, &http.Request{Method: r.Method})
		if err != nil {
			return nil, errors.Wrap(err, "conns: answer")
		}
		if resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
			c.done = c.done || resp.Close
			return resp, nil
		}
	}
	return nil, errors.New("conns: too many interim answers")
}

// SetIdleTimeout sets how long the endpoint keeps the connection idle.
func (c *Conn) SetIdleTimeout(d time.Duration) {
	if d > 0 {
		c.keep = max(d-idleMargin, d/2)
	}
}

// reusable reports whether the last exchange left the connection clean.
func (c *Conn) reusable() bool {
	if c.done || c.br.Buffered() > 0 {
		return false
	}
	if c.sent == nil {
		return true
	}
	select {
	case err := <-c.sent:
		c.sent = nil
		return err == nil
	default:
		return false // the body is still on its way
	}
}

func (c *Conn) expired(now time.Time) bool { return now.Sub(c.since) >= c.keep }

// sound reports whether an idle connection is still open and silent.
func (c *Conn) sound(now time.Time) bool {
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
