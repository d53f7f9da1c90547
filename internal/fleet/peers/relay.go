package peers

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"jacinthladder.dev/coord/subset"
	"jacinthladder.dev/internal/fleet/tunnel"
	"jacinthladder.dev/internal/forward/conns"
)

const (
	// maxRelays is the number of peers that are asked for a tunnel. The first zoneRelays are in the
	// zone of this instance, and others follow, because a cut may concern a whole zone.
	maxRelays  = 6
	zoneRelays = 2
	// relayStagger is the time from the question to one peer to that to the next, if the first has
	// not replied.
	relayStagger = 25 * time.Millisecond
	// relayTimeout bounds the time to open a tunnel.
	relayTimeout = 300 * time.Millisecond
)

// Relay opens a connection to the endpoint at an address by way of a peer. It asks several peers, each
// a little later than the one before, and takes the first that has a path. It fails with
// conns.ErrNoPath if none of them reaches any endpoint.
func (c *Client) Relay(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	type result struct {
		nc  net.Conn
		err error
	}
	relays := c.relays(address)
	results := make(chan result, len(relays))
	next := time.NewTimer(0)
	defer next.Stop()
	noPath, started := true, 0
	for received := 0; received < len(relays); {
		select {
		case <-next.C:
			if started < len(relays) {
				peer := relays[started]
				started++
				go func() {
					nc, err := c.tunnel(ctx, peer, address)
					results <- result{nc, err}
				}()
				next.Reset(relayStagger)
			}
			continue
		case r := <-results:
			received++
			if r.err == nil {
				go func() {
					for range started - received {
						if late := <-results; late.nc != nil {
							late.nc.Close()
						}
					}
				}()
				return r.nc, nil
			}
			noPath = noPath && (errors.Is(r.err, tunnel.ErrCutOff) || errors.Is(r.err, errNoPeer))
			next.Reset(0)
		}
	}
	if noPath {
		return nil, conns.ErrNoPath
	}
	return nil, errors.New("peers: no peer has opened a connection to the endpoint")
}

// errNoPeer means that a peer cannot be asked for a tunnel.
var errNoPeer = errors.New("peers: the peer does not answer")

// relays returns the addresses of the peers to ask for a tunnel to an address, in this order. The one
// that opened the last tunnel comes first. Of the others, the order depends on the address, so that
// different ones are asked.
func (c *Client) relays(address string) []string {
	self := c.table.Self()
	var sameZone, others []string
	for _, m := range c.table.Live(time.Now()) {
		switch {
		case m.Leaving:
		case m.Zone == self.Zone:
			sameZone = append(sameZone, m.Address)
		default:
			others = append(others, m.Address)
		}
	}
	sameZone, others = subset.Rank(address, sameZone), subset.Rank(address, others)
	first := min(zoneRelays, len(sameZone))
	ranked := slices.Concat(sameZone[:first], others, sameZone[first:])
	if last := c.lastRelay.Load(); last != nil {
		if i := slices.Index(ranked, *last); i >= 0 {
			ranked = append([]string{*last}, slices.Delete(ranked, i, i+1)...)
		}
	}
	return ranked[:min(len(ranked), maxRelays)]
}

// tunnel opens a tunnel to the endpoint at an address by way of the peer at another one.
func (c *Client) tunnel(ctx context.Context, peer, address string) (net.Conn, error) {
	nc, err := c.dial(ctx, "tcp", peer)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "peers: open a connection for a tunnel"), errNoPeer)
	}
	t, err := tunnel.Dial(ctx, nc, address)
	if err == nil {
		c.lastRelay.Store(&peer)
	} else if errors.Is(err, tunnel.ErrCutOff) {
		if last := c.lastRelay.Load(); last != nil && *last == peer {
			c.lastRelay.CompareAndSwap(last, nil)
		}
	}
	return t, err
}
