// Package drain ends the connections of an HTTP server without ever cutting off
// a request.
//
// The idea. http.Server.Shutdown closes a connection that it takes for idle; a
// request that arrives at that moment may have been read, and is lost. Here every
// connection knows whether a byte of a request has been read since the last
// answer. To close an idle one, its reads are ended first; only a read that has
// brought nothing ends the connection, and one that has brought something goes on.
// What was not read then is closed with the connection, which tells the client
// that it may send the request again elsewhere.
package drain

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// roundTime is how often connections that are idle are looked for.
const roundTime = 20 * time.Millisecond

// queueTime is how long a listener that closes goes on to take connections, so
// that none that waits in its queue is reset.
const queueTime = 50 * time.Millisecond

// past is a deadline that has always passed.
var past = time.Unix(1, 0)

// Conns keeps the connections of one server. The zero value is ready. Its server
// must serve its Listener and Handler and tell it of states by State.
type Conns struct {
	mu      sync.Mutex
	open    map[*conn]struct{}
	leaving bool
}

// Listener returns l with its connections kept here.
func (d *Conns) Listener(l net.Listener) net.Listener {
	return &listener{Listener: l, conns: d, ended: make(chan struct{})}
}

// Handler returns next with answers that end their connection once Leave is
// called.
func (d *Conns) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.isLeaving() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// ConnState notes that a connection waits for its next request. It is meant for
// http.Server.ConnState.
func (d *Conns) ConnState(nc net.Conn, s http.ConnState) {
	if c, ok := nc.(*conn); ok && s == http.StateIdle {
		c.rest()
	}
}

// DisableKeepAlives makes all answers from now on end their connection.
func (d *Conns) DisableKeepAlives() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leaving = true
}

func (d *Conns) isLeaving() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leaving
}

// Len returns the number of open connections.
func (d *Conns) Len() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.open)
}

// Drain ends idle connections until none is open. When ctx ends first, the others
// are left as they are. The listener must be closed before, by Close.
func (d *Conns) Drain(ctx context.Context) error {
	d.DisableKeepAlives()
	t := time.NewTicker(roundTime)
	defer t.Stop()
	for {
		d.mu.Lock()
		for c := range d.open {
			c.shut()
		}
		open := len(d.open)
		d.mu.Unlock()
		if open == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Newf("drain: %d connections were cut off", open)
		case <-t.C:
		}
	}
}

// CloseListener ends a listener once the connections that wait in its queue are taken.
// Its server must be serving.
func (d *Conns) CloseListener(l net.Listener) error {
	w, ok := l.(*listener)
	if !ok {
		return l.Close()
	}
	w.ending.Store(true)
	if t, ok := w.Listener.(*net.TCPListener); ok {
		if err := t.SetDeadline(time.Now().Add(queueTime)); err != nil {
			return errors.Wrap(err, "drain")
		}
		<-w.ended
	}
	if err := w.Listener.Close(); !errors.Is(err, net.ErrClosed) { // the server closes it too
		return err
	}
	return nil
}

type listener struct {
	net.Listener
	conns  *Conns
	ending atomic.Bool
	once   sync.Once
	ended  chan struct{} // closed once nothing more is accepted
}

// Accept returns the next connection, kept.
func (l *listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		if l.ending.Load() {
			l.once.Do(func() { close(l.ended) })
			err = net.ErrClosed
		}
		return nil, err
	}
	c := &conn{Conn: nc, conns: l.conns}
	l.conns.mu.Lock()
	defer l.conns.mu.Unlock()
	if l.conns.open == nil {
		l.conns.open = map[*conn]struct{}{}
	}
	l.conns.open[c] = struct{}{}
	return c, nil
}

// conn is one connection of the server.
type conn struct {
	net.Conn
	conns *Conns

	mu   sync.Mutex
	busy bool // a byte was read since the last answer
	ends bool // reads are ended
}

// Read reads, and notes that a request has begun.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.busy = true
		if c.ends {
			c.ends = false
			err = errors.CombineErrors(err, c.Conn.SetReadDeadline(time.Time{}))
		}
	}
	return n, err
}

// SetReadDeadline sets the deadline of reads, unless they are ended.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ends {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Close closes the connection and forgets it.
func (c *conn) Close() error {
	c.conns.mu.Lock()
	delete(c.conns.open, c)
	c.conns.mu.Unlock()
	return c.Conn.Close()
}

// rest notes that the last request is answered.
func (c *conn) rest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = false
}

// shut ends the reads of an idle connection. The server then closes it.
func (c *conn) shut() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy || c.ends {
		return
	}
	c.ends = true
	if err := c.Conn.SetReadDeadline(past); err != nil {
		return // closed already
	}
}
