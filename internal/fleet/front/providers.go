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

// ProviderSet holds the Wire providers of a Node and its dependencies.
var ProviderSet = wire.NewSet(
	node.NewProcessID, Listen, metrics.NewSet, NewClient, NewStore, NewMembers, node.NewClient, NewPicker, NewRoutes,
	NewFeeds, NewShards, NewHolder, NewReserver, NewRetryLimits, NewServer, NewGossiper, NewPool, NewForwarder,
	wire.Struct(new(Deps), "*"), New,
)

const (
	// dialTimeout bounds the opening of a connection to the platform.
	dialTimeout = time.Second
	// idleTimeout is how long an idle connection to the platform is kept.
	idleTimeout = 30 * time.Second
	// deleteGrace is how long an endpoint must be missing from the platform's lists
	// before it counts as deleted. Entries that expired in an outage of the platform
	// are back within two seconds.
	deleteGrace = 2500 * time.Millisecond
)

// Listeners holds the open listeners of an instance.
type Listeners struct{ callers, ready, peers, admin net.Listener }

// Listen opens listeners on the addresses of the settings.
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

// NewClient returns the HTTP client for the platform's store.
func NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: 4, IdleConnTimeout: idleTimeout, DisableCompression: true,
	}}
}

// NewStore returns the platform's store, instrumented to count its calls. After a
// call with an unknown outcome it closes the idle connections, because they may be
// dead as well.
func NewStore(s *setup.Settings, client *http.Client, set *metrics.Set, logger log.Interface) *object.Store {
	store := platform.NewStore(s.PlatformURL(), client, func(err error) {
		logger.WithError(err).Warn("store: skipped an object that could not be decoded")
	})
	return object.Instrument(store, func(verb, kind string, err error) {
		set.GetOrCreateCounter(callCounterName(verb, kind, object.Outcome(err))).Inc()
		if errors.Is(err, object.ErrUnknownOutcome) {
			client.CloseIdleConnections()
		}
	})
}

func callCounterName(verb, kind, outcome string) string {
	return `jacinthladder_platform_calls_total{verb="` + verb + `",kind="` + kind + `",result="` + outcome + `"}`
}

// NewMembers returns a membership table that contains only this instance.
func NewMembers(id node.ProcessID, s *setup.Settings) *member.Table {
	return member.NewTable(member.Member{Process: string(id), Zone: s.Zone(), Address: s.PeerAddress()}, s.HeartbeatInterval())
}

// NewPicker returns a picker without endpoints.
func NewPicker(s *setup.Settings) *picker.Picker { return picker.NewPicker(s.Zone()) }

// Routes holds the routing table in force.
type Routes struct {
	table atomic.Pointer[route.Table]
}

// NewRoutes returns routes without a routing table.
func NewRoutes() *Routes { return &Routes{} }

// Table returns the routing table in force, nil before the first configuration.
func (r *Routes) Table() *route.Table { return r.table.Load() }

// Feeds holds the change feeds of the objects that an instance watches.
type Feeds struct{ routes, endpoints *feed.Feed }

// NewFeeds returns feeds that apply changes of the configuration to r and changes of
// endpoints to p.
func NewFeeds(s *setup.Settings, store *object.Store, r *Routes, p *picker.Picker, logger log.Interface) *Feeds {
	f := &Feeds{
		routes:    feed.New(platform.RoutesKind, store, logger),
		endpoints: feed.New(platform.EndpointsKind, store, logger),
	}
	f.routes.WatchTimeout, f.endpoints.WatchTimeout = time.Duration(s.Forward().WatchTimeout), time.Duration(s.Forward().WatchTimeout)
	f.routes.Apply = func(source string, o object.Object) { applyRoutes(source, o, r, p, logger) }
	f.endpoints.DeleteGrace = deleteGrace
	f.endpoints.Apply = func(source string, o object.Object) { applyEndpoint(source, o, p, logger) }
	return f
}

// applyRoutes applies a version of the configuration, unless it is invalid or older
// than the one in force.
func applyRoutes(source string, o object.Object, r *Routes, p *picker.Picker, logger log.Interface) {
	if o.Name() != platform.ConfigName || o.Deleted() {
		return
	}
	l := logger.WithFields(log.Fields{"source": source, "rev": o.Version()})
	t, err := platform.DecodeConfig(o)
	if err != nil {
		l.WithError(err).Error("config: rejected an invalid version")
		return
	}
	if old := r.Table(); old != nil && old.Version() > t.Version() {
		l.WithField("version", t.Version()).WithField("inforce", old.Version()).Warn("config: ignored a version older than the one in force")
		return
	}
	for _, s := range t.Services() {
		if s.Engine != nil {
			p.SetKVTokens(s.Name, s.Engine.KVTokens)
		}
	}
	r.table.Store(t)
	l.WithField("version", t.Version()).Info("config: applied")
}

// applyEndpoint applies a changed entry of the endpoint registry. If the entry cannot
// be decoded, it removes the endpoint.
func applyEndpoint(source string, o object.Object, p *picker.Picker, logger log.Interface) {
	l := logger.WithFields(log.Fields{"source": source, "rev": o.Version(), "endpoint": o.Name()})
	if o.Deleted() {
		if p.Remove(o.Name()) {
			l.Info("endpoint: gone")
		}
		return
	}
	e, err := platform.DecodeEndpoint(o)
	if err != nil {
		p.Remove(o.Name())
		l.WithError(err).Warn("endpoint: removed, its entry could not be decoded")
		return
	}
	if p.Update(e, time.Now()) {
		l.WithFields(log.Fields{"service": e.Service, "zone": e.Zone, "leaving": e.Leaving}).Info("endpoint: changed")
	}
}

// NewHolder returns an escrow holder without shares.
func NewHolder(id node.ProcessID, shards *ledger.Shards, t *member.Table, c *peers.Client, set *metrics.Set, logger log.Interface) *escrow.Holder {
	calls := c.Escrow()
	calls.HomeKey = shards.ShardName
	calls.Request = timeRequests(calls.Request, set)
	h := escrow.NewHolder(string(id), shards.Store(), calls, func(err error) {
		set.GetOrCreateCounter("jacinthladder_broken_rules_total").Inc()
		logger.WithError(err).Error("escrow: a rule would be broken, the share refuses all further reservations and transfers")
	})
	h.HomeUnresponsive = func(process string) {
		logger.WithField("home", process).Warn("budget: the home did not reply, asking the next one")
	}
	h.RequestDenied = func(r escrow.TransferRequest, reason error, stats escrow.Stats) {
		free, age := stats.Free()
		logger.WithFields(log.Fields{
			"account": r.Budget, "from": escrow.ProcessOf(r.From), "need": r.Need, "reason": reason.Error(),
			"idle": stats.Idle(), "reserved": stats.Reserved(), "free": free, "age": age.Milliseconds(),
		}).Info("budget: denied a peer")
	}
	h.RefillInterval = func() time.Duration { return refillInterval(t.Counts()) }
	return h
}

const (
	// minRefillInterval is the minimum interval between rounds of refills in a small
	// fleet: much shorter than the time that a share lasts during an outage, much
	// longer than a call to the platform.
	minRefillInterval = 900 * time.Millisecond
	// smallFleet is the maximum number of drawing instances in a small fleet. In a
	// larger fleet the interval grows with their number, so that the whole fleet
	// makes no more calls.
	smallFleet = 6
	// maxRefillInterval keeps the interval well below the time that a share lasts
	// during an outage.
	maxRefillInterval = 4 * time.Second
)

// timeRequests wraps request and records the latency and the failures of transfer
// requests to peers.
func timeRequests(request func(context.Context, string, escrow.TransferRequest) (escrow.TransferReply, error), set *metrics.Set) func(context.Context, string, escrow.TransferRequest) (escrow.TransferReply, error) {
	latency := set.GetOrCreateHistogram("jacinthladder_budget_ask_seconds")
	failures := set.GetOrCreateCounter("jacinthladder_budget_asks_failed_total")
	return func(ctx context.Context, process string, req escrow.TransferRequest) (escrow.TransferReply, error) {
		began := time.Now()
		r, err := request(ctx, process, req)
		latency.UpdateDuration(began)
		if err != nil {
			failures.Inc()
		}
		return r, err
	}
}

// minHomeRefillInterval is the minimum interval between rounds of refills where a home
// draws for its zone. One such draw serves many instances, so fewer calls suffice.
const minHomeRefillInterval = 1600 * time.Millisecond

// refillInterval returns the interval between rounds of refills in a fleet where each
// instance draws for itself or, with large zones, one instance draws for its zone.
func refillInterval(c member.Counts) time.Duration {
	drawing := c.Others + 1
	viaHome := c.SameZone >= escrow.MinZoneMembers
	if viaHome {
		drawing = c.Zones
	}
	d := min(minRefillInterval*time.Duration(max(drawing, smallFleet))/smallFleet, maxRefillInterval)
	if viaHome {
		d = max(d, minHomeRefillInterval)
	}
	return d - d/8 + rand.N(d/4) // jitter, so that instances started together do not stay in step
}

// writesPerShard is the number of writes per second, of the rate that the platform
// accepts, for each shard of ledgers. Writes to one shard conflict, so a platform for
// a larger fleet has more shards. All instances must use the same number of shards.
const writesPerShard = 300

// minShards is the minimum number of shards.
const minShards = 4

// NewShards returns the shards of ledgers on the platform.
func NewShards(s *setup.Settings, store *object.Store) *ledger.Shards {
	return ledger.NewShards(store, max(s.Forward().WriteRate/writesPerShard, minShards))
}

// NewReserver returns a reserver of prepaid tokens.
func NewReserver(s *setup.Settings, h *escrow.Holder, shards *ledger.Shards, t *member.Table) *prepay.Reserver {
	r := &prepay.Reserver{
		Holder: h, EmptyTTL: func() time.Duration { return refillInterval(t.Counts()) },
		EnsurePaid: shards.EnsurePaid,
	}
	r.SetOutageTolerance(time.Duration(s.Forward().OutageTolerance))
	return r
}

// minFleetSize is the assumed minimum size of the fleet. An instance that cannot reach
// its peers would otherwise assume that it is alone.
const minFleetSize = 6

// RetryLimits limits the retries of each service to this instance's part of the limit
// for the fleet.
type RetryLimits struct {
	settings   *setup.Forward
	countPeers func() int

	mu        sync.Mutex
	fleetSize int // the largest size known so far
	windows   map[string]*retry.Window
}

// NewRetryLimits returns retry limits that have counted no requests.
func NewRetryLimits(s *setup.Settings, t *member.Table) *RetryLimits {
	return &RetryLimits{settings: s.Forward(), countPeers: t.Others, fleetSize: minFleetSize, windows: map[string]*retry.Window{}}
}

// Window returns the sliding window that limits the retries of a service.
func (r *RetryLimits) Window(service string) *retry.Window {
	r.mu.Lock()
	defer r.mu.Unlock()
	if fleet := r.countPeers() + 1; fleet > r.fleetSize {
		r.fleetSize = fleet
		r.updateLimits()
	}
	w := r.windows[service]
	if w == nil {
		w = &retry.Window{Span: time.Duration(r.settings.RetryWindow)}
		r.windows[service] = w
		r.updateLimits()
	}
	return w
}

// configure applies new settings.
func (r *RetryLimits) configure(s *setup.Forward) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settings = s
	r.updateLimits()
}

// updateLimits sets the limits of all windows. The caller holds r.mu.
func (r *RetryLimits) updateLimits() {
	for _, w := range r.windows {
		w.SetLimit(r.settings.RetryRatio*retryFraction, r.settings.ExtraRetries*retryFraction/float64(r.fleetSize))
	}
}

// retryFraction is the fraction of the allowed retries that is used. The rest allows
// for the requests counted by an instance that is killed, which the others do not know.
const retryFraction = 0.8

// NewServer returns the server for peers.
func NewServer(t *member.Table, h *escrow.Holder, f *Feeds, p *picker.Picker) *peers.Server {
	return &peers.Server{
		Members: t, Holder: h,
		Config: peers.ConfigSync{
			Changed: f.routes.Changed, CompleteVersion: f.routes.Version, Since: f.routes.Since, MergePeer: f.routes.MergePeer,
		},
		LocalHeartbeat: func() *peerwire.BeatNote {
			n := peers.NewHeartbeat(t, f.routes.Version())
			for _, id := range p.Leaving() {
				n.Leaving = append(n.Leaving, &peerwire.LeaveNote{Endpoint: id})
			}
			return n
		},
		OnHeartbeat: func(n *peerwire.BeatNote) {
			for _, l := range n.GetLeaving() {
				p.MarkLeaving(l.GetEndpoint())
			}
		},
	}
}

// NewGossiper returns a gossiper whose instance list consists of the seeds.
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

// NewPool returns a connection pool without connections.
func NewPool() *conns.Pool { return &conns.Pool{} }

// NewForwarder returns the server for forwarded requests.
func NewForwarder(routes *Routes, p *picker.Picker, pool *conns.Pool, reserver *prepay.Reserver, limits *RetryLimits, set *metrics.Set, logger log.Interface) *serve.Server {
	return &serve.Server{
		Table: routes.Table, Picker: p, Pool: pool, Reserver: reserver, Retries: limits.Window, Codec: platform.HeaderCodec(),
		Metrics: serve.NewMetrics(set), Logger: logger,
	}
}
