package node

import (
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
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
	"jacinthladder.dev/internal/fleet/caller"
	"jacinthladder.dev/internal/fleet/config"
	"jacinthladder.dev/internal/fleet/ledger"
	"jacinthladder.dev/internal/fleet/memory"
	"jacinthladder.dev/internal/fleet/once"
	"jacinthladder.dev/internal/fleet/owner"
	"jacinthladder.dev/internal/fleet/peers"
	peerwire "jacinthladder.dev/internal/fleet/peers/wire"
	"jacinthladder.dev/internal/plat/object"
	"jacinthladder.dev/internal/plat/roster"
	"jacinthladder.dev/internal/route/choose"
	"jacinthladder.dev/internal/route/health"
)

// ProviderSet is the set of providers from which Wire constructs a Node and its
// dependencies.
var ProviderSet = wire.NewSet(
	NewProcessID, Listen, meter.New, NewBound, NewStore, NewRoster, NewConfig, NewPicker, NewPoller, NewMembers, NewClient,
	NewHolder, NewServer, NewGossiper, NewRecorder, NewParser, NewReplays, NewReserver, NewClaimer, owner.New, NewLimiter, send.NewSender, relay.NewRunner,
	NewPipeline, wire.Struct(new(Deps), "*"), New,
)

// NewBound returns the bound of what callers can make the process hold. It follows from the memory limit of the
// Go runtime. The metrics count what it ends and refuses.
func NewBound(m *meter.Metrics, logger log.Interface) *memory.Bound {
	b := memory.ForProcess(0)
	caller.Report(b, m.Set(), logger)
	return b
}

// platformTimeout is the maximum duration of one call to the platform. It applies
// also to a call whose context has no deadline.
const platformTimeout = 20 * time.Second

// platformClient returns an HTTP client for calls to the platform. It adds the
// availability zone of this instance to each request.
func platformClient(s *setup.Settings) *http.Client {
	return &http.Client{Timeout: platformTimeout, Transport: &zoneTransport{zone: s.Zone(), next: &http.Transport{
		MaxIdleConnsPerHost: 32, IdleConnTimeout: 30 * time.Second,
	}}}
}

// zoneTransport is an HTTP transport that adds the availability zone of this instance to
// each request to the platform. It sends the request through the transport next.
type zoneTransport struct {
	zone string
	next http.RoundTripper
}

// RoundTrip sends a copy of r to which it adds the header Jacinthladder-Zone. It returns
// the response and the error of the transport next.
func (z *zoneTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Jacinthladder-Zone", z.zone)
	return z.next.RoundTrip(r)
}

// NewStore returns a client of the platform's object store. The metrics count each call
// by its verb and outcome.
func NewStore(s *setup.Settings, m *meter.Metrics) *object.Store {
	return object.Instrument(object.NewHTTP(s.PlatformURL(), platformClient(s)), func(verb, _ string, err error) {
		m.PlatformCall(verb, object.Outcome(err))
	})
}

// NewRoster returns the client of the platform's instance list.
func NewRoster(s *setup.Settings) *roster.Source {
	return roster.NewHTTP(s.PlatformURL(), platformClient(s))
}

// NewConfig returns a cache of the configuration, which is empty until its method Load or
// Run fills it from store, or a peer sends the configuration.
func NewConfig(store *object.Store, logger log.Interface) *config.Cache {
	return config.NewCache(store, logger)
}

// NewPicker returns the picker, which chooses an endpoint for each call and takes the
// instance's zone into account. It knows no endpoints at first.
func NewPicker(s *setup.Settings, t *member.Table, logger log.Interface) *choose.Picker {
	return choose.NewPicker(s.Name(), s.Zone(), logger, t.Others, nil)
}

// NewPoller returns a poller that reads the load reports of the endpoints in the
// configuration and passes them to the picker.
func NewPoller(c *config.Cache, p *choose.Picker) *health.Poller {
	return health.NewPoller(&http.Client{Transport: &http.Transport{IdleConnTimeout: 30 * time.Second, MaxResponseHeaderBytes: send.MaxResponseHeader}}, c.Snapshot, p)
}

// NewMembers returns a membership table that contains only this instance.
func NewMembers(id ProcessID, s *setup.Settings, l *Listeners) *member.Table {
	self := member.Member{Process: string(id), Zone: s.Zone(), Address: l.peers.Addr().String()}
	return member.NewTable(self, s.HeartbeatInterval())
}

// NewClient returns the client that calls the peers whose addresses are in t.
func NewClient(t *member.Table) *peers.Client { return peers.NewClient(t, nil) }

// NewHolder returns an escrow holder, which manages this process's shares of budgets. It
// has no shares at first. The ledgers of the budgets are stored on the platform. A
// violation of an escrow invariant is counted and logged.
func NewHolder(id ProcessID, store *object.Store, c *peers.Client, m *meter.Metrics, logger log.Interface) *escrow.Holder {
	return escrow.NewHolder(string(id), ledger.NewStore(store), c.Escrow(), func(err error) {
		m.Violation()
		logger.WithError(err).Error("escrow: a rule would be broken, the share refuses all further reservations and transfers")
	})
}

// NewServer returns the server that handles the calls of peers. Its heartbeats carry
// the endpoints that are leaving and this instance's demand on the accounts' limits. It
// applies the same data from the heartbeats of peers to p and l. NewPipeline sets its
// handlers of Claim and Follow calls.
func NewServer(t *member.Table, h *escrow.Holder, c *config.Cache, p *choose.Picker, l *limit.Limiter) *peers.Server {
	return &peers.Server{
		Members: t, Holder: h,
		Config: peers.ObjectSync{Changed: c.Changed, CompleteVersion: c.CompleteVersion, Since: c.Since, MergePeer: c.MergePeer},
		LocalHeartbeat: func() *peerwire.BeatNote {
			n := peers.NewHeartbeat(t, c.CompleteVersion())
			for name, left := range p.Leaving() {
				n.Leaving = append(n.Leaving, &peerwire.LeaveNote{Endpoint: name, Left: left.Milliseconds()})
			}
			for _, d := range l.Demands() {
				n.Uses = append(n.Uses, &peerwire.UseNote{Account: d.Account, Service: d.Service, Rate: d.Rate, Open: int64(d.InFlight)})
			}
			return n
		},
		OnHeartbeat: func(n *peerwire.BeatNote) {
			demands := make([]limit.Demand, len(n.GetUses()))
			for i, d := range n.GetUses() {
				demands[i] = limit.Demand{Key: limit.Key{Account: d.GetAccount(), Service: d.GetService()}, Rate: d.GetRate(), InFlight: int(d.GetOpen())}
			}
			l.SetPeer(n.GetSelf().GetProcess(), demands)
			for _, l := range n.GetLeaving() {
				p.MarkLeaving(l.GetEndpoint(), time.Duration(l.GetLeft())*time.Millisecond)
			}
		},
	}
}

// NewGossiper returns the gossiper, which exchanges heartbeats with peers and reads the
// instance list from r. When the list shows an endpoint as leaving, the gossiper marks it
// as leaving in p for choose.LeaveTTL.
func NewGossiper(c *peers.Client, server *peers.Server, r *roster.Source, s *setup.Settings, p *choose.Picker, logger log.Interface) *peers.Gossiper {
	g := peers.NewGossiper(c, server, r, s.HeartbeatInterval(), logger)
	g.OnList = func(entries []roster.Entry) {
		for _, e := range entries {
			if e.Leaving {
				p.MarkLeaving(e.Name, choose.LeaveTTL)
			}
		}
	}
	return g
}

// NewRecorder returns the recorder, which charges calls and uploads their usage records to
// store. It has no usage records at first.
func NewRecorder(id ProcessID, store *object.Store, logger log.Interface) *settle.Recorder {
	return settle.NewRecorder(string(id), store, logger)
}

// NewParser returns the parser of callers' requests. It authenticates and parses them with
// the configuration in force in c, and limits the size of their bodies by the settings.
func NewParser(s *setup.Settings, c *config.Cache) *accept.Parser {
	return &accept.Parser{Config: c.Snapshot, MaxBody: s.MaxBody()}
}

// replayShare is the largest part of what callers can make the process hold that finished responses get.
const replayShare = 0.25

// NewReplays returns an empty table of finished responses, which are kept for replay to
// retries. The setting for the replay memory limits the size of the table, and replayShare of the bound b, from
// which that part is taken.
func NewReplays(s *setup.Settings, b *memory.Bound) (*replay.Table, error) {
	size := min(s.ReplayMemory(), int64(replayShare*float64(b.Bytes())))
	if _, ok := b.Open(size, 0, nil); !ok {
		return nil, errors.New("node: no room for the responses that are kept for replay")
	}
	return replay.NewTable(size), nil
}

// NewReserver returns the reserver, which reserves a call's maximum cost in the budget
// shares that h manages.
func NewReserver(h *escrow.Holder) *hold.Reserver { return &hold.Reserver{Holder: h} }

// NewClaimer returns the claimer, which makes the claims of calls that must run at most
// once and stores them in store. It has made no claims at first.
func NewClaimer(id ProcessID, store *object.Store) *once.Claimer { return once.New(store, string(id)) }

// NewLimiter returns the limiter, which admits requests within the accounts' limits for the
// whole fleet. It divides each limit among the live members in t.
func NewLimiter(t *member.Table) *limit.Limiter {
	return limit.New(t.Self().Process, func() []string {
		var live []string
		for _, m := range t.Live(time.Now()) {
			live = append(live, m.Process)
		}
		return live
	})
}

// NewPipeline returns the pipeline of stages that a caller's request passes through. It
// also sets the handlers with which server answers the Claim and Follow calls of peers.
func NewPipeline(
	parser *accept.Parser, replays *replay.Table, reserver *hold.Reserver, picker *choose.Picker, sender *send.Sender, runner *relay.Runner,
	recorder *settle.Recorder, metrics *meter.Metrics, registry *owner.Registry, claimer *once.Claimer, limiter *limit.Limiter, client *peers.Client,
	server *peers.Server, bound *memory.Bound, logger log.Interface,
) *flow.Pipeline {
	p := &flow.Pipeline{
		Parser: parser, Replays: replays, Reserver: reserver, Picker: picker, Sender: sender, Runner: runner, Recorder: recorder, Metrics: metrics, Registry: registry, Claimer: claimer,
		FollowPeer: client.Follow, Admit: admit(limiter), Logger: logger, Bound: bound,
	}
	server.HandleClaim, server.HandleFollow = registry.Handle, p.ServeFollow
	return p
}

// admit returns a function that admits a call if l allows it within the limits that the
// call's service document sets for its account. If it admits the call, the function
// returns a release function, which must be called when the call ends. Otherwise it
// returns a refusal with the time after which the caller may retry.
func admit(l *limit.Limiter) func(c *call.Call) (func(), error) {
	return func(c *call.Call) (func(), error) {
		bound := c.Service().Limit(c.Account())
		release, after, ok := l.Admit(limit.Key{Account: c.Account(), Service: c.Service().Name()}, limit.Limit{Rate: bound.Rate(), InFlight: bound.InFlight()})
		if !ok {
			return nil, call.Refuse(call.RateLimit, "account %s is at its limit on %s", c.Account(), c.Service().Name()).RetryAfter(after)
		}
		return release, nil
	}
}
