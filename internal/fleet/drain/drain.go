// Package drain closes the connections of an HTTP server without losing a request.
//
// http.Server.Shutdown closes a connection that it considers idle, even if a request
// arrives at that moment: the request may have been read, and is then lost. In this
// package each connection records whether a byte of a request has been read since
// the last response. To close an idle connection, its reads are ended first, by a
// deadline in the past. If the last read returned no data, the server closes the
// connection; if it returned data, the connection continues. Data that was not read
// is discarded with the connection, which tells the client that it may send the
// request again elsewhere.
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

// drainInterval is how often Drain looks for idle connections.
const drainInterval = 20 * time.Millisecond

// acceptGrace is how long a listener that is being closed continues to accept
// connections, so that connections in its accept queue are not reset.
const acceptGrace = 50 * time.Millisecond

// pastDeadline is a deadline in the past, which ends reads at once.
var pastDeadline = time.Unix(1, 0)

// Conns tracks the open connections of one server. The zero value is ready to use.
// The server must serve its Listener and Handler, and its field
// http.Server.ConnState must be the method ConnState.
type Conns struct {
	mu           sync.Mutex
	open         map[*conn]struct{}
	noKeepAlives bool
}

// Listener returns a listener that accepts the connections of l and tracks them.
func (d *Conns) Listener(l net.Listener) net.Listener {
	return &listener{Listener: l, conns: d, done: make(chan struct{})}
}

// Handler returns a handler that calls next and, after DisableKeepAlives, closes the
// connection after each response.
func (d *Conns) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.keepAlivesDisabled() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// ConnState records that a connection became idle. It is the callback for
// http.Server.ConnState.
func (d *Conns) ConnState(nc net.Conn, s http.ConnState) {
	if c, ok := nc.(*conn); ok && s == http.StateIdle {
		c.markIdle()
	}
}

// DisableKeepAlives makes each further response close its connection.
func (d *Conns) DisableKeepAlives() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.noKeepAlives = true
}

func (d *Conns) keepAlivesDisabled() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.noKeepAlives
}

// Len returns the number of open connections.
func (d *Conns) Len() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.open)
}

// Drain closes idle connections until no connection is open. If ctx ends first, it
// leaves the remaining connections open and returns an error. The listener must have
// been closed by CloseListener.
func (d *Conns) Drain(ctx context.Context) error {
	d.DisableKeepAlives()
	t := time.NewTicker(drainInterval)
	defer t.Stop()
	for {
		d.mu.Lock()
		for c := range d.open {
			c.endReads()
		}
		open := len(d.open)
		d.mu.Unlock()
		if open == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Newf("drain: ended with %d connections still open", open)
		case <-t.C:
		}
	}
}

// CloseListener closes a listener after the connections in its accept queue have been
// accepted. Its server must still be serving.
func (d *Conns) CloseListener(l net.Listener) error {
	w, ok := l.(*listener)
	if !ok {
		return l.Close()
	}
	w.closing.Store(true)
	if t, ok := w.Listener.(*net.TCPListener); ok {
		if err := t.SetDeadline(time.Now().Add(acceptGrace)); err != nil {
			return errors.Wrap(err, "drain: set the deadline of the listener")
		}
		<-w.done
	}
	if err := w.Listener.Close(); !errors.Is(err, net.ErrClosed) { // the server closes it too
		return err
	}
	return nil
}

type listener struct {
	net.Listener
	conns   *Conns
	closing atomic.Bool
	once    sync.Once
	done    chan struct{} // closed when no more connections are accepted
}

// Accept returns the next connection and tracks it.
func (l *listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		if l.closing.Load() {
			l.once.Do(func() { close(l.done) })
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

// conn is a tracked connection of the server.
type conn struct {
	net.Conn
	conns *Conns

	mu         sync.Mutex
	busy       bool // a byte was read since the last response
	readsEnded bool // reads are ended by a deadline in the past
}

// Read reads from the connection. If data arrives, a request has started: Read then
// marks the connection busy and removes the deadline that endReads has set.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.busy = true
		if c.readsEnded {
			c.readsEnded = false
			err = errors.CombineErrors(err, c.Conn.SetReadDeadline(time.Time{}))
		}
	}
	return n, err
}

// SetReadDeadline sets the deadline of reads. If reads are ended it does nothing, so
// that the deadline in the past remains.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readsEnded {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Close closes the connection and stops tracking it.
func (c *conn) Close() error {
	c.conns.mu.Lock()
	delete(c.conns.open, c)
	c.conns.mu.Unlock()
	return c.Conn.Close()
}

// markIdle records that the response to the last request is complete.
func (c *conn) markIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = false
}

// endReads ends the reads of an idle connection, on which the server closes it.
func (c *conn) endReads() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy || c.readsEnded {
		return
	}
	c.readsEnded = true
	if err := c.Conn.SetReadDeadline(pastDeadline); err != nil {
		return // the connection is closed already
	}
}
