package conns

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"jacinthladder.dev/internal/fleet/socket"
)

const (
	// dialTimeout bounds the time to open a connection to an endpoint.
	dialTimeout = 700 * time.Millisecond
	// defaultIdleTimeout is how long a connection stays idle in the pool if its
	// endpoint announces no idle timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is the time by which a connection expires in the pool before the
	// idle timeout that its endpoint has announced. The connection expires no
	// earlier than after half of that timeout.
	idleMargin = 700 * time.Millisecond
)

// Pool holds the idle connections to all endpoints. The zero value is ready to use.
type Pool struct {
	// Dial opens a connection to an address; nil means plain TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Relay, if set, opens a connection to an address by way of a peer. It fails with ErrNoPath if no
	// peer reaches endpoints.
	Relay func(ctx context.Context, address string) (net.Conn, error)
	// PathChanged, if set, is called when an endpoint is no longer reached by the own path, or
	// reached again. CutOff says whether this instance reaches no endpoint by its own path.
	PathChanged func(address string, reached, cutOff bool)

	paths  paths
	mu     sync.Mutex
	idle   map[string][]*Conn // by address, most recently used last
	closed bool
}

// Get returns a connection to the endpoint at an address. It returns the most
// recently used healthy idle connection and closes the unhealthy ones that it finds
// before it. It opens a new connection if there is no healthy one, or if fresh is
// true, by way of a peer if the endpoint is not reached by the own path. If Get returns an error, nothing was sent to the endpoint.
func (p *Pool) Get(ctx context.Context, address string, fresh bool) (*Conn, error) {
	for !fresh && !p.paths.cutOff() {
		c := p.pop(address)
		if c == nil {
			break
		}
		if c.healthy(time.Now()) {
			c.reused = true
			return c, nil
		}
		c.Close()
	}
	return p.open(ctx, address)
}

// Put returns a connection to the pool for reuse. It closes the connection instead
// if the connection is not reusable or the pool is closed.
func (p *Pool) Put(c *Conn) {
	if !c.Reusable() {
		c.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.Close()
		return
	}
	if p.idle == nil {
		p.idle = map[string][]*Conn{}
	}
	c.idleSince = time.Now()
	p.idle[c.address] = append(p.idle[c.address], c)
}

// StillOpen reports whether an idle connection to an address is open still, of those that were opened at a
// time for which opened returns true. The endpoint behind it has not ended since then.
func (p *Pool) StillOpen(address string, opened func(at time.Time) bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	return slices.ContainsFunc(p.idle[address], func(c *Conn) bool { return opened(c.openedAt) && c.healthy(now) })
}

// closeIdle closes the idle connections to an address.
func (p *Pool) closeIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		c.Close()
	}
	delete(p.idle, address)
}

// CloseExpired closes the idle connections that have reached their idle timeout and
// removes them from the pool.
func (p *Pool) CloseExpired(now time.Time) {
	p.paths.forget(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, all := range p.idle {
		kept := all[:0]
		for _, c := range all {
			if c.expired(now) {
				c.Close()
				continue
			}
			kept = append(kept, c)
		}
		clear(all[len(kept):])
		if p.idle[a] = kept; len(kept) == 0 {
			delete(p.idle, a)
		}
	}
}

// Close closes the idle connections and the pool. Put closes the connections that
// are returned to a closed pool.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, all := range p.idle {
		for _, c := range all {
			c.Close()
		}
	}
	p.idle = nil
}

// pop removes the most recently used idle connection to an address and returns it,
// or nil if there is none.
func (p *Pool) pop(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := p.idle[address]
	if len(all) == 0 {
		return nil
	}
	c := all[len(all)-1]
	all[len(all)-1] = nil
	p.idle[address] = all[:len(all)-1]
	return c
}

// dialTCP opens a TCP connection to an address, without keep-alive probes.
func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := socket.Dialer()
	d.KeepAlive = -1
	return d.DialContext(ctx, "tcp", address)
}
