package front

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/google/wire"

	"jacinthladder.dev/coord/member"
	"jacinthladder.dev/coord/permit"
	"jacinthladder.dev/internal/conf/setup"
	"jacinthladder.dev/internal/fleet/caller"
	"jacinthladder.dev/internal/fleet/memory"
	"jacinthladder.dev/internal/fleet/node"
	"jacinthladder.dev/internal/fleet/peers"
	"jacinthladder.dev/internal/fleet/socket"
	"jacinthladder.dev/internal/fleet/tunnel"
	"jacinthladder.dev/internal/forward/conns"
	"jacinthladder.dev/internal/forward/meta"
	"jacinthladder.dev/internal/forward/origin"
	"jacinthladder.dev/internal/forward/picker"
	"jacinthladder.dev/internal/forward/poison"
	"jacinthladder.dev/internal/forward/prepay"
	"jacinthladder.dev/internal/forward/serve"
	"jacinthladder.dev/internal/forward/signal"
	"jacinthladder.dev/internal/plat/object"
	"jacinthladder.dev/platform"
)

// ProviderSet is the set of providers from which Wire constructs a Node and its
// dependencies.
var ProviderSet = wire.NewSet(
	node.NewProcessID, Listen, NewBound, metrics.NewSet, NewClient, NewStore, NewMembers, node.NewClient, NewNews, NewPicker, NewRoutes, NewRoles,
	NewFeeds, NewPoison, NewGranter, NewOrigins, NewShards, NewHolder, NewReserver, NewRetryLimits, NewServer, NewGossiper, NewPool, NewTunnels, NewForwarder,
	wire.Struct(new(Deps), "*"), New,
)

const (
	// dialTimeout bounds the opening of a connection to the platform.
	dialTimeout = time.Second
	// idleTimeout is how long an idle connection to the platform is kept.
	idleTimeout = 30 * time.Second
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
		l, err := socket.Listen(a)
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

// NewBound returns the bound of what callers can make the instance hold. It follows from the memory in the
// settings, and counts in set what it ends and refuses.
func NewBound(s *setup.Settings, set *metrics.Set, logger log.Interface) *memory.Bound {
	b := memory.ForProcess(s.Forward().MemoryMB << 20)
	caller.Report(b, set, logger)
	return b
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
// instance's zone into account. It knows no endpoints at first. It logs each change of the
// rate that an endpoint takes, and peers hear of it at once.
func NewPicker(s *setup.Settings, t *member.Table, news *signal.Signal, logger log.Interface) *picker.Picker {
	p := picker.NewPicker(s.Zone())
	p.Instances = func() int { return t.Others() + 1 }
	p.LimitChanged = func(e picker.Endpoint, limit meta.RateLimit) {
		news.Raise()
		logger.WithFields(log.Fields{"endpoint": e.ID, "service": e.Service, "limit": limit.String()}).Info("endpoint: takes another rate of requests from all instances")
	}
	return p
}

// NewPool returns a pool of connections to endpoints, which is empty at first. An endpoint that this
// instance does not reach by its own path is reached by way of a peer.
func NewPool(c *peers.Client, set *metrics.Set, logger log.Interface) *conns.Pool {
	relayed := set.GetOrCreateCounter("jacinthladder_connections_relayed_total")
	return &conns.Pool{
		Relay: func(ctx context.Context, address string) (net.Conn, error) {
			nc, err := c.Relay(ctx, address)
			if err == nil {
				relayed.Inc()
			}
			return nc, err
		},
		PathChanged: func(address string, reached, cutOff bool) {
			l := logger.WithFields(log.Fields{"address": address, "cutoff": cutOff})
			if reached {
				l.Info("path: an endpoint is reached again")
				return
			}
			l.Warn("path: an endpoint is not reached directly, trying peers")
		},
	}
}

// NewTunnels returns the handler that opens connections to endpoints for peers.
func NewTunnels(p *picker.Picker, pool *conns.Pool, bound *memory.Bound, set *metrics.Set) *tunnel.Handler {
	return &tunnel.Handler{
		Bound: bound,
		Known: p.KnowsAddress,
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			nc, err := pool.DialOwn(ctx, address)
			if errors.Is(err, conns.ErrNoPath) {
				err = errors.Mark(err, tunnel.ErrCutOff)
			}
			return nc, err
		},
		Opened: set.GetOrCreateCounter("jacinthladder_tunnels_opened_total").Inc,
	}
}

// NewForwarder returns the HTTP handler that forwards callers' requests to endpoints.
func NewForwarder(routes *Routes, f *Feeds, p *picker.Picker, crashes *poison.Tracker, granter *permit.Granter, origins *origin.Register, pool *conns.Pool, reserver *prepay.Reserver, limits *RetryLimits, set *metrics.Set, logger log.Interface) *serve.Server {
	return &serve.Server{
		Table: routes.Table, Picker: p, Poison: crashes, Permit: granter.Acquire, Origins: origins, Pool: pool, Reserver: reserver, Retries: limits.Window, Codec: platform.HeaderCodec(),
		RegistryAge: func() time.Duration { return f.endpoints.Age(time.Now()) }, OutOfStep: f.outOfStep,
		ConfirmedAt: f.endpoints.ConfirmedAt, RegistryLive: func() bool { return f.endpoints.Live(time.Now()) },
		Reports: serve.Reports{Request: platform.ReportRequest, Decode: platform.DecodeReport},
		Metrics: serve.NewMetrics(set), Logger: logger,
	}
}
