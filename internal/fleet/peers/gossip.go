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
	// fanOut is the number of peers that one round of heartbeats goes to.
	fanOut = 3
	// earlyRounds is how many rounds go out fast after the start, every earlyPart of
	// an interval: what a fleet does depends on who is there.
	earlyRounds = 6
	earlyPart   = 5
	// listTime is how often the instance list is read.
	listTime = 5 * time.Second
	// strangers is the most unknown addresses of the list tried in one round.
	strangers = 4
	// behindSize is the most fetches of configuration that wait.
	behindSize = 16
)

// Gossiper sends heartbeats. A change of the configuration sends a round at once,
// so that it spreads in as many steps as the fleet is deep, not intervals.
type Gossiper struct {
	Client   *Client
	Server   *Server
	List     *roster.Source
	Interval time.Duration
	Logger   log.Interface
	// OnList takes in each reading of the instance list.
	OnList func(entries []roster.Entry)

	entries []roster.Entry
	read    time.Time
	behind  chan string // addresses of peers with more configuration
}

// NewGossiper returns a beater that also fetches configuration from peers whose
// heartbeats show that they have more.
func NewGossiper(c *Client, s *Server, l *roster.Source, interval time.Duration, logger log.Interface) *Gossiper {
	b := &Gossiper{Client: c, Server: s, List: l, Interval: interval, Logger: logger, behind: make(chan string, behindSize)}
	s.behind = func(address string) {
		select {
		case b.behind <- address:
		default: // a fetch is due already
		}
	}
	return b
}

// Run sends heartbeats until ctx ends.
func (b *Gossiper) Run(ctx context.Context) {
	t := time.NewTicker(b.Interval)
	defer t.Stop()
	early := time.NewTicker(b.Interval / earlyPart)
	defer early.Stop()
	for round := 0; ; round++ {
		tick := early.C
		if round >= earlyRounds {
			tick = t.C
			early.Stop()
		}
		changed := b.Server.Config.Changed()
		b.Server.Table.Heartbeat()
		b.list(ctx)
		b.Round(ctx)
		if !b.pause(ctx, tick, changed) {
			return
		}
	}
}

// pause waits until the next round is due, and reports false at the end of ctx.
func (b *Gossiper) pause(ctx context.Context, tick <-chan time.Time, changed <-chan struct{}) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case <-tick:
			return true
		case <-changed:
			return true
		case address := <-b.behind:
			if err := b.exchange(ctx, address); err != nil {
				b.Logger.WithError(err).Debug("peers: a fetch failed")
			}
		}
	}
}

// list reads the instance list if it is time. A failure leaves the old one.
func (b *Gossiper) list(ctx context.Context) {
	if b.List == nil || time.Since(b.read) < listTime {
		return
	}
	call, cancel := context.WithTimeout(ctx, beatTime)
	defer cancel()
	b.read = time.Now()
	entries, err := b.List.Read(call)
	if err != nil {
		b.Logger.WithError(err).Warn("peers: instance list can't be read")
		return
	}
	b.entries = entries
	if b.OnList != nil {
		b.OnList(entries)
	}
}

// Round sends one heartbeat each to a few peers, and to addresses of the
// instance list that have not been heard of.
func (b *Gossiper) Round(ctx context.Context) {
	addresses := map[string]bool{}
	now := time.Now()
	for _, m := range b.Server.Table.Targets(now, fanOut) {
		addresses[m.Address] = true
	}
	for _, a := range b.unknown(now) {
		addresses[a] = true
	}
	var g errgroup.Group
	for a := range addresses {
		g.Go(func() error { return b.exchange(ctx, a) })
	}
	if err := g.Wait(); err != nil && ctx.Err() == nil {
		b.Logger.WithError(err).Debug("peers: a heartbeat failed")
	}
}

func (b *Gossiper) unknown(now time.Time) []string {
	known := map[string]bool{b.Server.Table.Self().Address: true}
	for _, m := range b.Server.Table.Live(now) {
		known[m.Address] = true
	}
	var addresses []string
	for _, e := range b.entries {
		if !known[e.Address] && len(addresses) < strangers {
			addresses = append(addresses, e.Address)
		}
	}
	return addresses
}

// exchange sends a heartbeat and takes in the answer, with the configuration
// that either side lacks.
func (b *Gossiper) exchange(ctx context.Context, address string) error {
	call, cancel := context.WithTimeout(ctx, beatTime)
	defer cancel()
	stub := b.Client.stub(address)
	answer, err := stub.Beat(call, b.Server.LocalHeartbeat())
	if err != nil {
		return errors.Wrap(err, "peers: beat")
	}
	b.Server.Receive(answer)
	return b.catch(call, stub, answer)
}

// catch fetches configuration from a peer that has more.
func (b *Gossiper) catch(ctx context.Context, stub wire.Peers, n *wire.BeatNote) error {
	k := b.Server.Config
	for n.GetConfig() > k.CompleteVersion() {
		before := k.CompleteVersion()
		answer, err := stub.Docs(ctx, &wire.DocsAsk{After: before})
		if err != nil {
			return errors.Wrap(err, "peers: docs")
		}
		objects := make([]object.Object, len(answer.GetDocs()))
		for i, d := range answer.GetDocs() {
			objects[i] = object.New(d.GetKind(), d.GetName(), d.GetVersion(), d.GetValue())
		}
		k.MergePeer(member.Name(n.GetSelf().GetProcess()), objects, answer.GetComplete())
		if k.CompleteVersion() <= before {
			return nil
		}
	}
	return nil
}

// NewHeartbeat returns a heartbeat of this instance.
func NewHeartbeat(t *member.Table, config int64) *wire.BeatNote {
	n := &wire.BeatNote{Self: memberNote(t.Self()), Config: config}
	for _, m := range t.Sample(time.Now()) {
		n.Members = append(n.Members, memberNote(m))
	}
	return n
}
