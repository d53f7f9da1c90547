package front

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"jacinthladder.dev/internal/conf/setup"
	"jacinthladder.dev/internal/fleet/feed"
	"jacinthladder.dev/internal/fleet/peers"
	peerwire "jacinthladder.dev/internal/fleet/peers/wire"
	"jacinthladder.dev/internal/forward/picker"
	"jacinthladder.dev/internal/forward/route"
	"jacinthladder.dev/internal/forward/signal"
	"jacinthladder.dev/internal/forward/stall"
	"jacinthladder.dev/internal/plat/object"
	"jacinthladder.dev/platform"
)

// deleteGrace is how long an endpoint must be missing from the platform's lists of
// endpoints before it counts as deleted. Entries that expired in an outage of the
// platform are registered again within two seconds after it.
const deleteGrace = 2 * time.Second

// stallSettle is the time after a stall of the process until which what peers confirm counts as older than
// the stall, since it may have waited to be read.
const stallSettle = 250 * time.Millisecond

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
// objects: the configuration with the routes, and the endpoint registry. Spread is raised when
// objects have come from the platform that the followers of this instance should get, and applied
// when objects were applied, whatever they come from.
type Feeds struct {
	routes, endpoints *feed.Feed
	spread, applied   signal.Signal
	stalls            stall.Detector
}

// outOfStep reports whether the process has stood still since the platform last confirmed what it
// knows of endpoints.
func (f *Feeds) outOfStep() bool {
	now := time.Now()
	endedAt := f.stalls.EndedAt(now)
	if endedAt.IsZero() || f.endpoints.AskedAt().After(endedAt) {
		return false
	}
	heardAt := now.Add(-f.endpoints.Age(now))
	return !heardAt.After(endedAt.Add(stallSettle))
}

// NewFeeds returns feeds that apply each change of the configuration to r and p, and each
// change of an endpoint's registry entry to p. A feed watches the platform only while its
// method Run runs.
func NewFeeds(s *setup.Settings, store *object.Store, r *Routes, p *picker.Picker, roles *Roles, logger log.Interface) *Feeds {
	f := &Feeds{
		routes:    feed.New(platform.RoutesKind, store, logger),
		endpoints: feed.New(platform.EndpointsKind, store, logger),
	}
	f.routes.WatchTimeout, f.endpoints.WatchTimeout = time.Duration(s.Forward().WatchTimeout), time.Duration(s.Forward().WatchTimeout)
	f.routes.Role, f.endpoints.Role = roles.Role, roles.Role
	f.routes.Apply = func(source string, o object.Object) {
		applyRoutes(source, o, r, p, logger)
		f.applied.Raise()
		f.passOn(source, roles)
	}
	f.endpoints.DeleteGrace = deleteGrace
	f.stalls.Ended = func() {
		logger.Warn("feed: this process has stood still, asking for the endpoints anew")
		f.routes.Renew()
		f.endpoints.Renew()
	}
	taken := fleetAddresses(s)
	f.endpoints.Apply = func(source string, o object.Object) {
		applyEndpoint(source, o, p, taken, logger)
		f.applied.Raise()
		f.passOn(source, roles)
	}
	return f
}

// passOn raises spread if this instance leads and an object has come from the platform.
func (f *Feeds) passOn(source string, roles *Roles) {
	if source == feed.Platform && roles.Role() == feed.Leader {
		f.spread.Raise()
	}
}

// syncOf returns the functions with which peers exchange the objects of a feed.
func syncOf(f *feed.Feed) peers.ObjectSync {
	return peers.ObjectSync{
		Changed: f.Changed, CompleteVersion: f.Version, Since: f.Since, MergePeer: f.MergePeer,
		Confirm: func(n *peerwire.SyncNote, at time.Time) {
			f.Confirm(feed.Known{From: n.GetFrom(), To: n.GetTo(), Age: time.Duration(max(n.GetAge(), 0)) * time.Millisecond}, at)
		},
	}
}

// knownToWire returns what a feed knows in the form of a heartbeat, nil if it knows nothing.
func knownToWire(f *feed.Feed) *peerwire.SyncNote {
	k, ok := f.Known(time.Now())
	if !ok {
		return nil
	}
	return &peerwire.SyncNote{From: k.From, To: k.To, Age: k.Age.Milliseconds() + 1}
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

// fleetAddresses returns the addresses of the instance itself, of the seeds and of the platform,
// at which no endpoint can be. A request that is sent to the instance itself would come back
// again and again.
func fleetAddresses(s *setup.Settings) []string {
	return append([]string{s.ListenAddress(), s.PeerAddress(), s.AdminAddress(), s.Forward().ReadyAddress, s.PlatformURL()}, s.Forward().Seeds...)
}

// applyEndpoint applies a changed entry of the endpoint registry, the object o, to p. It
// removes the endpoint from p if the entry was deleted, cannot be decoded or names an address
// that is taken. Source says in the log where the entry comes from: "platform" or a peer's name.
func applyEndpoint(source string, o object.Object, p *picker.Picker, taken []string, logger log.Interface) {
	l := logger.WithFields(log.Fields{"source": source, "rev": o.Version(), "endpoint": o.Name()})
	if o.Deleted() {
		if p.Remove(o.Name()) {
			l.Info("endpoint: gone")
		}
		return
	}
	e, err := platform.DecodeEndpoint(o)
	if err == nil && slices.Contains(taken, e.Address) {
		err = errors.Newf("front: an endpoint cannot be at %s, an address of the fleet or of the platform", e.Address)
	}
	if err != nil {
		p.Remove(o.Name())
		l.WithError(err).Warn("endpoint: put aside, its registry entry names no endpoint to use")
		return
	}
	if p.Update(e, time.Now()) {
		l.WithFields(log.Fields{"service": e.Service, "zone": e.Zone, "software": e.Version, "leaving": e.Leaving, "started": e.StartedAt}).Info("endpoint: changed, applied its new registry entry")
	}
}
