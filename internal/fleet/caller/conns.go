package caller

import (
	"context"
	"net"
	"net/http"
	"time"

	"jacinthladder.dev/internal/fleet/memory"
)

// lingerTime is how long the rest of a body that nobody wants is read, so that the refusal is not
// lost with the connection.
const lingerTime = 500 * time.Millisecond

// Conns counts the connections of one HTTP server, whose listener, handler, ConnContext and ConnState are
// those of this type.
type Conns struct{ Bound *memory.Bound }

// Listener returns a listener that accepts the connections from l for which there is room, and closes the
// others.
func (c *Conns) Listener(l net.Listener) net.Listener { return &listener{Listener: l, bound: c.Bound} }

type listener struct {
	net.Listener
	bound *memory.Bound
}

// SetDeadline sets the deadline of Accept, as net.TCPListener.SetDeadline does.
func (l *listener) SetDeadline(t time.Time) error {
	d, ok := l.Listener.(interface{ SetDeadline(time.Time) error })
	if !ok {
		return nil
	}
	return d.SetDeadline(t)
}

// Accept returns the next connection for which there is room.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: nc, bound: l.bound}
		if c.open() {
			return c, nil
		}
		c.reset()
	}
}

// contextKey is the key of a connection in a context.
type contextKey struct{}

// Context is the callback for http.Server.ConnContext.
func (c *Conns) Context(ctx context.Context, nc net.Conn) context.Context {
	cn := unwrap(nc)
	if cn == nil {
		return ctx
	}
	return memory.With(context.WithValue(ctx, contextKey{}, cn), cn.reserved)
}

// unwrap returns the connection of this package that nc is or wraps, nil if there is none.
func unwrap(nc net.Conn) *conn {
	for {
		switch c := nc.(type) {
		case *conn:
			return c
		case interface{ NetConn() net.Conn }:
			nc = c.NetConn()
		default:
			return nil
		}
	}
}

// from returns the connection of a request, nil if it is not one of this package.
func from(r *http.Request) *conn {
	c, _ := r.Context().Value(contextKey{}).(*conn)
	return c
}

// ConnState is the callback for http.Server.ConnState.
func (c *Conns) ConnState(nc net.Conn, s http.ConnState) {
	if cn := unwrap(nc); cn != nil && s == http.StateIdle {
		cn.awaitHead()
	}
}

// Handler returns a handler that calls next. A response whose request has a body ends the connection, unless
// ReadBody reads that body to its end.
func (c *Conns) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		cn := from(r)
		if cn == nil {
			next.ServeHTTP(w, r)
			return
		}
		begins := cn.beginRequest(r.ContentLength != 0)
		defer cn.endRequest()
		if !begins {
			w.Header().Set("Connection", "close")
			w.Header().Set("Retry-After", retryAfter)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if r.ContentLength != 0 {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
