package peers

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"jacinthladder.dev/coord/member"
	"jacinthladder.dev/internal/fleet/peers/wire"
	"jacinthladder.dev/internal/plat/object"
	"jacinthladder.dev/internal/plat/roster"
)

const (
	// fanOut is the maximum number of live peers to which a gossiper sends a heartbeat in
	// one round. In addition it sends one to a peer that is suspected of having failed, if
	// there is such a peer.
	fanOut = 3
	// The first earlyRounds rounds of heartbeats after the start are separated by the
	// heartbeat interval divided by earlyDivisor. This way an instance soon knows its
	// peers, on which its behaviour depends.
	earlyRounds  = 6
	earlyDivisor = 5
	// minNewsInterval is the shortest time between two rounds of which news other than a
	// change of the configuration starts the second one.
	minNewsInterval = 50 * time.Millisecond
	// rosterInterval is the minimum interval between reads of the instance list.
	rosterInterval = 5 * time.Second
	// maxUnknown is the maximum number of heartbeats in one round to addresses that are in
	// the instance list but belong to no live member.
	maxUnknown = 4
	// fetchQueueSize is the maximum number of queued fetches of objects from peers.
	// Further ones are dropped.
	fetchQueueSize = 16
)

// Gossiper sends heartbeats to a few peers at a time, in rounds at a regular interval. A
// change of the configuration, or other news of the server, starts a round at once, so that
// it passes from peer to peer without waiting for the interval each time.
type Gossiper struct {
	Client   *Client
	Server   *Server
	Roster   *roster.Source
	Interval time.Duration
	Logger   log.Interface
	// OnList, if set, is called with the entries of the instance list after each
	// successful read.
	OnList func(entries []roster.Entry)

	entries    []roster.Entry // instance list at the last successful read
	listedAt   time.Time      // start of the last read of the instance list
	fetchQueue chan string    // addresses of peers from which newer objects must be fetched
}

// NewGossiper returns a gossiper that sends the heartbeats of server s to peers at the
// given interval. It finds unknown peers through the instance list l, unless l is nil. It
// also fetches objects from peers whose heartbeats show a newer version.
func NewGossiper(c *Client, s *Server, l *roster.Source, interval time.Duration, logger log.Interface) *Gossiper {
	g := &Gossiper{Client: c, Server: s, Roster: l, Interval: interval, Logger: logger, fetchQueue: make(chan string, fetchQueueSize)}
	s.onNewer = func(address string) {
		select {
		case g.fetchQueue <- address:
		default: // the queue is full; enough fetches are pending
		}
	}
	return g
}

// Run sends rounds of heartbeats until ctx ends.
func (g *Gossiper) Run(ctx context.Context) {
	t := time.NewTicker(g.Interval)
	defer t.Stop()
	early := time.NewTicker(g.Interval / earlyDivisor)
	defer early.Stop()
	for round := 0; ; round++ {
		tick := early.C
		if round >= earlyRounds {
			tick = t.C
			early.Stop()
		}
		changed := g.Server.Config.Changed()
		var news <-chan struct{}
		if g.Server.News != nil {
			news = g.Server.News()
		}
		g.Server.Members.Heartbeat()
		g.readRoster(ctx)
		g.Round(ctx)
		var spread <-chan struct{}
		if g.Server.Spread != nil {
			spread = g.Server.Spread()
		}
		if !g.wait(ctx, tick, changed, news, spread) {
			return
		}
	}
}

// wait waits until the next round of heartbeats is due: at the next tick, when changed is
// closed, or when news is closed and minNewsInterval has passed. In the meantime it fetches
// objects from the queued peers, and sends heartbeats to the followers of this instance each
// time that spread is closed. It returns false if ctx ends first.
func (g *Gossiper) wait(ctx context.Context, tick <-chan time.Time, changed, news, spread <-chan struct{}) bool {
	due := time.After(minNewsInterval)
	var dueNews <-chan struct{}
	for {
		select {
		case <-due:
			dueNews = news
		case <-ctx.Done():
			return false
		case <-tick:
			return true
		case <-changed:
			return true
		case <-dueNews:
			return true
		case <-spread:
			spread = g.Server.Spread()
			g.exchangeAll(ctx, g.Server.Followers())
		case address := <-g.fetchQueue:
			if err := g.exchange(ctx, address); err != nil {
				g.Logger.WithError(err).Debug("peers: could not fetch objects from a peer")
			}
		}
	}
}

// readRoster reads the instance list if the gossiper has a source of it and rosterInterval
// has passed since the last read. After a failure the previous list stays in use.
func (g *Gossiper) readRoster(ctx context.Context) {
	if g.Roster == nil || time.Since(g.listedAt) < rosterInterval {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	g.listedAt = time.Now()
	entries, err := g.Roster.Read(callCtx)
	if err != nil {
		g.Logger.WithError(err).Warn("peers: could not read the instance list")
		return
	}
	g.entries = entries
	if g.OnList != nil {
		g.OnList(entries)
	}
}

// Round sends one heartbeat each to a few members, to the leader of this instance and to a few
// addresses of the instance list that belong to no live member. It returns when every exchange
// has ended or failed.
func (g *Gossiper) Round(ctx context.Context) {
	now := time.Now()
	addresses := g.unknown(now)
	for _, m := range g.Server.Members.Targets(now, fanOut) {
		addresses = append(addresses, m.Address)
	}
	if g.Server.Leader != nil {
		if leader := g.Server.Leader(); leader != "" {
			addresses = append(addresses, leader)
		}
	}
	slices.Sort(addresses)
	g.exchangeAll(ctx, slices.Compact(addresses))
}

// exchangeAll sends a heartbeat to each address, and returns when every exchange has ended or
// failed.
func (g *Gossiper) exchangeAll(ctx context.Context, addresses []string) {
	var group errgroup.Group
	for _, a := range addresses {
		group.Go(func() error { return g.exchange(ctx, a) })
	}
	if err := group.Wait(); err != nil && ctx.Err() == nil {
		g.Logger.WithError(err).Debug("peers: could not exchange heartbeats with at least one peer")
	}
}

// unknown returns up to maxUnknown addresses of the instance list that belong to no live
// member.
func (g *Gossiper) unknown(now time.Time) []string {
	known := map[string]bool{g.Server.Members.Self().Address: true}
	for _, m := range g.Server.Members.Live(now) {
		known[m.Address] = true
	}
	var addresses []string
	for _, e := range g.entries {
		if !known[e.Address] && len(addresses) < maxUnknown {
			addresses = append(addresses, e.Address)
		}
	}
	return addresses
}

// exchange sends a heartbeat to the peer at an address and processes the peer's heartbeat
// in the reply. If the peer has newer objects, exchange fetches them.
func (g *Gossiper) exchange(ctx context.Context, address string) error {
	callCtx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	stub := g.Client.stub(address)
	// The peer's ages are at least those at the begin of the call.
	began := time.Now()
	reply, err := stub.Beat(callCtx, g.Server.LocalHeartbeat())
	if err != nil {
		return errors.Wrap(err, "peers: call Beat")
	}
	g.Server.Receive(reply)
	err = g.sync(callCtx, stub, reply, false, began)
	if g.Server.Registry != nil {
		err = errors.CombineErrors(err, g.sync(callCtx, stub, reply, true, began))
	}
	return err
}

// sync fetches what a peer has and this instance lacks of the configuration, or of the entries
// of endpoints. Then it confirms what the peer knew at the time at.
func (g *Gossiper) sync(ctx context.Context, stub wire.Peers, n *wire.BeatNote, registry bool, at time.Time) error {
	if err := g.fetch(ctx, stub, n, registry); err != nil {
		return err
	}
	objects, newest, known := &g.Server.Config, n.GetConfig(), n.GetRoutes()
	if registry {
		objects, newest, known = g.Server.Registry, n.GetRegistry(), n.GetEndpoints()
	}
	if objects.Confirm != nil && known != nil && objects.CompleteVersion() >= newest {
		objects.Confirm(known, at)
	}
	return nil
}

// fetch fetches configuration, or the entries of endpoints, from a peer and merges them,
// until this instance has the version that the peer's heartbeat n shows. One reply may
// hold only a part. fetch gives up when a reply does not raise the version.
func (g *Gossiper) fetch(ctx context.Context, stub wire.Peers, n *wire.BeatNote, registry bool) error {
	sync, newest := &g.Server.Config, n.GetConfig()
	if registry {
		sync, newest = g.Server.Registry, n.GetRegistry()
	}
	for newest > sync.CompleteVersion() {
		before := sync.CompleteVersion()
		reply, err := stub.Docs(ctx, &wire.DocsAsk{After: before, Registry: registry})
		if err != nil {
			return errors.Wrap(err, "peers: call Docs")
		}
		objects := make([]object.Object, len(reply.GetDocs()))
		for i, d := range reply.GetDocs() {
			objects[i] = objectFromWire(d)
		}
		sync.MergePeer(member.Name(n.GetSelf().GetProcess()), objects, reply.GetComplete())
		if sync.CompleteVersion() <= before {
			return nil
		}
	}
	return nil
}

func objectFromWire(n *wire.DocNote) object.Object {
	if n.GetDeleted() {
		return object.Tombstone(n.GetKind(), n.GetName(), n.GetVersion())
	}
	return object.New(n.GetKind(), n.GetName(), n.GetVersion(), n.GetValue())
}

// NewHeartbeat returns a heartbeat of this instance. It contains this instance's own entry
// in t and a digest of the live members in t. Config is the platform version up to which
// this instance has all configuration.
func NewHeartbeat(t *member.Table, config int64) *wire.BeatNote {
	return &wire.BeatNote{Self: memberToWire(t.Self()), Config: config, Digest: digestToWire(t.Digest(time.Now()))}
}
