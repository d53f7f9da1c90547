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
	"jacinthladder.dev/internal/entry/claims"
	"jacinthladder.dev/internal/entry/flow"
	"jacinthladder.dev/internal/entry/hold"
	"jacinthladder.dev/internal/entry/meter"
	"jacinthladder.dev/internal/entry/relay"
	"jacinthladder.dev/internal/entry/send"
	"jacinthladder.dev/internal/entry/settle"
	"jacinthladder.dev/internal/fleet/books"
	"jacinthladder.dev/internal/fleet/config"
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
	NewProcess, Listen, meter.New, NewStore, NewList, NewKeeper, NewBoard, NewReader, NewTable, NewClient,
	NewHolder, NewServer, NewBeater, NewClerk, NewGate, NewClaims, NewDesk, NewOnce, owner.New, NewLimits, send.NewSender, relay.NewEngine,
	NewFlow, wire.Struct(new(Parts), "*"), New,
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
func NewStore(s *setup.Settings, m *meter.Meter) *object.Store {
	return object.Observed(object.Dial(s.Platform(), platformClient(s)), func(verb, _ string, err error) {
		m.Platform(verb, object.Outcome(err))
	})
}

// NewList returns the platform's instance list.
func NewList(s *setup.Settings) *roster.List {
	return roster.Dial(s.Platform(), platformClient(s))
}

// NewKeeper returns a keeper with nothing in force.
func NewKeeper(store *object.Store, logger log.Interface) *config.Keeper {
	return config.NewKeeper(store, logger)
}

// NewBoard returns a board that knows no endpoint.
func NewBoard(s *setup.Settings, t *member.Table, logger log.Interface) *choose.Board {
	return choose.NewBoard(s.Name(), s.Zone(), logger, t.Others, nil)
}

// NewReader returns a reader of load reports.
func NewReader(k *config.Keeper, b *choose.Board) *health.Reader {
	return health.NewReader(&http.Client{Transport: &http.Transport{IdleConnTimeout: 30 * time.Second}}, k.View, b)
}

// NewTable returns a membership table that knows only this instance.
func NewTable(p Process, s *setup.Settings, l *Listeners) *member.Table {
	self := member.Member{Process: string(p), Zone: s.Zone(), Address: l.peers.Addr().String()}
	return member.NewTable(self, s.Beat())
}

// NewClient returns the way to peers.
func NewClient(t *member.Table) *peers.Client { return peers.NewClient(t, nil) }

// NewHolder returns an escrow holder without shares.
func NewHolder(p Process, store *object.Store, c *peers.Client, m *meter.Meter, logger log.Interface) *escrow.Holder {
	return escrow.NewHolder(string(p), books.Platform(store), c.Escrow(), func(err error) {
		m.Broken()
		logger.WithError(err).Error("escrow: a rule would be broken, the share refuses from now on")
	})
}

// NewServer returns what answers peers.
func NewServer(t *member.Table, h *escrow.Holder, k *config.Keeper, b *choose.Board, l *limit.Limits) *peers.Server {
	return &peers.Server{
		Table: t, Holder: h,
		Config: peers.Config{Changed: k.Changed, Complete: k.Complete, Since: k.Since, Catch: k.Catch},
		Own: func() *peerwire.BeatNote {
			n := peers.Note(t, k.Complete())
			for name, left := range b.Leaving() {
				n.Leaving = append(n.Leaving, &peerwire.LeaveNote{Endpoint: name, Left: left.Milliseconds()})
			}
			for _, u := range l.Uses() {
				n.Uses = append(n.Uses, &peerwire.UseNote{Account: u.Account, Service: u.Service, Rate: u.Rate, Open: int64(u.Open)})
			}
			return n
		},
		News: func(n *peerwire.BeatNote) {
			uses := make([]limit.Use, len(n.GetUses()))
			for i, u := range n.GetUses() {
				uses[i] = limit.Use{Key: limit.Key{Account: u.GetAccount(), Service: u.GetService()}, Rate: u.GetRate(), Open: int(u.GetOpen())}
			}
			l.Heard(n.GetSelf().GetProcess(), uses)
			for _, l := range n.GetLeaving() {
				b.Leave(l.GetEndpoint(), time.Duration(l.GetLeft())*time.Millisecond)
			}
		},
	}
}

// NewBeater returns what sends heartbeats.
func NewBeater(c *peers.Client, sv *peers.Server, l *roster.List, s *setup.Settings, b *choose.Board, logger log.Interface) *peers.Beater {
	beater := peers.NewBeater(c, sv, l, s.Beat(), logger)
	beater.Listed = func(entries []roster.Entry) {
		for _, e := range entries {
			if e.Leaving {
				b.Leave(e.Name, choose.LeaveTime)
			}
		}
	}
	return beater
}

// NewClerk returns a clerk without records.
func NewClerk(p Process, store *object.Store, logger log.Interface) *settle.Clerk {
	return settle.NewClerk(string(p), store, logger)
}

// NewGate returns what accepts requests.
func NewGate(s *setup.Settings, k *config.Keeper) *accept.Gate {
	return &accept.Gate{View: k.View, MaxBody: s.Body()}
}

// NewClaims returns an empty table of attempts.
func NewClaims(s *setup.Settings) *claims.Table { return claims.NewTable(s.Memory()) }

// NewDesk returns what reserves budget.
func NewDesk(h *escrow.Holder) *hold.Desk { return &hold.Desk{Holder: h} }

// NewOnce returns a keeper without claims.
func NewOnce(p Process, store *object.Store) *once.Keeper { return once.New(store, string(p)) }

// NewLimits returns limits that have admitted nothing.
func NewLimits(t *member.Table) *limit.Limits {
	return limit.New(t.Self().Process, func() []string {
		var live []string
		for _, m := range t.Live(time.Now()) {
			live = append(live, m.Process)
		}
		return live
	})
}

// NewFlow returns the stages in order, and lets peers follow its answers.
func NewFlow(
	g *accept.Gate, t *claims.Table, d *hold.Desk, b *choose.Board, s *send.Sender, e *relay.Engine,
	c *settle.Clerk, m *meter.Meter, o *owner.Owners, k *once.Keeper, l *limit.Limits, cl *peers.Client,
	sv *peers.Server, logger log.Interface,
) *flow.Flow {
	f := &flow.Flow{
		Gate: g, Claims: t, Desk: d, Board: b, Sender: s, Engine: e, Clerk: c, Meter: m, Owners: o, Once: k,
		Follow: cl.Follow, Allow: allow(l), Logger: logger,
	}
	sv.Claims, sv.Answer = o.Answer, f.Part
	return f
}

// allow admits calls within the limits of their documents.
func allow(l *limit.Limits) func(c *call.Call) (func(), error) {
	return func(c *call.Call) (func(), error) {
		most := c.Service().Limit(c.Account())
		release, after, ok := l.Admit(limit.Key{Account: c.Account(), Service: c.Service().Name()}, limit.Most{Rate: most.Rate(), Open: most.Open()})
		if !ok {
			return nil, call.Refuse(call.RateLimit, "account %s is at its limit on %s", c.Account(), c.Service().Name()).After(after)
		}
		return release, nil
	}
}
