package front

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"jacinthladder.dev/coord/escrow"
	"jacinthladder.dev/coord/member"
	"jacinthladder.dev/coord/permit"
	"jacinthladder.dev/internal/conf/setup"
	"jacinthladder.dev/internal/fleet/ledger"
	"jacinthladder.dev/internal/fleet/node"
	"jacinthladder.dev/internal/fleet/peers"
	peerwire "jacinthladder.dev/internal/fleet/peers/wire"
	"jacinthladder.dev/internal/fleet/tunnel"
	"jacinthladder.dev/internal/forward/origin"
	"jacinthladder.dev/internal/forward/picker"
	"jacinthladder.dev/internal/forward/poison"
	"jacinthladder.dev/internal/forward/signal"
	"jacinthladder.dev/internal/plat/object"
	"jacinthladder.dev/internal/plat/roster"
)

// NewNews returns the signal that starts a round of heartbeats at once.
func NewNews() *signal.Signal { return &signal.Signal{} }

// NewGranter returns the granter of permits for endpoints that take a limited rate.
func NewGranter(id node.ProcessID, c *peers.Client) *permit.Granter {
	return &permit.Granter{Process: string(id), Fleet: c.Permits()}
}

// NewPoison returns the tracker that blocks requests which crash endpoints. It logs and counts
// the traits that it blocks.
func NewPoison(news *signal.Signal, set *metrics.Set, logger log.Interface) *poison.Tracker {
	blocked := set.GetOrCreateCounter("jacinthladder_traits_blocked_total")
	return &poison.Tracker{
		News: news.Raise,
		Blocked: func(trait string, crashes int) {
			blocked.Inc()
			logger.WithFields(log.Fields{"trait": trait, "crashes": crashes}).Warn("poison: endpoints crash under a trait of requests, those with it are refused")
		},
		Released: func(trait string) {
			logger.WithField("trait", trait).Info("poison: a trait of requests is no longer blocked")
		},
	}
}

// NewOrigins returns the register of the software versions that began streams. It lists the
// versions of those services whose responses are streams.
func NewOrigins(s *setup.Settings, store *object.Store, routes *Routes, f *Feeds, p *picker.Picker, t *member.Table, c *peers.Client, logger log.Interface) *origin.Register {
	return &origin.Register{
		Instance: s.Name(), Store: store, WriteRate: s.Forward().WriteRate, Logger: logger,
		Members: func() int { return t.Others() + 1 },
		Changed: f.applied.Changed, Ask: c.FindOrigin,
		Split: func() map[string]bool { return routes.Table().SplitServices() },
		Versions: func() map[string][]string {
			versions := map[string][]string{}
			for _, service := range routes.Table().StreamServices() {
				versions[service] = p.Versions(service)
			}
			return versions
		},
	}
}

// NewServer returns the server that handles the calls of peers. It exchanges the
// configuration, the entries of endpoints, the IDs of endpoints that are leaving, the rates
// that endpoints take and what crashes endpoints with them. When a peer reports an endpoint
// as leaving, the server marks the endpoint as leaving in p.
func NewServer(t *member.Table, h *escrow.Holder, f *Feeds, roles *Roles, p *picker.Picker, crashes *poison.Tracker, granter *permit.Granter, origins *origin.Register, tunnels *tunnel.Handler, news *signal.Signal, shards *ledger.Shards, logger log.Interface) *peers.Server {
	registry := syncOf(f.endpoints)
	return &peers.Server{
		Members: t, Holder: h, HandleKeep: shards.Keep, HandlePermit: granter.Handle, Origins: origins, Tunnels: tunnels, News: news.Changed,
		Spread: f.spread.Changed, Leader: roles.Leader, Followers: roles.Followers,
		Config: syncOf(f.routes), Registry: &registry,
		LocalHeartbeat: func() *peerwire.BeatNote {
			// What is known is read before the versions, which then include it.
			routes, endpoints := knownToWire(f.routes), knownToWire(f.endpoints)
			n := peers.NewHeartbeat(t, f.routes.Version())
			n.Registry, n.Routes, n.Endpoints = f.endpoints.Version(), routes, endpoints
			n.Limits = peers.LimitsToWire(p.Limits(time.Now()))
			n.Traits = peers.TraitsToWire(crashes.Notes(time.Now()))
			n.Versions = peers.VersionsToWire(origins.Listing())
			n.Origins = peers.OriginsToWire(origins.Unstored())
			for _, e := range p.Leaving() {
				n.Leaving = append(n.Leaving, &peerwire.LeaveNote{Endpoint: e.ID, Started: e.StartedAt})
			}
			return n
		},
		OnHeartbeat: func(n *peerwire.BeatNote) {
			p.MergeLimits(peers.LimitsFromWire(n.GetLimits()), time.Now())
			crashes.Merge(peers.TraitsFromWire(n.GetTraits()), time.Now())
			origins.Merge(peers.VersionsFromWire(n.GetVersions()))
			origins.Keep(peers.OriginsFromWire(n.GetOrigins()))
			for _, l := range n.GetLeaving() {
				if p.MarkLeaving(l.GetEndpoint(), l.GetStarted(), time.Now()) {
					logger.WithFields(log.Fields{"endpoint": l.GetEndpoint(), "source": member.Name(n.GetSelf().GetProcess())}).Info("endpoint: leaving, a peer said so")
				}
			}
		},
	}
}

// NewGossiper returns a gossiper that sends heartbeats to peers. Instead of the platform's
// instance list it uses the seeds, the peer addresses in the settings.
func NewGossiper(c *peers.Client, server *peers.Server, s *setup.Settings, logger log.Interface) *peers.Gossiper {
	seeds := &roster.Source{Read: func(context.Context) ([]roster.Entry, error) {
		var entries []roster.Entry
		for _, a := range s.Forward().Seeds {
			entries = append(entries, roster.Entry{Address: a})
		}
		return entries, nil
	}}
	return peers.NewGossiper(c, server, seeds, s.HeartbeatInterval(), logger)
}
