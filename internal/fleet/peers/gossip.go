package peers

import (
	"context"
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
	// fanOut is the number of known peers that receive a heartbeat in one round.
	fanOut = 3
	// After the start, earlyRounds rounds follow at the interval divided by
	// earlyDivisor, because what an instance does depends on which peers it knows.
	earlyRounds  = 6
	earlyDivisor = 5
	// rosterInterval is the interval between reads of the instance list.
	rosterInterval = 5 * time.Second
	// maxUnknown is the maximum number of listed addresses without a known member that
	// receive a heartbeat in one round.
	maxUnknown = 4
	// fetchQueueSize is the maximum number of pending fetches of configuration.
	fetchQueueSize = 16
)

// Gossiper sends rounds of heartbeats. A change of the configuration starts a round
// at once, so that the change does not wait for the interval at each hop.
type Gossiper struct {
	Client   *Client
	Server   *Server
	Roster   *roster.Source
	Interval time.Duration
	Logger   log.Interface
	// OnList, if set, is called with the entries after each read of the instance list.
	OnList func(entries []roster.Entry)

	entries  []roster.Entry
	listedAt time.Time
	behind   chan string // addresses of peers with newer configuration
}

// NewGossiper returns a gossiper that also fetches configuration from peers whose
// heartbeats show a newer version.
func NewGossiper(c *Client, s *Server, l *roster.Source, interval time.Duration, logger log.Interface) *Gossiper {
	g := &Gossiper{Client: c, Server: s, Roster: l, Interval: interval, Logger: logger, behind: make(chan string, fetchQueueSize)}
	s.onBehind = func(address string) {
		select {
		case g.behind <- address:
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
		g.Server.Members.Heartbeat()
		g.readRoster(ctx)
		g.Round(ctx)
		if !g.wait(ctx, tick, changed) {
			return
		}
	}
}

// wait waits until the next round is due and fetches configuration in the meantime.
// It returns false when ctx ends.
func (g *Gossiper) wait(ctx context.Context, tick <-chan time.Time, changed <-chan struct{}) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case <-tick:
			return true
		case <-changed:
			return true
		case address := <-g.behind:
			if err := g.exchange(ctx, address); err != nil {
				g.Logger.WithError(err).Debug("peers: could not fetch configuration from a peer")
			}
		}
	}
}

// readRoster reads the instance list if rosterInterval has passed. After a failure
// the previous list stays in use.
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

// Round sends one heartbeat each to a few peers, and to listed addresses without a
// known member.
func (g *Gossiper) Round(ctx context.Context) {
	addresses := map[string]bool{}
	now := time.Now()
	for _, m := range g.Server.Members.Targets(now, fanOut) {
		addresses[m.Address] = true
	}
	for _, a := range g.unknown(now) {
		addresses[a] = true
	}
	var group errgroup.Group
	for a := range addresses {
		group.Go(func() error { return g.exchange(ctx, a) })
	}
	if err := group.Wait(); err != nil && ctx.Err() == nil {
		g.Logger.WithError(err).Debug("peers: could not exchange heartbeats with a peer")
	}
}

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

// exchange sends a heartbeat, processes the one in the reply, and fetches the
// configuration that this instance lacks.
func (g *Gossiper) exchange(ctx context.Context, address string) error {
	callCtx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	stub := g.Client.stub(address)
	reply, err := stub.Beat(callCtx, g.Server.LocalHeartbeat())
	if err != nil {
		return errors.Wrap(err, "peers: call Beat")
	}
	g.Server.Receive(reply)
	return g.fetchConfig(callCtx, stub, reply)
}

// fetchConfig fetches configuration from the sender of a heartbeat while that has a
// newer version.
func (g *Gossiper) fetchConfig(ctx context.Context, stub wire.Peers, n *wire.BeatNote) error {
	sync := g.Server.Config
	for n.GetConfig() > sync.CompleteVersion() {
		before := sync.CompleteVersion()
		reply, err := stub.Docs(ctx, &wire.DocsAsk{After: before})
		if err != nil {
			return errors.Wrap(err, "peers: call Docs")
		}
		objects := make([]object.Object, len(reply.GetDocs()))
		for i, d := range reply.GetDocs() {
			objects[i] = object.New(d.GetKind(), d.GetName(), d.GetVersion(), d.GetValue())
		}
		sync.MergePeer(member.Name(n.GetSelf().GetProcess()), objects, reply.GetComplete())
		if sync.CompleteVersion() <= before {
			return nil
		}
	}
	return nil
}

// NewHeartbeat returns a heartbeat of this instance, with a sample of the members
// that it knows and the version of its configuration.
func NewHeartbeat(t *member.Table, config int64) *wire.BeatNote {
	n := &wire.BeatNote{Self: memberToWire(t.Self()), Config: config}
	for _, m := range t.Sample(time.Now()) {
		n.Members = append(n.Members, memberToWire(m))
	}
	return n
}
