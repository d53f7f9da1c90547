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
	// dialTime bounds the opening of a connection to a peer.
	dialTime = 500 * time.Millisecond
	// beatTime bounds one heartbeat.
	beatTime = time.Second
	// idleTime is how long an unused connection is kept.
	idleTime = 30 * time.Second
	// guardCount is the number of witnesses of a share.
	guardCount = 3
)

// ErrUnknownProcess means that a process is not known here.
var ErrUnknownProcess = errors.New("peers: process is not known")

// Client calls peers. Make one with NewClient.
type Client struct {
	table  *member.Table
	client *http.Client

	mu    sync.Mutex
	stubs map[string]wire.Peers
}

// NewClient returns a client that finds peers in table. Dial opens connections;
// with nil they are plain TCP.
func NewClient(table *member.Table, dial func(ctx context.Context, network, address string) (net.Conn, error)) *Client {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTime}).DialContext
	}
	return &Client{
		table:  table,
		client: &http.Client{Transport: &http.Transport{DialContext: dial, IdleConnTimeout: idleTime, MaxIdleConnsPerHost: 8}},
		stubs:  map[string]wire.Peers{},
	}
}

// Close closes the connections that are not in use.
func (c *Client) Close() { c.client.CloseIdleConnections() }

// stub returns the peer at an address.
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

func (c *Client) process(process string) (wire.Peers, error) {
	address, ok := c.table.Address(process)
	if !ok {
		return nil, errors.Wrap(ErrUnknownProcess, process)
	}
	return c.stub(address), nil
}

// Escrow returns the ways by which an escrow holder reaches its peers.
func (c *Client) Escrow() escrow.Peers {
	return escrow.Peers{
		Live:        c.near,
		ZoneMembers: c.mates,
		Request:     c.ask,
		Deliver:     c.give,
		Witnesses:   c.guards,
		RaiseMarks:  c.raise,
		Seal:        c.seal,
		Silent:      func(process string) bool { return c.table.Suspect(process, time.Now()) },
	}
}

func (c *Client) near() []string {
	var names []string
	for _, m := range c.table.Live(time.Now()) {
		names = append(names, m.Process)
	}
	return names
}

// mates returns the live processes of the own zone that are not leaving, this one
// with them.
func (c *Client) mates() []string {
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

// guards picks witnesses: the live members outside the own zone that rank
// first for this process, then any others.
func (c *Client) guards() []string {
	self := c.table.Self()
	var near, far []string
	for _, m := range c.table.Live(time.Now()) {
		switch {
		case m.Leaving:
		case m.Zone == self.Zone:
			near = append(near, m.Process)
		default:
			far = append(far, m.Process)
		}
	}
	ranked := append(subset.Rank(self.Process, far), subset.Rank(self.Process, near)...)
	return ranked[:min(guardCount, len(ranked))]
}

func (c *Client) ask(ctx context.Context, process string, p escrow.TransferRequest) (escrow.TransferReply, error) {
	s, err := c.process(process)
	if err != nil {
		return escrow.TransferReply{}, err
	}
	r, err := s.Ask(ctx, &wire.PleaNote{
		Budget: p.Budget, From: p.From, Need: p.Need, Want: p.Want, Wait: p.Wait.Milliseconds(), Rank: int32(p.Priority),
	})
	if err != nil {
		return escrow.TransferReply{}, errors.Wrap(err, "peers: ask")
	}
	return escrow.TransferReply{Transfer: giftOf(r.GetGift()), Available: r.GetRoom(), Reserved: r.GetOpened(), Err: whyOf(r.GetWhy()), MayFree: r.GetWaits()}, nil
}

func (c *Client) give(ctx context.Context, process string, g escrow.Transfer) (escrow.TransferAck, error) {
	s, err := c.process(process)
	if err != nil {
		return escrow.TransferAck{}, err
	}
	r, err := s.Give(ctx, noteOf(g))
	if err != nil {
		return escrow.TransferAck{}, errors.Wrap(err, "peers: give")
	}
	return escrow.TransferAck{Credited: r.GetCredited(), Final: r.GetFinal()}, nil
}

func (c *Client) raise(ctx context.Context, process string, marks []escrow.Mark) ([]string, error) {
	s, err := c.process(process)
	if err != nil {
		return nil, err
	}
	note := &wire.RaiseNote{Witness: process}
	for _, m := range marks {
		note.Marks = append(note.Marks, &wire.MarkNote{Share: m.ID, Limit: m.Limit})
	}
	r, err := s.Raise(ctx, note)
	if err != nil {
		return nil, errors.Wrap(err, "peers: raise")
	}
	return r.GetSealed(), nil
}

func (c *Client) seal(ctx context.Context, process, id string) (int64, error) {
	s, err := c.process(process)
	if err != nil {
		return 0, err
	}
	r, err := s.Seal(ctx, &wire.SealNote{Witness: process, Share: id})
	if err != nil {
		return 0, errors.Wrap(err, "peers: seal")
	}
	return r.GetLimit(), nil
}

func giftOf(n *wire.GiftNote) escrow.Transfer {
	return escrow.Transfer{Budget: n.GetBudget(), From: n.GetFrom(), To: n.GetTo(), Total: n.GetTotal()}
}

func noteOf(g escrow.Transfer) *wire.GiftNote {
	return &wire.GiftNote{Budget: g.Budget, From: g.From, To: g.To, Total: g.Total}
}

func whyOf(w wire.Why) error {
	switch w {
	case wire.Why_NONE:
		return nil
	case wire.Why_EXHAUSTED:
		return escrow.ErrExhausted
	default:
		return escrow.ErrUnreachable
	}
}

func whyNote(err error) wire.Why {
	switch {
	case err == nil:
		return wire.Why_NONE
	case errors.Is(err, escrow.ErrExhausted):
		return wire.Why_EXHAUSTED
	default:
		return wire.Why_CUT_OFF
	}
}

// Claim changes the entry of a key at one of its owners.
func (c *Client) Claim(ctx context.Context, owner string, n *wire.ClaimNote) (*wire.ClaimAnswer, error) {
	s, err := c.process(owner)
	if err != nil {
		return nil, err
	}
	n.Owner = owner
	answer, err := s.Claim(ctx, n)
	return answer, errors.Wrap(err, "peers: claim")
}

// Follow asks a process for what there is of an answer. ErrStranger means that
// the process has ended, or does not know the request.
func (c *Client) Follow(ctx context.Context, n *wire.FollowAsk) (*wire.FollowAnswer, error) {
	s, err := c.process(n.GetProcess())
	if err != nil {
		return nil, err
	}
	answer, err := s.Follow(ctx, n)
	var fault twirp.Error
	if errors.As(err, &fault) && fault.Code() == twirp.NotFound {
		return nil, errors.Mark(err, ErrUnknownProcess)
	}
	return answer, errors.Wrap(err, "peers: follow")
}
