package front

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/google/wire"

	"jacinthladder.dev/coord/escrow"
	"jacinthladder.dev/coord/member"
	"jacinthladder.dev/coord/retry"
	"jacinthladder.dev/internal/conf/setup"
	"jacinthladder.dev/internal/fleet/feed"
	"jacinthladder.dev/internal/fleet/ledger"
	"jacinthladder.dev/internal/fleet/node"
	"jacinthladder.dev/internal/fleet/peers"
	peerwire "jacinthladder.dev/internal/fleet/peers/wire"
	"jacinthladder.dev/internal/forward/conns"
	"jacinthladder.dev/internal/forward/picker"
	"jacinthladder.dev/internal/forward/prepay"
	"jacinthladder.dev/internal/forward/route"
	"jacinthladder.dev/internal/forward/serve"
	"jacinthladder.dev/internal/plat/object"
	"jacinthladder.dev/internal/plat/roster"
	"jacinthladder.dev/platform"
)

// Set is the providers of all parts of a Node, for the injectors.
var Set = wire.NewSet(
	node.NewProcessID, Listen, metrics.NewSet, NewClient, NewStore, NewTable, node.NewClient, NewPicker, NewRoutes,
	NewFeeds, NewShards, NewHolder, NewReserver, NewRetryLimits, NewServer, NewGossiper, NewPool, NewForwarder,
	wire.Struct(new(Deps), "*"), New,
)

const (
	// dialTime bounds the opening of a connection to the platform.
	dialTime = time.Second
	// idleTime is how long an unused connection to the platform is kept.
	idleTime = 30 * time.Second
	// absentTime is how long an endpoint must be missing from the platform's
	// lists: entries that lapsed in an outage come back within two seconds.
	absentTime = 2500 * time.Millisecond
)

// Listeners are the open addresses of an instance.
type Listeners struct{ callers, ready, peers, admin net.Listener }

// Listen opens the addresses of the settings.
func Listen(s *setup.Settings) (*Listeners, error) {
	var open []net.Listener
	for _, a := range []string{s.ListenAddress(), s.Forward().ReadyAddress, s.PeerAddress(), s.AdminAddress()} {
		l, err := net.Listen("tcp", a)
		if err != nil {
			for _, o := range open {
				err = errors.CombineErrors(err, o.Close())
			}
			return nil, errors.Wrap(err, "front: listen")
		}
		open = append(open, l)
	}
	return &Listeners{callers: open[0], ready: open[1], peers: open[2], admin: open[3]}, nil
}

// NewClient returns the client for the platform's store.
func NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTime}).DialContext,
		MaxIdleConnsPerHost: 4, IdleConnTimeout: idleTime, DisableCompression: true,
	}}
}

// NewStore returns the platform's store, with its calls counted. After a call
// without an answer the idle connections are dropped: they may have fallen silent
// as well.
func NewStore(s *setup.Settings, client *http.Client, set *metrics.Set, logger log.Interface) *object.Store {
	store := platform.Store(s.PlatformURL(), client, func(err error) {
		logger.WithError(err).Warn("store: dropped what can't be read")
	})
	return object.Instrument(store, func(verb, kind string, err error) {
		set.GetOrCreateCounter(callName(verb, kind, object.Outcome(err))).Inc()
		if errors.Is(err, object.ErrUnknownOutcome) {
			client.CloseIdleConnections()
		}
	})
}

func callName(verb, kind, outcome string) string {
	return `jacinthladder_platform_calls_total{verb="` + verb + `",kind="` + kind + `",result="` + outcome + `"}`
}

// NewTable returns a membership table that knows only this instance.
func NewTable(p node.ProcessID, s *setup.Settings) *member.Table {
	return member.NewTable(member.Member{Process: string(p), Zone: s.Zone(), Address: s.PeerAddress()}, s.HeartbeatInterval())
}

// NewPicker returns a board that knows no endpoint.
func NewPicker(s *setup.Settings) *picker.Picker { return picker.NewPicker(s.Zone()) }

// Routes holds the configuration in force.
type Routes struct {
	table atomic.Pointer[route.Table]
}

// NewRoutes returns rules without a configuration.
func NewRoutes() *Routes { return &Routes{} }

// Table returns the configuration in force, nil while there is none.
func (r *Routes) Table() *route.Table { return r.table.Load() }

// Feeds are what an instance follows on the platform.
type Feeds struct{ routes, endpoints *feed.Feed }

// NewFeeds returns feeds that put what they hear in force.
func NewFeeds(s *setup.Settings, store *object.Store, r *Routes, b *picker.Picker, logger log.Interface) *Feeds {
	f := &Feeds{
		routes:    feed.New(platform.RoutesKind, store, logger),
		endpoints: feed.New(platform.EndpointsKind, store, logger),
	}
	f.routes.WatchTimeout, f.endpoints.WatchTimeout = time.Duration(s.Forward().WatchTimeout), time.Duration(s.Forward().WatchTimeout)
	f.routes.Apply = func(source string, o object.Object) { applyRoutes(source, o, r, b, logger) }
	f.endpoints.DeleteGrace = absentTime
	f.endpoints.Apply = func(source string, o object.Object) { applyEndpoint(source, o, b, logger) }
	return f
}

// applyRoutes puts a version of the configuration in force.
func applyRoutes(source string, o object.Object, r *Routes, b *picker.Picker, logger log.Interface) {
	if o.Name() != platform.ConfigName || o.Deleted() {
		return
	}
	l := logger.WithFields(log.Fields{"source": source, "rev": o.Version()})
	t, err := platform.DecodeConfig(o)
	if err != nil {
		l.WithError(err).Error("config: refused")
		return
	}
	if old := r.Table(); old != nil && old.Version() > t.Version() {
		l.WithField("version", t.Version()).WithField("inforce", old.Version()).Warn("config: older than in force")
		return
	}
	for _, s := range t.Services() {
		if s.Engine != nil {
			b.SetKVTokens(s.Name, s.Engine.KVTokens)
		}
	}
	r.table.Store(t)
	l.WithField("version", t.Version()).Info("config: in force")
}

// applyEndpoint takes in an entry of the registry. One that can't be read names
// no endpoint.
func applyEndpoint(source string, o object.Object, b *picker.Picker, logger log.Interface) {
	l := logger.WithFields(log.Fields{"source": source, "rev": o.Version(), "endpoint": o.Name()})
	if o.Deleted() {
		if b.Remove(o.Name()) {
			l.Info("endpoint: gone")
		}
		return
	}
	e, err := platform.DecodeReplica(o)
	if err != nil {
		b.Remove(o.Name())
		l.WithError(err).Warn("endpoint: dropped an entry")
		return
	}
	if b.Update(e, time.Now()) {
		l.WithFields(log.Fields{"service": e.Service, "zone": e.Zone, "leaving": e.Leaving}).Info("endpoint: changed")
	}
}

// NewHolder returns an escrow holder without shares.
func NewHolder(p node.ProcessID, g *ledger.Shards, t *member.Table, c *peers.Client, set *metrics.Set, logger log.Interface) *escrow.Holder {
	reach := c.Escrow()
	reach.HomeKey = g.ShardName
	reach.Request = timed(reach.Request, set)
	h := escrow.NewHolder(string(p), g.Store(), reach, func(err error) {
		set.GetOrCreateCounter("jacinthladder_broken_rules_total").Inc()
		logger.WithError(err).Error("escrow: a rule would be broken, the share refuses from now on")
	})
	h.HomeUnresponsive = func(process string) {
		logger.WithField("home", process).Warn("budget: a home gave no answer, the next one is asked")
	}
	h.RequestDenied = func(p escrow.TransferRequest, why error, f escrow.Stats) {
		free, age := f.Free()
		logger.WithFields(log.Fields{
			"account": p.Budget, "from": escrow.ProcessOf(p.From), "need": p.Need, "reason": why.Error(),
			"idle": f.Idle(), "reserved": f.Reserved(), "free": free, "age": age.Milliseconds(),
		}).Info("budget: denied a peer")
	}
	h.RefillInterval = func() time.Duration { return pace(t.Counts()) }
	return h
}

const (
	// paceTime is the least time between two rounds of refills in a small fleet:
	// short against the time that shares endure, long against a call to the
	// platform.
	paceTime = 900 * time.Millisecond
	// paceFleet is the number of instances that draw up to which a fleet counts as
	// small. In a larger one rounds are rarer, so that all together make as many
	// calls.
	paceFleet = 6
	// paceMost keeps rounds well within the time that shares endure.
	paceMost = 4 * time.Second
)

// timed measures pleas to peers.
func timed(ask func(context.Context, string, escrow.TransferRequest) (escrow.TransferReply, error), set *metrics.Set) func(context.Context, string, escrow.TransferRequest) (escrow.TransferReply, error) {
	took := set.GetOrCreateHistogram("jacinthladder_budget_ask_seconds")
	failed := set.GetOrCreateCounter("jacinthladder_budget_asks_failed_total")
	return func(ctx context.Context, process string, p escrow.TransferRequest) (escrow.TransferReply, error) {
		began := time.Now()
		r, err := ask(ctx, process, p)
		took.UpdateDuration(began)
		if err != nil {
			failed.Inc()
		}
		return r, err
	}
}

// paceHome is the least time between two rounds where one instance draws for its
// zone: what it draws in a call serves many, and few calls are more.
const paceHome = 1600 * time.Millisecond

// pace returns the least time between two rounds of refills in a fleet where each
// instance draws for itself, or in large zones one for all.
func pace(c member.Counts) time.Duration {
	drawers := c.Others + 1
	homes := c.SameZone >= escrow.MinZoneMembers
	if homes {
		drawers = c.Zones
	}
	d := min(paceTime*time.Duration(max(drawers, paceFleet))/paceFleet, paceMost)
	if homes {
		d = max(d, paceHome)
	}
	return d - d/8 + rand.N(d/4) // instances that start together drift apart
}

// writesPerGroup is how many writes a second of the platform's rate stand for one
// object of budgets. Writers of one object get in each other's way, so a platform
// for a larger fleet has more of them; all instances must agree on the number.
const writesPerGroup = 300

// leastGroups is the least number of such objects.
const leastGroups = 4

// NewShards returns the budgets on the platform.
func NewShards(s *setup.Settings, store *object.Store) *ledger.Shards {
	return ledger.NewShards(store, max(s.Forward().WriteRate/writesPerGroup, leastGroups))
}

// NewReserver returns what reserves tokens.
func NewReserver(s *setup.Settings, h *escrow.Holder, g *ledger.Shards, t *member.Table) *prepay.Reserver {
	p := &prepay.Reserver{
		Holder: h, EmptyTTL: func() time.Duration { return pace(t.Counts()) },
		EnsurePaid: g.EnsurePaid,
	}
	p.SetOutageTolerance(time.Duration(s.Forward().OutageTime))
	return p
}

// leastFleet is the size that a fleet is taken to have at least: what an instance
// that is cut off can't see.
const leastFleet = 6

// RetryLimits bounds the retries of each service, this instance's part of the
// fleet's.
type RetryLimits struct {
	settings *setup.Forward
	peers    func() int

	mu      sync.Mutex
	fleet   int // the largest size seen
	windows map[string]*retry.Window
}

// NewRetryLimits returns bounds that have counted nothing.
func NewRetryLimits(s *setup.Settings, t *member.Table) *RetryLimits {
	return &RetryLimits{settings: s.Forward(), peers: t.Others, fleet: leastFleet, windows: map[string]*retry.Window{}}
}

// Window returns the bound on the retries of a service.
func (r *RetryLimits) Window(service string) *retry.Window {
	r.mu.Lock()
	defer r.mu.Unlock()
	if fleet := r.peers() + 1; fleet > r.fleet {
		r.fleet = fleet
		r.tune()
	}
	w := r.windows[service]
	if w == nil {
		w = &retry.Window{Span: time.Duration(r.settings.RetryWindow)}
		r.windows[service] = w
		r.tune()
	}
	return w
}

// configure puts other settings in force.
func (r *RetryLimits) configure(s *setup.Forward) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settings = s
	r.tune()
}

// tune sets the bounds of all windows, with the lock held.
func (r *RetryLimits) tune() {
	for _, w := range r.windows {
		w.SetLimit(r.settings.RetryRatio*retryShare, r.settings.MinRetries*retryShare/float64(r.fleet))
	}
}

// retryShare is the part of the allowed retries that is used: requests that a
// killed instance has counted are lost to the others.
const retryShare = 0.8

// NewServer returns what answers peers.
func NewServer(t *member.Table, h *escrow.Holder, f *Feeds, b *picker.Picker) *peers.Server {
	return &peers.Server{
		Table: t, Holder: h,
		Config: peers.ConfigSync{
			Changed: f.routes.Changed, CompleteVersion: f.routes.Version, Since: f.routes.Since, MergePeer: f.routes.MergePeer,
		},
		LocalHeartbeat: func() *peerwire.BeatNote {
			n := peers.NewHeartbeat(t, f.routes.Version())
			for _, id := range b.Leaving() {
				n.Leaving = append(n.Leaving, &peerwire.LeaveNote{Endpoint: id})
			}
			return n
		},
		OnHeartbeat: func(n *peerwire.BeatNote) {
			for _, l := range n.GetLeaving() {
				b.MarkLeaving(l.GetEndpoint())
			}
		},
	}
}

// NewGossiper returns what sends heartbeats, first to the seeds.
func NewGossiper(c *peers.Client, sv *peers.Server, s *setup.Settings, logger log.Interface) *peers.Gossiper {
	seeds := &roster.Source{Read: func(context.Context) ([]roster.Entry, error) {
		var entries []roster.Entry
		for _, a := range s.Forward().Seeds {
			entries = append(entries, roster.Entry{Address: a})
		}
		return entries, nil
	}}
	return peers.NewGossiper(c, sv, seeds, s.HeartbeatInterval(), logger)
}

// NewPool returns a pool without connections.
func NewPool() *conns.Pool { return &conns.Pool{} }

// NewForwarder returns what serves forwarded requests.
func NewForwarder(r *Routes, b *picker.Picker, p *conns.Pool, pu *prepay.Reserver, re *RetryLimits, set *metrics.Set, logger log.Interface) *serve.Server {
	return &serve.Server{
		Table: r.Table, Picker: b, Pool: p, Reserver: pu, Retries: re.Window, Codec: platform.Dialect(),
		Metrics: serve.NewMetrics(set), Logger: logger,
	}
}
