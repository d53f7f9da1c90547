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
	"jacinthladder.dev/internal/forward/poison"
	"jacinthladder.dev/internal/forward/prepay"
	"jacinthladder.dev/internal/forward/route"
	"jacinthladder.dev/internal/forward/serve"
	"jacinthladder.dev/internal/plat/object"
	"jacinthladder.dev/internal/plat/roster"
	"jacinthladder.dev/platform"
)

// ProviderSet is the set of providers from which Wire constructs a Node and its
// dependencies.
var ProviderSet = wire.NewSet(
	node.NewProcessID, Listen, metrics.NewSet, NewClient, NewStore, NewMembers, node.NewClient, NewPicker, NewRoutes,
	NewFeeds, NewPoison, NewShards, NewHolder, NewReserver, NewRetryLimits, NewServer, NewGossiper, NewPool, NewForwarder,
	wire.Struct(new(Deps), "*"), New,
)

const (
	// dialTimeout bounds the opening of a connection to the platform.
	dialTimeout = time.Second
	// idleTimeout is how long an idle connection to the platform is kept.
	idleTimeout = 30 * time.Second
	// deleteGrace is how long an endpoint must be missing from the platform's lists of
	// endpoints before it counts as deleted. Entries that expired in an outage of the
	// platform are registered again within two seconds after it.
	deleteGrace = 2 * time.Second
)

// Listeners holds the open TCP listeners of an instance's four servers: for callers, for
// the readiness check of the load balancer, for peers, and for operators.
type Listeners struct{ callers, ready, peers, admin net.Listener }

// Listen opens TCP listeners on the addresses that the settings give for callers, the
// readiness check, peers and operators. If one of them can't be opened, it closes the
// others and returns an error.
func Listen(s *setup.Settings) (*Listeners, error) {
	var open []net.Listener
	for _, a := range []string{s.ListenAddress(), s.Forward().ReadyAddress, s.PeerAddress(), s.AdminAddress()} {
		l, err := net.Listen("tcp", a)
		if err != nil {
			for _, o := range open {
				err = errors.CombineErrors(err, o.Close())
			}
			return nil, errors.Wrap(err, "front: open the TCP listener for callers, the readiness check, peers or operators")
		}
		open = append(open, l)
	}
	return &Listeners{callers: open[0], ready: open[1], peers: open[2], admin: open[3]}, nil
}

// NewClient returns the HTTP client for calls to the platform's object store.
func NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: 4, IdleConnTimeout: idleTimeout, DisableCompression: true,
	}}
}

// NewStore returns a client of the platform's object store. It counts each call in set by
// verb, object kind and outcome. After a call with an unknown outcome it closes the idle
// connections of client, because they may be dead as well.
func NewStore(s *setup.Settings, client *http.Client, set *metrics.Set, logger log.Interface) *object.Store {
	store := platform.NewStore(s.PlatformURL(), client, func(err error) {
		logger.WithError(err).Warn("store: skipped an object that could not be decoded")
	}, func(before, now int64) {
		set.GetOrCreateCounter("jacinthladder_platform_eras_total").Inc()
		logger.WithFields(log.Fields{"before": before, "now": now}).Warn("store: the platform is back from an older copy, what was written there since is gone")
	})
	return object.Instrument(store, func(verb, kind string, err error) {
		set.GetOrCreateCounter(callCounterName(verb, kind, object.Outcome(err))).Inc()
		if errors.Is(err, object.ErrUnknownOutcome) {
			client.CloseIdleConnections()
		}
	})
}

// callCounterName returns the name, with labels, of the metric that counts the calls to
// the platform with a verb, an object kind and an outcome.
func callCounterName(verb, kind, outcome string) string {
	return `jacinthladder_platform_calls_total{verb="` + verb + `",kind="` + kind + `",result="` + outcome + `"}`
}

// NewMembers returns a membership table that contains only this instance.
func NewMembers(id node.ProcessID, s *setup.Settings) *member.Table {
	return member.NewTable(member.Member{Process: string(id), Zone: s.Zone(), Address: s.PeerAddress()}, s.HeartbeatInterval())
}

// NewPicker returns the picker, which chooses an endpoint for each request and takes the
// instance's zone into account. It knows no endpoints at first.
func NewPicker(s *setup.Settings) *picker.Picker { return picker.NewPicker(s.Zone()) }

// Routes holds the routing table in force. Each later version of the configuration
// replaces the table.
type Routes struct {
	table atomic.Pointer[route.Table]
}

// NewRoutes returns Routes that hold no routing table until a configuration is applied.
func NewRoutes() *Routes { return &Routes{} }

// Table returns the routing table in force, nil before the first configuration.
func (r *Routes) Table() *route.Table { return r.table.Load() }

// Feeds holds the two change feeds through which an instance follows the platform's
// objects: the configuration with the routes, and the endpoint registry.
type Feeds struct{ routes, endpoints *feed.Feed }

// NewFeeds returns feeds that apply each change of the configuration to r and p, and each
// change of an endpoint's registry entry to p. A feed watches the platform only while its
// method Run runs.
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

// applyRoutes puts the version of the configuration in the object o in force: its routing
// table in r, and the KV cache sizes of its services in p. It ignores and logs a version
// that is invalid or older than the one in force. Source says in the log where o comes
// from: "platform" or a peer's name. Objects of another name, and the deletion of the
// configuration, are ignored.
func applyRoutes(source string, o object.Object, r *Routes, p *picker.Picker, logger log.Interface) {
	if o.Name() != platform.ConfigName || o.Deleted() {
		return
	}
	l := logger.WithFields(log.Fields{"source": source, "rev": o.Version()})
	t, err := platform.DecodeConfig(o)
	if err != nil {
		l.WithError(err).Error("config: rejected an invalid version of the configuration")
		return
	}
	if old := r.Table(); old != nil && old.Version() > t.Version() {
		l.WithField("version", t.Version()).WithField("inforce", old.Version()).Warn("config: ignored a version of the configuration older than the one in force")
		return
	}
	for _, s := range t.Services() {
		if s.Engine != nil {
			p.SetKVTokens(s.Name, s.Engine.KVTokens)
		}
	}
	r.table.Store(t)
	l.WithField("version", t.Version()).Info("config: applied a version of the configuration")
}

// applyEndpoint applies a changed entry of the endpoint registry, the object o, to p. It
// removes the endpoint from p if the entry was deleted or cannot be decoded. Source says
// in the log where the entry comes from: "platform" or a peer's name.
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
		l.WithError(err).Warn("endpoint: removed, its registry entry could not be decoded")
		return
	}
	if p.Update(e, time.Now()) {
		l.WithFields(log.Fields{"service": e.Service, "zone": e.Zone, "leaving": e.Leaving, "started": e.StartedAt}).Info("endpoint: changed, applied its new registry entry")
	}
}

// NewHolder returns an escrow holder, which manages this process's shares of budgets. It
// has no shares at first. The ledgers of the budgets are stored in shards. Budgets in the
// same shard have the same home, the instance that draws from their ledgers for the whole
// zone. The holder logs a home that does not respond, each transfer request that it
// denies to a peer, and what a killed process of this instance held. A violation of an
// escrow invariant is counted and logged.
func NewHolder(id node.ProcessID, shards *ledger.Shards, t *member.Table, c *peers.Client, set *metrics.Set, logger log.Interface) *escrow.Holder {
	calls := c.Escrow()
	calls.HomeKey = shards.ShardName
	calls.Request = timeRequests(calls.Request, set)
	h := escrow.NewHolder(string(id), shards.Store(), calls, func(err error) {
		set.GetOrCreateCounter("jacinthladder_broken_rules_total").Inc()
		logger.WithError(err).Error("escrow: a rule would be broken, the share refuses all further reservations and transfers")
	})
	h.HomeUnresponsive = func(process string) {
		logger.WithField("home", process).Warn("budget: the home of a budget did not reply, asking the next instance in the ranking")
	}
	h.RequestDenied = func(r escrow.TransferRequest, reason error, stats escrow.Stats) {
		free, age := stats.Free()
		logger.WithFields(log.Fields{
			"account": r.Budget, "from": escrow.ProcessOf(r.From), "need": r.Need, "reason": reason.Error(),
			"idle": stats.Idle(), "reserved": stats.Reserved(), "free": free, "age": age.Milliseconds(),
		}).Info("budget: denied a peer")
	}
	stranded := set.GetOrCreateCounter("jacinthladder_budget_stranded_tokens_total")
	h.WrittenOff = func(budget string, w escrow.WriteOff) {
		stranded.AddInt64(w.Idle)
		logger.WithFields(log.Fields{
			"account": budget, "share": w.Share, "held": w.Outstanding, "idle": w.Idle,
		}).Warn("budget: counted what a killed process held as spent")
	}
	h.RefillInterval = func() time.Duration { return refillInterval(t.Counts()) }
	return h
}

const (
	// minRefillInterval is the interval, before jitter, between an instance's rounds of
	// refills in a small fleet. In a round, the instance draws from the ledgers for its
	// shares that are low. The interval is much shorter than the time that a share lasts
	// during an outage of the platform, and much longer than a call to the platform.
	minRefillInterval = 900 * time.Millisecond
	// smallFleet is the maximum number of instances that draw a budget from its ledger in a
	// small fleet. With more such instances, the interval between rounds of refills grows
	// in proportion to their number, so that the whole fleet makes no more calls to the
	// platform.
	smallFleet = 6
	// maxRefillInterval is the maximum interval, before jitter, between an instance's
	// rounds of refills. It is well below the time that a share lasts during an outage of
	// the platform.
	maxRefillInterval = 4 * time.Second
)

// timeRequests returns a function that calls request and returns its results. Request sends
// a transfer request to a peer. The returned function also records in set how long each
// request takes and how many requests fail.
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

// minHomeRefillInterval is the minimum interval, before jitter, between an instance's
// rounds of refills in a zone where each budget has a home. The home of a budget is the
// instance that draws from its ledger for all instances of the zone. One draw serves many
// instances, so fewer calls suffice.
const minHomeRefillInterval = 1600 * time.Millisecond

// refillInterval returns the interval between an instance's rounds of refills, with random
// jitter of up to an eighth of the interval, up or down. The interval grows with the number
// of instances that draw a budget from its ledger.
func refillInterval(c member.Counts) time.Duration {
	drawing, viaHome := countDrawing(c)
	d := min(minRefillInterval*time.Duration(max(drawing, smallFleet))/smallFleet, maxRefillInterval)
	if viaHome {
		d = max(d, minHomeRefillInterval)
	}
	return d - d/8 + rand.N(d/4) // jitter, so that instances started together do not refill at the same moments
}

// countDrawing returns the number of instances that draw a budget from its ledger, and
// whether in this instance's zone one instance, the home of the budget, draws for the whole
// zone. In a zone with fewer than escrow.MinZoneMembers instances, each instance draws its
// own share, and the number is that of all instances of the fleet. In a larger zone the
// number is that of the zones.
func countDrawing(c member.Counts) (drawing int, viaHome bool) {
	if c.SameZone >= escrow.MinZoneMembers {
		return max(c.Zones, 1), true
	}
	return c.Others + 1, false
}

// writesPerShard determines the number of shards, the platform objects that hold the
// ledgers: one shard for each writesPerShard writes per second that the platform accepts.
// Concurrent writes of one shard by several instances conflict, so a platform for a
// larger fleet has more shards. All instances must use the same number of shards.
const writesPerShard = 300

// minShards is the minimum number of shards, the platform objects that hold the ledgers. It
// applies on a platform that accepts few writes.
const minShards = 4

// writeBackTime is how long an instance may take to write back the ledgers that the
// platform has lost, after the watches of its feeds have shown it the loss.
const writeBackTime = 1500 * time.Millisecond

// NewShards returns the store of ledgers on the platform. The number of its shards follows
// from the setting for the platform's write rate. A peer remembers each write, in case that
// the platform comes back from an older copy. If no peer does so, the write is counted, and
// counts all the same: an instance that is alone has nobody to ask.
func NewShards(s *setup.Settings, store *object.Store, c *peers.Client, set *metrics.Set, logger log.Interface) *ledger.Shards {
	shards := ledger.NewShards(store, max(s.Forward().WriteRate/writesPerShard, minShards))
	shards.RecoveryTime = time.Duration(s.Forward().WatchTimeout) + writeBackTime
	unrecorded := set.GetOrCreateCounter("jacinthladder_budget_writes_unrecorded_total")
	shards.Record = func(ctx context.Context, r ledger.Record) {
		if !c.Keep(ctx, r) {
			unrecorded.Inc()
		}
	}
	shards.Recovered = func(shard string, newer int, complete bool) {
		set.GetOrCreateCounter("jacinthladder_budget_ledgers_written_back_total").Add(newer)
		logger.WithFields(log.Fields{"shard": shard, "newer": newer, "complete": complete}).Warn("ledger: wrote back what the platform has lost")
	}
	shards.RecoveryFailed = func(shard string, err error) {
		logger.WithError(err).WithField("shard", shard).Warn("ledger: could not write back what the platform has lost")
	}
	return shards
}

// NewReserver returns the reserver, which reserves prepaid tokens for requests. After a
// ledger was read and had no free tokens, the ledger is not read again for refills until
// the interval between rounds of refills has passed.
func NewReserver(s *setup.Settings, h *escrow.Holder, shards *ledger.Shards, t *member.Table) *prepay.Reserver {
	r := &prepay.Reserver{
		Holder: h, EmptyTTL: func() time.Duration { return refillInterval(t.Counts()) },
		Drawing: func() int {
			drawing, _ := countDrawing(t.Counts())
			return drawing
		},
		EnsurePaid: shards.EnsurePaid,
	}
	r.SetOutageTolerance(time.Duration(s.Forward().OutageTolerance))
	return r
}

// minFleetSize is the least number of instances that RetryLimits assumes the fleet to
// have. An instance that cannot reach its peers would otherwise assume that it is the
// only one, and make all the retries that are allowed to the fleet.
const minFleetSize = 6

// RetryLimits limits the retries that this instance makes for each service. The settings
// limit the retries of the whole fleet: a ratio of its requests plus a fixed number. This
// instance applies the ratio to its own requests, and divides the fixed number by the
// number of instances. It uses only the fraction retryFraction of both.
type RetryLimits struct {
	settings   *setup.Forward
	countPeers func() int // returns the number of other live instances

	mu        sync.Mutex
	fleetSize int                      // largest number of instances seen so far, at least minFleetSize
	windows   map[string]*retry.Window // by service
}

// NewRetryLimits returns retry limits that have counted no requests. The table t supplies
// the number of other instances.
func NewRetryLimits(s *setup.Settings, t *member.Table) *RetryLimits {
	return &RetryLimits{settings: s.Forward(), countPeers: t.Others, fleetSize: minFleetSize, windows: map[string]*retry.Window{}}
}

// Window returns the sliding window that limits this instance's retries of requests to a
// service. Each call with the same service returns the same window, whose limits follow
// the settings and the size of the fleet.
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

// configure applies the retry ratio and the fixed number of retries of new settings to all
// windows. A window that exists already keeps its span.
func (r *RetryLimits) configure(s *setup.Forward) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settings = s
	r.updateLimits()
}

// updateLimits sets the limits of all windows from the settings and the size of the fleet.
// The caller holds r.mu.
func (r *RetryLimits) updateLimits() {
	for _, w := range r.windows {
		w.SetLimit(r.settings.RetryRatio*retryFraction, r.settings.ExtraRetries*retryFraction/float64(r.fleetSize))
	}
}

// retryFraction is the fraction of the retries allowed by the settings that the instances
// use. The remaining retries are a reserve for the case that an instance is killed: the
// other instances do not know the requests that it counted.
const retryFraction = 0.8

// NewPoison returns the tracker that blocks parts of prompts which crash endpoints. It logs
// and counts the parts that it blocks.
func NewPoison(set *metrics.Set, logger log.Interface) *poison.Tracker {
	blocked := set.GetOrCreateCounter("jacinthladder_prompt_parts_blocked_total")
	return &poison.Tracker{
		Blocked: func(part string, crashes int) {
			blocked.Inc()
			logger.WithFields(log.Fields{"part": part, "crashes": crashes}).Warn("poison: endpoints crash under a part of prompts, requests with it are refused")
		},
		Released: func(part string) {
			logger.WithField("part", part).Info("poison: a part of prompts is no longer blocked")
		},
	}
}

// NewServer returns the server that handles the calls of peers. It exchanges the
// configuration, the entries of endpoints, the IDs of endpoints that are leaving and what
// crashes endpoints with them. When a peer reports an endpoint as leaving, the server marks the endpoint as
// leaving in p.
func NewServer(t *member.Table, h *escrow.Holder, f *Feeds, p *picker.Picker, crashes *poison.Tracker, shards *ledger.Shards, logger log.Interface) *peers.Server {
	return &peers.Server{
		Members: t, Holder: h, HandleKeep: shards.Keep, News: crashes.Changed,
		Config: peers.ObjectSync{
			Changed: f.routes.Changed, CompleteVersion: f.routes.Version, Since: f.routes.Since, MergePeer: f.routes.MergePeer,
		},
		Registry: &peers.ObjectSync{CompleteVersion: f.endpoints.Version, Since: f.endpoints.Since, MergePeer: f.endpoints.MergePeer},
		LocalHeartbeat: func() *peerwire.BeatNote {
			n := peers.NewHeartbeat(t, f.routes.Version())
			n.Registry = f.endpoints.Version()
			n.Parts = peers.PartsToWire(crashes.Notes(time.Now()))
			for _, e := range p.Leaving() {
				n.Leaving = append(n.Leaving, &peerwire.LeaveNote{Endpoint: e.ID, Started: e.StartedAt})
			}
			return n
		},
		OnHeartbeat: func(n *peerwire.BeatNote) {
			crashes.Merge(peers.PartsFromWire(n.GetParts()), time.Now())
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

// NewPool returns a pool of connections to endpoints, which is empty at first.
func NewPool() *conns.Pool { return &conns.Pool{} }

// NewForwarder returns the HTTP handler that forwards callers' requests to endpoints.
func NewForwarder(routes *Routes, f *Feeds, p *picker.Picker, crashes *poison.Tracker, pool *conns.Pool, reserver *prepay.Reserver, limits *RetryLimits, set *metrics.Set, logger log.Interface) *serve.Server {
	return &serve.Server{
		Table: routes.Table, Picker: p, Poison: crashes, Pool: pool, Reserver: reserver, Retries: limits.Window, Codec: platform.HeaderCodec(),
		RegistryAge: func() time.Duration { return f.endpoints.Age(time.Now()) },
		Metrics:     serve.NewMetrics(set), Logger: logger,
	}
}
