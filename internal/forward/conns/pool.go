package conns

import (
	"context"
	"net"
	"sync"
	"time"
)

const (
	// dialTime bounds the opening of a connection.
	dialTime = 700 * time.Millisecond
	// idleMost is the longest that a connection is kept unused when the
	// endpoint does not say how long it keeps it.
	idleMost = 4 * time.Second
	// idleMargin is how long before the endpoint's own time-out a connection is
	// given up.
	idleMargin = 700 * time.Millisecond
)

// Pool keeps the idle connections to all endpoints. The zero value is ready.
type Pool struct {
	// Dial opens a connection; nil means plain TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	mu     sync.Mutex
	idle   map[string][]*Conn // by address, the one used last at the end
	closed bool
}

// Get returns a connection to an address, an idle one that is sound if there is
// one and fresh is false. An error means that nothing was sent.
func (p *Pool) Get(ctx context.Context, address string, fresh bool) (*Conn, error) {
	for !fresh {
		c := p.pop(address)
		if c == nil {
			break
		}
		if c.sound(time.Now()) {
			c.reused = true
			return c, nil
		}
		c.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, dialTime)
	defer cancel()
	dial := p.Dial
	if dial == nil {
		dial = dialTCP
	}
	nc, err := dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return newConn(address, nc), nil
}

// Put keeps a connection for the next request.
func (p *Pool) Put(c *Conn) {
	if !c.reusable() {
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
	c.since = time.Now()
	p.idle[c.address] = append(p.idle[c.address], c)
}

// CloseExpired closes the connections that have been idle for too long.
func (p *Pool) CloseExpired(now time.Time) {
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

// Close closes the idle connections and keeps none from now on.
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

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{KeepAlive: -1}
	return d.DialContext(ctx, "tcp", address)
}
