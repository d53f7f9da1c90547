// Package drain closes the connections of an HTTP server without losing a request.
//
// http.Server.Shutdown closes a connection that it considers idle, even if a request
// arrives at that moment. The request may have been read, and is then lost. In this
// package each connection records whether a byte of a request has been read since the
// last response. Drain first ends the reads of an idle connection, by a deadline in the
// past. If the last read returned no data, the server closes the connection. If it
// returned data, the connection stays open for the request. Data that was not read is
// discarded with the connection, which tells the client that it may send the request
// again elsewhere.
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

// drainInterval is the interval at which Drain looks for connections that have become
// idle or were closed.
const drainInterval = 20 * time.Millisecond

// acceptGrace is how long CloseListener lets the listener accept connections before it
// closes the listener. Otherwise the connections in its accept queue would be reset.
const acceptGrace = 50 * time.Millisecond

// pastDeadline is a read deadline that has passed. Set on a connection, it ends the reads
// of the connection at once.
var pastDeadline = time.Unix(1, 0)

// Conns tracks the open connections of one HTTP server, so that Drain can close them
// without losing a request. The zero value is ready to use. The server must accept
// connections from the result of Listener and use the result of Handler as its handler.
// The server's field ConnState must be the method ConnState of this Conns.
type Conns struct {
	noKeepAlives atomic.Bool // set by DisableKeepAlives

	mu   sync.Mutex
	open map[*conn]struct{} // connections that were accepted and not closed yet
}

// Listener returns a listener that accepts connections from l and adds them to d.
func (d *Conns) Listener(l net.Listener) net.Listener {
	return &listener{Listener: l, conns: d, done: make(chan struct{})}
}

// Handler returns a handler that calls next. Responses that begin after DisableKeepAlives
// announce that the server closes the connection.
func (d *Conns) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rw := &responseWriter{ResponseWriter: w, conns: d}
		next.ServeHTTP(rw, r)
		rw.begin()
	})
}

// ConnState is the callback for http.Server.ConnState. It records that a connection has
// become idle, and ignores all other states. After DisableKeepAlives it closes the connection: the
// response that has just ended may have begun before, and then did not announce that. The server
// has not read the next request yet.
func (d *Conns) ConnState(nc net.Conn, s http.ConnState) {
	c, ok := nc.(*conn)
	if !ok || s != http.StateIdle {
		return
	}
	c.markIdle()
	if d.noKeepAlives.Load() {
		if err := c.Close(); err != nil {
			return // the caller has closed it
		}
	}
}

// DisableKeepAlives makes the server close each connection after its present or next
// response.
func (d *Conns) DisableKeepAlives() { d.noKeepAlives.Store(true) }

// Len returns the number of open connections that were accepted from the listener.
func (d *Conns) Len() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.open)
}

// Drain disables keep-alives. It then closes idle connections, and waits for requests in
// progress, until no connection is open. If ctx ends first, Drain leaves the remaining
// connections open and returns an error. The caller must have closed the listener with
// CloseListener.
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
			return errors.Newf("drain: %d connections were still open when the time for draining ended", open)
		case <-t.C:
		}
	}
}

// CloseListener closes a listener after acceptGrace, in which its server accepts the
// connections that are still in the accept queue. The server must still be serving. A
// listener that does not come from the method Listener, or whose inner listener has no
// deadline, is closed at once.
func (d *Conns) CloseListener(l net.Listener) error {
	w, ok := l.(*listener)
	if !ok {
		return l.Close()
	}
	w.closing.Store(true)
	if t, ok := w.Listener.(interface{ SetDeadline(time.Time) error }); ok {
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

// listener is a listener that adds the connections that it accepts to conns.
type listener struct {
	net.Listener
	conns   *Conns
	closing atomic.Bool   // set when CloseListener starts
	once    sync.Once     // makes sure that done is closed only once
	done    chan struct{} // closed when Accept has failed after the start of CloseListener
}

// Accept returns the next connection and adds it to the tracked connections. While the
// listener is being closed, each error is net.ErrClosed.
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

// conn is a tracked connection that the server has accepted.
type conn struct {
	net.Conn
	conns *Conns

	mu         sync.Mutex
	busy       bool // a byte of a request was read since the last response
	readsEnded bool // a read deadline in the past is set, which ends reads at once
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

// SetReadDeadline sets the read deadline that the server requests. While the reads are
// ended by endReads, it does nothing, so that the deadline in the past remains in place.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readsEnded {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetLinger sets how Close handles data that was not sent, as net.TCPConn.SetLinger does.
func (c *conn) SetLinger(seconds int) error {
	l, ok := c.Conn.(interface{ SetLinger(seconds int) error })
	if !ok {
		return errors.Newf("drain: a connection of type %T has no linger option", c.Conn)
	}
	return l.SetLinger(seconds)
}

// CloseWrite shuts down the writing side of the connection, as net.TCPConn.CloseWrite does.
func (c *conn) CloseWrite() error {
	w, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.Newf("drain: a connection of type %T has no writing side of its own", c.Conn)
	}
	return w.CloseWrite()
}

// NetConn returns the connection that was accepted from the inner listener.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Close closes the connection and stops tracking it.
func (c *conn) Close() error {
	c.conns.mu.Lock()
	delete(c.conns.open, c)
	c.conns.mu.Unlock()
	return c.Conn.Close()
}

// markIdle records that the response to the last request is complete, so that endReads
// may end the reads of the connection.
func (c *conn) markIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = false
}

// endReads ends the reads of the connection if the connection is idle. The server then
// closes the connection, unless a read returns data of a request before. If the connection
// is busy, endReads does nothing.
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
