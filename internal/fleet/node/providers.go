package node

import (
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/google/wire"

	"jacinthladder.dev/coord/escrow"
	"jacinthladder.dev/coord/limit"
	"jacinthladder.dev/coord/member"
	"jacinthladder.dev/internal/conf/setup"
	"jacinthladder.dev/internal/entry/accept"
	"jacinthladder.dev/internal/entry/call"
	"jacinthladder.dev/internal/entry/flow"
	"jacinthladder.dev/internal/entry/hold"
	"jacinthladder.dev/internal/entry/meter"
	"jacinthladder.dev/internal/entry/relay"
	"jacinthladder.dev/internal/entry/replay"
	"jacinthladder.dev/internal/entry/send"
	"jacinthladder.dev/internal/entry/settle"
	"jacinthladder.dev/internal/fleet/config"
	"jacinthladder.dev/internal/fleet/ledger"
	"jacinthladder.dev/internal/fleet/once"
	"jacinthladder.dev/internal/fleet/owner"
	"jacinthladder.dev/internal/fleet/peers"
	peerwire "jacinthladder.dev/internal/fleet/peers/wire"
	"jacinthladder.dev/internal/plat/object"
	"jacinthladder.dev/internal/plat/roster"
	"jacinthladder.dev/internal/route/choose"
	"jacinthladder.dev/internal/route/health"
)

// Set is the providers of all parts of a Node, for the injectors.
var Set = wire.NewSet(
	NewProcessID, Listen, meter.New, NewStore, NewList, NewConfig, NewPicker, NewPoller, NewTable, NewClient,
	NewHolder, NewServer, NewGossiper, NewRecorder, NewParser, NewReplays, NewReserver, NewClaimer, owner.New, NewLimiter, send.NewSender, relay.NewRunner,
	NewPipeline, wire.Struct(new(Deps), "*"), New,
)

// platformTime bounds a call to the platform that has no deadline of its own.
const platformTime = 20 * time.Second

func platformClient(s *setup.Settings) *http.Client {
	return &http.Client{Timeout: platformTime, Transport: &zoned{zone: s.Zone(), next: &http.Transport{
		MaxIdleConnsPerHost: 32, IdleConnTimeout: 30 * time.Second,
	}}}
}

// zoned tells the platform which availability zone a call comes from.
type zoned struct {
	zone string
	next http.RoundTripper
}

// RoundTrip sends r with the zone's header.
func (z *zoned) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Jacinthladder-Zone", z.zone)
	return z.next.RoundTrip(r)
}

// NewStore returns the platform of the settings, with its calls counted.
func NewStore(s *setup.Settings, m *meter.Metrics) *object.Store {
	return object.Instrument(object.NewHTTP(s.PlatformURL(), platformClient(s)), func(verb, _ string, err error) {
		m.PlatformCall(verb, object.Outcome(err))
	})
}

// NewList returns the platform's instance list.
func NewList(s *setup.Settings) *roster.Source {
	return roster.NewHTTP(s.PlatformURL(), platformClient(s))
}

// NewConfig returns a keeper with nothing in force.
func NewConfig(store *object.Store, logger log.Interface) *config.Cache {
	return config.NewCache(store, logger)
}

// NewPicker returns a board that knows no endpoint.
func NewPicker(s *setup.Settings, t *member.Table, logger log.Interface) *choose.Picker {
	return choose.NewPicker(s.Name(), s.Zone(), logger, t.Others, nil)
}

// NewPoller returns a reader of load reports.
func NewPoller(k *config.Cache, b *choose.Picker) *health.Poller {
	return health.NewPoller(&http.Client{Transport: &http.Transport{IdleConnTimeout: 30 * time.Second}}, k.Snapshot, b)
}

// NewTable returns a membership table that knows only this instance.
func NewTable(p ProcessID, s *setup.Settings, l *Listeners) *member.Table {
	self := member.Member{Process: string(p), Zone: s.Zone(), Address: l.peers.Addr().String()}
	return member.NewTable(self, s.HeartbeatInterval())
}

// NewClient returns the way to peers.
func NewClient(t *member.Table) *peers.Client { return peers.NewClient(t, nil) }

// NewHolder returns an escrow holder without shares.
func NewHolder(p ProcessID, store *object.Store, c *peers.Client, m *meter.Metrics, logger log.Interface) *escrow.Holder {
	return escrow.NewHolder(string(p), ledger.NewStore(store), c.Escrow(), func(err error) {
		m.Violation()
		logger.WithError(err).Error("escrow: a rule would be broken, the share refuses from now on")
	})
}

// NewServer returns what answers peers.
func NewServer(t *member.Table, h *escrow.Holder, k *config.Cache, b *choose.Picker, l *limit.Limiter) *peers.Server {
	return &peers.Server{
		Table: t, Holder: h,
		Config: peers.ConfigSync{Changed: k.Changed, CompleteVersion: k.CompleteVersion, Since: k.Since, MergePeer: k.MergePeer},
		LocalHeartbeat: func() *peerwire.BeatNote {
			n := peers.NewHeartbeat(t, k.CompleteVersion())
			for name, left := range b.Leaving() {
				n.Leaving = append(n.Leaving, &peerwire.LeaveNote{Endpoint: name, Left: left.Milliseconds()})
			}
			for _, u := range l.Demands() {
				n.Uses = append(n.Uses, &peerwire.UseNote{Account: u.Account, Service: u.Service, Rate: u.Rate, Open: int64(u.InFlight)})
			}
			return n
		},
		OnHeartbeat: func(n *peerwire.BeatNote) {
			uses := make([]limit.Demand, len(n.GetUses()))
			for i, u := range n.GetUses() {
				uses[i] = limit.Demand{Key: limit.Key{Account: u.GetAccount(), Service: u.GetService()}, Rate: u.GetRate(), InFlight: int(u.GetOpen())}
			}
			l.SetPeer(n.GetSelf().GetProcess(), uses)
			for _, l := range n.GetLeaving() {
				b.MarkLeaving(l.GetEndpoint(), time.Duration(l.GetLeft())*time.Millisecond)
			}
		},
	}
}

// NewGossiper returns what sends heartbeats.
func NewGossiper(c *peers.Client, sv *peers.Server, l *roster.Source, s *setup.Settings, b *choose.Picker, logger log.Interface) *peers.Gossiper {
	beater := peers.NewGossiper(c, sv, l, s.HeartbeatInterval(), logger)
	beater.OnList = func(entries []roster.Entry) {
		for _, e := range entries {
			if e.Leaving {
				b.MarkLeaving(e.Name, choose.LeaveTTL)
			}
		}
	}
	return beater
}

// NewRecorder returns a clerk without records.
func NewRecorder(p ProcessID, store *object.Store, logger log.Interface) *settle.Recorder {
	return settle.NewRecorder(string(p), store, logger)
}

// NewParser returns what accepts requests.
func NewParser(s *setup.Settings, k *config.Cache) *accept.Parser {
	return &accept.Parser{Config: k.Snapshot, MaxBody: s.MaxBody()}
}

// NewReplays returns an empty table of attempts.
func NewReplays(s *setup.Settings) *replay.Table { return replay.NewTable(s.ReplayMemory()) }

// NewReserver returns what reserves budget.
func NewReserver(h *escrow.Holder) *hold.Reserver { return &hold.Reserver{Holder: h} }

// NewClaimer returns a keeper without claims.
func NewClaimer(p ProcessID, store *object.Store) *once.Claimer { return once.New(store, string(p)) }

// NewLimiter returns limits that have admitted nothing.
func NewLimiter(t *member.Table) *limit.Limiter {
	return limit.New(t.Self().Process, func() []string {
		var live []string
		for _, m := range t.Live(time.Now()) {
			live = append(live, m.Process)
		}
		return live
	})
}

// NewPipeline returns the stages in order, and lets peers follow its answers.
func NewPipeline(
	g *accept.Parser, t *replay.Table, d *hold.Reserver, b *choose.Picker, s *send.Sender, e *relay.Runner,
	c *settle.Recorder, m *meter.Metrics, o *owner.Registry, k *once.Claimer, l *limit.Limiter, cl *peers.Client,
	sv *peers.Server, logger log.Interface,
) *flow.Pipeline {
	f := &flow.Pipeline{
		Parser: g, Replays: t, Reserver: d, Picker: b, Sender: s, Runner: e, Recorder: c, Metrics: m, Owners: o, Once: k,
		FollowPeer: cl.Follow, Admit: allow(l), Logger: logger,
	}
	sv.HandleClaim, sv.HandleFollow = o.Handle, f.ServeFollow
	return f
}

// allow admits calls within the limits of their documents.
func allow(l *limit.Limiter) func(c *call.Call) (func(), error) {
	return func(c *call.Call) (func(), error) {
		most := c.Service().Limit(c.Account())
		release, after, ok := l.Admit(limit.Key{Account: c.Account(), Service: c.Service().Name()}, limit.Limit{Rate: most.Rate(), InFlight: most.InFlight()})
		if !ok {
			return nil, call.Refuse(call.RateLimit, "account %s is at its limit on %s", c.Account(), c.Service().Name()).RetryAfter(after)
		}
		return release, nil
	}
}
