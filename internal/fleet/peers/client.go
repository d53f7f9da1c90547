package peers

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	"jacinthladder.dev/coord/escrow"
	"jacinthladder.dev/coord/member"
	"jacinthladder.dev/coord/subset"
	"jacinthladder.dev/internal/fleet/peers/wire"
)

const (
	// dialTimeout bounds the opening of a connection to a peer.
	dialTimeout = 500 * time.Millisecond
	// heartbeatTimeout bounds one exchange of heartbeats.
	heartbeatTimeout = time.Second
	// idleTimeout is how long an idle connection to a peer is kept.
	idleTimeout = 30 * time.Second
	// witnessCount is the number of witnesses of a share.
	witnessCount = 3
)

// ErrUnknownProcess means that a process is not in the membership table, that
// another process now listens at its address, or that it does not know the request
// of a Follow call.
var ErrUnknownProcess = errors.New("peers: process is not known")

// Client calls peers. Use NewClient to create one.
type Client struct {
	table  *member.Table
	client *http.Client

	mu    sync.Mutex
	stubs map[string]wire.Peers
}

// NewClient returns a client that looks up the addresses of peers in table. Dial
// opens connections; if it is nil, they are plain TCP.
func NewClient(table *member.Table, dial func(ctx context.Context, network, address string) (net.Conn, error)) *Client {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &Client{
		table:  table,
		client: &http.Client{Transport: &http.Transport{DialContext: dial, IdleConnTimeout: idleTimeout, MaxIdleConnsPerHost: 8}},
		stubs:  map[string]wire.Peers{},
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.client.CloseIdleConnections() }

// stub returns the Twirp client for an address.
func (c *Client) stub(address string) wire.Peers {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.stubs[address]
	if s == nil {
		s = wire.NewPeersProtobufClient("http://"+address, c.client)
		c.stubs[address] = s
	}
	return s
}

func (c *Client) stubFor(process string) (wire.Peers, error) {
	address, ok := c.table.Address(process)
	if !ok {
		return nil, errors.Wrap(ErrUnknownProcess, process)
	}
	return c.stub(address), nil
}

// Escrow returns the functions with which an escrow holder finds and calls its
// peers.
func (c *Client) Escrow() escrow.Peers {
	return escrow.Peers{
		Live:        c.live,
		ZoneMembers: c.zoneMembers,
		Request:     c.request,
		Deliver:     c.deliver,
		Witnesses:   c.witnesses,
		RaiseMarks:  c.raiseMarks,
		Seal:        c.seal,
		Silent:      func(process string) bool { return c.table.Suspect(process, time.Now()) },
	}
}

func (c *Client) live() []string {
	var names []string
	for _, m := range c.table.Live(time.Now()) {
		names = append(names, m.Process)
	}
	return names
}

// zoneMembers returns the live processes in the zone of this instance that are not
// leaving, including this one.
func (c *Client) zoneMembers() []string {
	self := c.table.Self()
	var names []string
	if !self.Leaving {
		names = append(names, self.Process)
	}
	for _, m := range c.table.Live(time.Now()) {
		if m.Zone == self.Zone && !m.Leaving {
			names = append(names, m.Process)
		}
	}
	return names
}

// Isolated reports whether no live peer is known.
func (c *Client) Isolated() bool { return len(c.table.Live(time.Now())) == 0 }

// witnesses returns the witnesses of this process: the live members in other zones
// that rank first for it, then members in its own zone.
func (c *Client) witnesses() []string {
	self := c.table.Self()
	var sameZone, otherZones []string
	for _, m := range c.table.Live(time.Now()) {
		switch {
		case m.Leaving:
		case m.Zone == self.Zone:
			sameZone = append(sameZone, m.Process)
		default:
			otherZones = append(otherZones, m.Process)
		}
	}
	ranked := append(subset.Rank(self.Process, otherZones), subset.Rank(self.Process, sameZone)...)
	return ranked[:min(witnessCount, len(ranked))]
}

func (c *Client) request(ctx context.Context, process string, req escrow.TransferRequest) (escrow.TransferReply, error) {
	stub, err := c.stubFor(process)
	if err != nil {
		return escrow.TransferReply{}, err
	}
	reply, err := stub.Ask(ctx, &wire.PleaNote{
		Budget: req.Budget, From: req.From, Need: req.Need, Want: req.Want, Wait: req.Wait.Milliseconds(), Rank: int32(req.Priority),
	})
	if err != nil {
		return escrow.TransferReply{}, errors.Wrap(err, "peers: call Ask")
	}
	return escrow.TransferReply{Transfer: transferFromWire(reply.GetGift()), Available: reply.GetRoom(), Reserved: reply.GetOpened(), Err: errorFromWire(reply.GetWhy()), MayFree: reply.GetWaits()}, nil
}

func (c *Client) deliver(ctx context.Context, process string, t escrow.Transfer) (escrow.TransferAck, error) {
	stub, err := c.stubFor(process)
	if err != nil {
		return escrow.TransferAck{}, err
	}
	reply, err := stub.Give(ctx, transferToWire(t))
	if err != nil {
		return escrow.TransferAck{}, errors.Wrap(err, "peers: call Give")
	}
	return escrow.TransferAck{Credited: reply.GetCredited(), Final: reply.GetFinal()}, nil
}

func (c *Client) raiseMarks(ctx context.Context, process string, marks []escrow.Mark) ([]string, error) {
	stub, err := c.stubFor(process)
	if err != nil {
		return nil, err
	}
	note := &wire.RaiseNote{Witness: process}
	for _, m := range marks {
		note.Marks = append(note.Marks, &wire.MarkNote{Share: m.ID, Limit: m.Limit})
	}
	reply, err := stub.Raise(ctx, note)
	if err != nil {
		return nil, errors.Wrap(err, "peers: call Raise")
	}
	return reply.GetSealed(), nil
}

func (c *Client) seal(ctx context.Context, process, id string) (int64, error) {
	stub, err := c.stubFor(process)
	if err != nil {
		return 0, err
	}
	reply, err := stub.Seal(ctx, &wire.SealNote{Witness: process, Share: id})
	if err != nil {
		return 0, errors.Wrap(err, "peers: call Seal")
	}
	return reply.GetLimit(), nil
}

func transferFromWire(n *wire.GiftNote) escrow.Transfer {
	return escrow.Transfer{Budget: n.GetBudget(), From: n.GetFrom(), To: n.GetTo(), Total: n.GetTotal()}
}

func transferToWire(t escrow.Transfer) *wire.GiftNote {
	return &wire.GiftNote{Budget: t.Budget, From: t.From, To: t.To, Total: t.Total}
}

func errorFromWire(w wire.Why) error {
	switch w {
	case wire.Why_NONE:
		return nil
	case wire.Why_EXHAUSTED:
		return escrow.ErrExhausted
	default:
		return escrow.ErrUnreachable
	}
}

func errorToWire(err error) wire.Why {
	switch {
	case err == nil:
		return wire.Why_NONE
	case errors.Is(err, escrow.ErrExhausted):
		return wire.Why_EXHAUSTED
	default:
		return wire.Why_CUT_OFF
	}
}

// Claim changes the entry of a request key at one of the key's owners.
func (c *Client) Claim(ctx context.Context, owner string, n *wire.ClaimNote) (*wire.ClaimAnswer, error) {
	stub, err := c.stubFor(owner)
	if err != nil {
		return nil, err
	}
	n.Owner = owner
	reply, err := stub.Claim(ctx, n)
	return reply, errors.Wrap(err, "peers: call Claim")
}

// Follow asks a process for the available part of a response that it produces.
// ErrUnknownProcess means that the process has ended or does not know the request.
func (c *Client) Follow(ctx context.Context, n *wire.FollowAsk) (*wire.FollowAnswer, error) {
	stub, err := c.stubFor(n.GetProcess())
	if err != nil {
		return nil, err
	}
	reply, err := stub.Follow(ctx, n)
	var twirpErr twirp.Error
	if errors.As(err, &twirpErr) && twirpErr.Code() == twirp.NotFound {
		return nil, errors.Mark(err, ErrUnknownProcess)
	}
	return reply, errors.Wrap(err, "peers: call Follow")
}
