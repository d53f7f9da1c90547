package peers

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	"jacinthladder.dev/coord/escrow"
	"jacinthladder.dev/coord/member"
	"jacinthladder.dev/coord/permit"
	"jacinthladder.dev/coord/subset"
	"jacinthladder.dev/internal/fleet/ledger"
	"jacinthladder.dev/internal/fleet/peers/wire"
	"jacinthladder.dev/internal/fleet/socket"
)

const (
	// dialTimeout bounds the opening of a connection to a peer.
	dialTimeout = 500 * time.Millisecond
	// heartbeatTimeout bounds one exchange of heartbeats with a peer, including the
	// fetch of configuration that follows, and one read of the instance list.
	heartbeatTimeout = time.Second
	// idleTimeout is how long an idle connection to a peer is kept.
	idleTimeout = 30 * time.Second
	// witnessCount is the maximum number of witnesses of a share: peers that record an
	// upper bound of what the share spends and transfers to other shares.
	witnessCount = 3
)

// ErrUnknownProcess means that a call did not find the process that it is meant for. The
// process is not in the membership table, or another process now listens at its address.
// For a Follow call it may also mean that the process does not know the request.
var ErrUnknownProcess = errors.New("peers: process is not known")

// Client calls peers, which it addresses by process ID. Use NewClient to create one.
type Client struct {
	table  *member.Table
	client *http.Client
	dial   func(ctx context.Context, network, address string) (net.Conn, error)

	lastRelay atomic.Pointer[string] // address of the peer that opened the last tunnel

	mu    sync.Mutex
	stubs map[string]wire.Peers // Twirp clients by address of the peer
}

// NewClient returns a client that looks up the addresses of peers in table. Dial
// opens connections; if it is nil, they are plain TCP.
func NewClient(table *member.Table, dial func(ctx context.Context, network, address string) (net.Conn, error)) *Client {
	if dial == nil {
		d := socket.Dialer()
		d.Timeout = dialTimeout
		dial = d.DialContext
	}
	return &Client{
		table:  table,
		dial:   dial,
		client: &http.Client{Transport: framedTransport{&http.Transport{DialContext: dial, IdleConnTimeout: idleTimeout, MaxIdleConnsPerHost: 8}}},
		stubs:  map[string]wire.Peers{},
	}
}

// Close closes the idle connections to peers. Calls in progress continue.
func (c *Client) Close() { c.client.CloseIdleConnections() }

// stub returns the Twirp client for the peer at an address, which it creates on first
// use.
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

// stubFor returns the Twirp client for a process, or ErrUnknownProcess if the process is
// not in the membership table.
func (c *Client) stubFor(process string) (wire.Peers, error) {
	address, ok := c.table.Address(process)
	if !ok {
		return nil, errors.Wrap(ErrUnknownProcess, process)
	}
	return c.stub(address), nil
}

// Escrow returns the functions with which the escrow holder of this process finds and
// calls the holders of its peers.
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

// live returns the process IDs of the live peers. Peers in the zone of this instance come
// first.
func (c *Client) live() []string {
	var names []string
	for _, m := range c.table.Live(time.Now()) {
		names = append(names, m.Process)
	}
	return names
}

// zoneMembers returns the IDs of the live processes in the zone of this instance that
// are not leaving. They include this process unless it is leaving.
func (c *Client) zoneMembers() []string {
	var names []string
	for _, m := range c.table.ZoneMembers(time.Now()) {
		names = append(names, m.Process)
	}
	return names
}

// Isolated reports whether the membership table contains no live member other than this
// process.
func (c *Client) Isolated() bool { return len(c.table.Live(time.Now())) == 0 }

// witnesses returns the process IDs of up to witnessCount live members that should
// witness the shares of this process. Members in other zones come before those in its
// own zone; within each group, rendezvous hashing ranks them. Leaving members are left
// out.
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

// request sends a transfer request to a process and returns its reply.
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

// deliver sends a transfer of budget to the process of its receiver and returns the
// acknowledgement.
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

// raiseMarks records marks of shares at a process that is a witness of these shares. A mark
// is an upper bound of what a share spends and transfers to other shares. raiseMarks
// returns the IDs of the shares that are sealed at the witness. It refused their marks.
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

// seal makes a process, as a witness, refuse further marks of the share with the given ID.
// A mark is an upper bound of what a share spends and transfers to other shares. seal
// returns the share's highest mark recorded at the witness, in micro-units.
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

// errorFromWire decodes the error of a transfer reply, which says why a peer did not
// collect the amount that the request needs. It returns nil, escrow.ErrExhausted or
// escrow.ErrUnreachable.
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

// errorToWire encodes the error of a transfer reply. Each error other than
// escrow.ErrExhausted is sent as Why_CUT_OFF, which stands for escrow.ErrUnreachable.
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

// granterCount is the number of processes that may grant permits for a key: the granter, and
// those that take over one after the other.
const granterCount = 4

// Permits returns the functions with which the granter of this process finds and asks those of
// its peers.
func (c *Client) Permits() permit.Fleet {
	return permit.Fleet{
		Granters: func(key string) []string { return subset.Pick(key, c.table.Staying(), granterCount) },
		Count: func() (live, known int) {
			n := c.table.Counts()
			return 1 + n.Others, 1 + n.Others + n.Missing
		},
		Ask: c.askPermit,
	}
}

// askPermit asks a process for a permit and returns the time until there is one.
func (c *Client) askPermit(ctx context.Context, process string, a permit.Ask) (time.Duration, error) {
	stub, err := c.stubFor(process)
	if err != nil {
		return 0, err
	}
	reply, err := stub.Permit(ctx, &wire.PermitNote{Process: process, Key: a.Key, Rate: a.Rate, Relayed: a.Relayed})
	var twirpErr twirp.Error
	if errors.Is(err, syscall.ECONNREFUSED) || errors.As(err, &twirpErr) && twirpErr.Code() == twirp.NotFound {
		return 0, errors.Join(permit.ErrGone, err) // nothing, or another process, listens at its address
	}
	if err != nil {
		return 0, errors.Wrap(err, "peers: call Permit")
	}
	return time.Duration(reply.GetWait()) * time.Microsecond, nil
}

// Claim sends the operation n on an attempt at a request key to the process owner, one of
// the processes that store the attempts at this key. A request key is the idempotency key
// of a caller, together with its client account and service. Claim sets the field Owner
// of n.
func (c *Client) Claim(ctx context.Context, owner string, n *wire.ClaimNote) (*wire.ClaimAnswer, error) {
	stub, err := c.stubFor(owner)
	if err != nil {
		return nil, err
	}
	n.Owner = owner
	reply, err := stub.Claim(ctx, n)
	return reply, errors.Wrap(err, "peers: call Claim")
}

// keepTimeout bounds one call of Keep, because the result of a write waits for it.
const keepTimeout = 150 * time.Millisecond

// Keep makes one live peer remember the ledgers of r, preferably one in another zone. It
// tries at most witnessCount peers and reports whether one has acknowledged.
func (c *Client) Keep(ctx context.Context, r ledger.Record) bool {
	n := &wire.KeepNote{Shard: r.Shard, Era: r.Era}
	for _, l := range r.Ledgers {
		n.Books = append(n.Books, &wire.BookNote{Budget: l.Budget, Version: l.Version, Book: l.Data})
	}
	for _, process := range c.witnesses() {
		if c.keepAt(ctx, process, n) == nil {
			return true
		}
	}
	return false
}

// keepAt makes a process remember the ledgers of n.
func (c *Client) keepAt(ctx context.Context, process string, n *wire.KeepNote) error {
	stub, err := c.stubFor(process)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	_, err = stub.Keep(ctx, n)
	return errors.Wrap(err, "peers: call Keep")
}

// Follow asks the process named in n for the next available chunks of a response that
// this process produces. It returns ErrUnknownProcess if the process has ended or does
// not know the request.
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
