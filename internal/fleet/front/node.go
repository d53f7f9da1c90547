package front

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"jacinthladder.dev/coord/escrow"
	"jacinthladder.dev/coord/member"
	"jacinthladder.dev/internal/conf/setup"
	"jacinthladder.dev/internal/fleet/drain"
	"jacinthladder.dev/internal/fleet/node"
	"jacinthladder.dev/internal/fleet/pause"
	"jacinthladder.dev/internal/fleet/peers"
	"jacinthladder.dev/internal/forward/conns"
	"jacinthladder.dev/internal/forward/picker"
	"jacinthladder.dev/internal/forward/prepay"
	"jacinthladder.dev/internal/forward/serve"
)

const (
	// firstTime is how long a start waits for the first configuration, whose
	// limits the callers' surface takes over, and for its budgets to be paid in.
	firstTime = 1500 * time.Millisecond
	// headTime and callerIdle bound callers while no configuration does.
	headTime   = 5 * time.Second
	callerIdle = 60 * time.Second
	// headMost is the largest header that is read at all; the configuration's
	// own limit is checked after that.
	headMost = 256 << 10
	// leadTime is how long an instance that leaves takes new connections: the
	// balancer asks once a second and turns away after two misses.
	leadTime = 2500 * time.Millisecond
	// closeTime is kept back from the grace of a planned stop, to return shares.
	closeTime = 900 * time.Millisecond
	// sweepTime is how often idle connections are looked through.
	sweepTime = 500 * time.Millisecond
	// syncTime is how often budgets that could not be paid in are tried again, and
	// those that this instance has become the home of are looked for.
	syncTime = 700 * time.Millisecond
	// meetTime is the most that an instance that starts waits for a peer to make
	// itself known before it looks which budgets it is the home of.
	meetTime = 200 * time.Millisecond
)

// Deps are what a Node is made of.
type Deps struct {
	Settings  *setup.Settings
	Listeners *Listeners
	Logger    log.Interface
	Metrics   *metrics.Set
	Client    *http.Client
	Rules     *Routes
	Feeds     *Feeds
	Board     *picker.Picker
	Holder    *escrow.Holder
	Purse     *prepay.Reserver
	Retries   *RetryLimits
	Table     *member.Table
	Peers     *peers.Client
	Server    *peers.Server
	Beater    *peers.Gossiper
	Pool      *conns.Pool
	Forwarder *serve.Server
}

// Node is one instance. Make one with New.
type Node struct {
	Deps
	leaving   atomic.Bool
	taking    atomic.Bool  // requests
	grace     atomic.Int64 // of a planned stop, in nanoseconds
	broken    chan error
	paid      chan struct{} // closed once budgets were paid in, or tried to be
	serving   sync.WaitGroup
	callers   drain.Conns
	accepting net.Listener // of callers
}

// New returns a node that does not serve yet.
func New(p Deps) *Node {
	n := &Node{Deps: p, broken: make(chan error, 4), paid: make(chan struct{})}
	n.grace.Store(int64(p.Settings.Forward().GracePeriod))
	return n
}

// Run serves until ctx ends, then stops as planned. Once now ends too, the stop
// no longer waits for open requests.
func (n *Node) Run(ctx, now context.Context) error {
	loops, endLoops := context.WithCancel(context.Background())
	defer endLoops()
	var work sync.WaitGroup
	for _, loop := range []func(context.Context){
		n.Feeds.routes.Run, n.Feeds.endpoints.Run, n.Holder.Run, n.Beater.Run, n.pay, n.sweep,
	} {
		work.Go(func() { loop(loops) })
	}
	ready := n.listen(n.Listeners.ready, &http.Server{Handler: node.ReadyHandler(n.NotReadyReason)})
	own := n.listen(n.Listeners.peers, &http.Server{Handler: n.Server.Handler(), ReadHeaderTimeout: headTime})
	admin := n.listen(n.Listeners.admin, &http.Server{Handler: http.HandlerFunc(n.page), ReadHeaderTimeout: headTime})
	n.first(ctx)
	n.taking.Store(true)
	n.accepting = n.callers.Listener(n.Listeners.callers)
	n.listen(n.accepting, n.surface())
	n.Logger.WithFields(log.Fields{
		"instance": n.Settings.Name(), "zone": n.Settings.Zone(), "process": n.Holder.Process(), "callers": n.Settings.ListenAddress(),
	}).Info("front: started")
	var failed error
	select {
	case <-ctx.Done():
	case failed = <-n.broken:
	}
	err := n.stop(now, func() {
		endLoops()
		work.Wait()
	})
	for _, s := range []*http.Server{ready, own, admin} {
		err = errors.CombineErrors(err, s.Close())
	}
	n.serving.Wait()
	n.Peers.Close()
	n.Client.CloseIdleConnections()
	return errors.CombineErrors(failed, err)
}

// first waits for the first configuration, and until its budgets are paid in.
func (n *Node) first(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, firstTime)
	defer cancel()
	select {
	case <-n.paid:
	case <-ctx.Done():
	}
}

// surface returns the server for callers, with the limits in force.
func (n *Node) surface() *http.Server {
	s := &http.Server{
		Handler: n.callers.Handler(n.Forwarder), ConnState: n.callers.ConnState,
		ReadHeaderTimeout: headTime, IdleTimeout: callerIdle, MaxHeaderBytes: headMost,
	}
	if t := n.Rules.Table(); t != nil {
		if l := t.Limits(); l.HeaderTimeout > 0 && l.IdleTimeout > 0 {
			s.ReadHeaderTimeout, s.IdleTimeout = l.HeaderTimeout, l.IdleTimeout
		}
	}
	return s
}

func (n *Node) listen(l net.Listener, s *http.Server) *http.Server {
	s.ErrorLog = quiet()
	n.serving.Go(func() {
		if err := s.Serve(l); !errors.IsAny(err, http.ErrServerClosed, net.ErrClosed) {
			n.broken <- errors.Wrap(err, "front: serve")
		}
	})
	return s
}

// Reload puts other settings in force. Addresses, name and zone stay as they are
// until the process is started again.
func (n *Node) Reload(s *setup.Settings) {
	n.Retries.configure(s.Forward())
	n.Purse.SetOutageTolerance(time.Duration(s.Forward().OutageTime))
	n.grace.Store(int64(s.Forward().GracePeriod))
	if old := n.Settings; old.ListenAddress() != s.ListenAddress() || old.PeerAddress() != s.PeerAddress() || old.PlatformURL() != s.PlatformURL() {
		n.Logger.Warn("front: addresses have changed, which takes a restart")
	}
	n.Logger.WithField("grace", time.Duration(s.Forward().GracePeriod).String()).Info("front: reloaded")
}

// NotReadyReason returns why the instance should get no requests, empty if it should.
func (n *Node) NotReadyReason() string {
	switch {
	case n.leaving.Load():
		return "leaving"
	case n.Rules.Table() == nil:
		return "no configuration yet"
	case n.Board.Len() == 0:
		return "no endpoints known yet"
	case !n.taking.Load():
		return "budgets are not paid in yet"
	default:
		return ""
	}
}

// page shows the metrics.
func (n *Node) page(w http.ResponseWriter, _ *http.Request) { n.Metrics.WritePrometheus(w) }

// meet waits for the first peer to be heard, and then for those that it knows. An
// instance that knows none is the home of all budgets.
func (n *Node) meet(ctx context.Context) {
	for began := time.Now(); ctx.Err() == nil && n.Peers.Isolated(); {
		if time.Since(began) > meetTime {
			return
		}
		pause.For(ctx, meetTime/10)
	}
	pause.For(ctx, meetTime)
}

// pay keeps what is paid into budgets in line with the configuration.
func (n *Node) pay(ctx context.Context) {
	paid := map[string]int64{}
	first := sync.OnceFunc(func() { close(n.paid) })
	n.meet(ctx)
	for ctx.Err() == nil {
		changed := n.Feeds.routes.Changed()
		if t := n.Rules.Table(); t != nil {
			if err := n.Purse.Sync(ctx, t, paid); err != nil && ctx.Err() == nil {
				n.Logger.WithError(err).WithField("version", t.Version()).Warn("budget: can't be paid in yet")
			}
			first()
		}
		select {
		case <-changed:
		case <-time.After(syncTime):
		case <-ctx.Done():
		}
	}
}

// sweep closes connections to endpoints that have been idle for too long.
func (n *Node) sweep(ctx context.Context) {
	t := time.NewTicker(sweepTime)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			n.Pool.CloseExpired(now)
		}
	}
}

// stop ends the instance in order: it says that it leaves, takes what still
// comes until the balancer has turned away, lets open requests end, and returns
// its shares.
func (n *Node) stop(now context.Context, endLoops func()) error {
	began := time.Now()
	n.leaving.Store(true)
	n.callers.DisableKeepAlives()
	n.Table.Leave()
	n.Logger.WithField("open", n.Forwarder.InFlight()).Info("front: leaving")
	pause.For(now, leadTime)
	grace := time.Duration(n.grace.Load()) - closeTime
	until, cancel := context.WithDeadline(now, began.Add(grace))
	defer cancel()
	err := n.drain(until)
	endLoops()
	final, cancel := context.WithTimeout(context.Background(), closeTime/2)
	defer cancel()
	err = errors.CombineErrors(err, n.Holder.Close(final))
	n.Pool.Close()
	l := n.Logger.WithField("ms", time.Since(began).Milliseconds())
	if err != nil {
		l.WithError(err).Warn("front: stopped, not all is in order")
		return nil
	}
	l.Info("front: stopped")
	return nil
}

// drain takes no new connection and waits for open requests.
func (n *Node) drain(ctx context.Context) error {
	if err := n.callers.CloseListener(n.accepting); err != nil {
		return errors.Wrap(err, "front: listener")
	}
	if err := n.callers.Drain(ctx); err != nil {
		return err
	}
	n.Forwarder.Wait()
	return nil
}
