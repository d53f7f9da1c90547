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
	// startTimeout is how long a start waits for the first configuration, whose
	// limits apply to the server for callers, and for its budgets to be paid in.
	startTimeout = 1500 * time.Millisecond
	// headerTimeout and callerIdleTimeout apply to callers unless the configuration
	// sets both timeouts.
	headerTimeout     = 5 * time.Second
	callerIdleTimeout = 60 * time.Second
	// maxHeaderBytes is the maximum size of a header that is read. The limit of the
	// configuration is checked afterwards.
	maxHeaderBytes = 256 << 10
	// leaveDelay is how long a leaving instance accepts new connections. The load
	// balancer checks readiness once a second and removes the instance after two
	// failed checks.
	leaveDelay = 2500 * time.Millisecond
	// cleanupReserve is the part of the grace period of a planned stop that is
	// reserved for the return of shares.
	cleanupReserve = 900 * time.Millisecond
	// closeExpiredInterval is the interval between checks for idle connections.
	closeExpiredInterval = 500 * time.Millisecond
	// paymentInterval is the interval at which failed payments into budgets are
	// retried, and at which the instance looks for budgets whose home it has become.
	paymentInterval = 700 * time.Millisecond
	// peerWait is the longest that a starting instance waits for the first heartbeat
	// of a peer before it determines the budgets whose home it is. After that
	// heartbeat it waits as long again for the members that the peer knows.
	peerWait = 200 * time.Millisecond
)

// Deps are the dependencies of a Node.
type Deps struct {
	Settings    *setup.Settings
	Listeners   *Listeners
	Logger      log.Interface
	Metrics     *metrics.Set
	Client      *http.Client
	Routes      *Routes
	Feeds       *Feeds
	Picker      *picker.Picker
	Holder      *escrow.Holder
	Reserver    *prepay.Reserver
	RetryLimits *RetryLimits
	Members     *member.Table
	Peers       *peers.Client
	Server      *peers.Server
	Gossiper    *peers.Gossiper
	Pool        *conns.Pool
	Forwarder   *serve.Server
}

// Node is one instance. Use New to create one.
type Node struct {
	Deps
	leaving        atomic.Bool
	started        atomic.Bool  // whether awaitStart has returned
	gracePeriod    atomic.Int64 // of a planned stop, in nanoseconds
	serveErrors    chan error
	firstPayment   chan struct{} // closed after the first attempt to pay in budgets
	servers        sync.WaitGroup
	callers        drain.Conns
	callerListener net.Listener
}

// New returns a node that does not serve yet.
func New(d Deps) *Node {
	n := &Node{Deps: d, serveErrors: make(chan error, 4), firstPayment: make(chan struct{})}
	n.gracePeriod.Store(int64(d.Settings.Forward().GracePeriod))
	return n
}

// Run serves until ctx ends, then performs a planned stop. When abort ends too, the
// stop no longer waits for open requests.
func (n *Node) Run(ctx, abort context.Context) error {
	loopCtx, stopLoops := context.WithCancel(context.Background())
	defer stopLoops()
	var work sync.WaitGroup
	for _, loop := range []func(context.Context){
		n.Feeds.routes.Run, n.Feeds.endpoints.Run, n.Holder.Run, n.Gossiper.Run, n.syncPayments, n.closeExpired,
	} {
		work.Go(func() { loop(loopCtx) })
	}
	readyServer := n.listen(n.Listeners.ready, &http.Server{Handler: node.ReadyHandler(n.NotReadyReason)})
	peerServer := n.listen(n.Listeners.peers, &http.Server{Handler: n.Server.Handler(), ReadHeaderTimeout: headerTimeout})
	adminServer := n.listen(n.Listeners.admin, &http.Server{Handler: http.HandlerFunc(n.serveMetrics), ReadHeaderTimeout: headerTimeout})
	n.awaitStart(ctx)
	n.started.Store(true)
	n.callerListener = n.callers.Listener(n.Listeners.callers)
	n.listen(n.callerListener, n.callerServer())
	n.Logger.WithFields(log.Fields{
		"instance": n.Settings.Name(), "zone": n.Settings.Zone(), "process": n.Holder.Process(), "callers": n.Settings.ListenAddress(),
	}).Info("front: started")
	var failed error
	select {
	case <-ctx.Done():
	case failed = <-n.serveErrors:
	}
	err := n.stop(abort, func() {
		stopLoops()
		work.Wait()
	})
	for _, s := range []*http.Server{readyServer, peerServer, adminServer} {
		err = errors.CombineErrors(err, s.Close())
	}
	n.servers.Wait()
	n.Peers.Close()
	n.Client.CloseIdleConnections()
	return errors.CombineErrors(failed, err)
}

// awaitStart waits, at most startTimeout, for the first configuration and the first
// attempt to pay in its budgets.
func (n *Node) awaitStart(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	select {
	case <-n.firstPayment:
	case <-ctx.Done():
	}
}

// callerServer returns the server for callers, with the timeouts of the
// configuration in force.
func (n *Node) callerServer() *http.Server {
	s := &http.Server{
		Handler: n.callers.Handler(n.Forwarder), ConnState: n.callers.ConnState,
		ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	if t := n.Routes.Table(); t != nil {
		if l := t.Limits(); l.HeaderTimeout > 0 && l.IdleTimeout > 0 {
			s.ReadHeaderTimeout, s.IdleTimeout = l.HeaderTimeout, l.IdleTimeout
		}
	}
	return s
}

func (n *Node) listen(l net.Listener, s *http.Server) *http.Server {
	s.ErrorLog = discardLogger()
	n.servers.Go(func() {
		if err := s.Serve(l); !errors.IsAny(err, http.ErrServerClosed, net.ErrClosed) {
			n.serveErrors <- errors.Wrap(err, "front: serve")
		}
	})
	return s
}

// Reload applies new settings. Changes of the addresses, name and zone take effect
// at the next start of the process.
func (n *Node) Reload(s *setup.Settings) {
	n.RetryLimits.configure(s.Forward())
	n.Reserver.SetOutageTolerance(time.Duration(s.Forward().OutageTolerance))
	n.gracePeriod.Store(int64(s.Forward().GracePeriod))
	if old := n.Settings; old.ListenAddress() != s.ListenAddress() || old.PeerAddress() != s.PeerAddress() || old.PlatformURL() != s.PlatformURL() {
		n.Logger.Warn("front: changed addresses take effect after a restart")
	}
	n.Logger.WithField("grace", time.Duration(s.Forward().GracePeriod).String()).Info("front: reloaded")
}

// NotReadyReason returns why the instance must not receive requests, or an empty
// string if it is ready.
func (n *Node) NotReadyReason() string {
	switch {
	case n.leaving.Load():
		return "leaving"
	case n.Routes.Table() == nil:
		return "no configuration yet"
	case n.Picker.Len() == 0:
		return "no endpoints known yet"
	case !n.started.Load():
		return "budgets are not paid in yet"
	default:
		return ""
	}
}

// serveMetrics writes the metrics.
func (n *Node) serveMetrics(w http.ResponseWriter, _ *http.Request) { n.Metrics.WritePrometheus(w) }

// awaitPeers waits for the first heartbeat of a peer, and then for the heartbeats of
// the members that this peer knows. An instance without known peers acts as the home
// of all budgets.
func (n *Node) awaitPeers(ctx context.Context) {
	for began := time.Now(); ctx.Err() == nil && n.Peers.Isolated(); {
		if time.Since(began) > peerWait {
			return
		}
		pause.For(ctx, peerWait/10)
	}
	pause.For(ctx, peerWait)
}

// syncPayments keeps the amounts paid into budgets up to date with the configuration.
func (n *Node) syncPayments(ctx context.Context) {
	paid := map[string]int64{}
	first := sync.OnceFunc(func() { close(n.firstPayment) })
	n.awaitPeers(ctx)
	for ctx.Err() == nil {
		changed := n.Feeds.routes.Changed()
		if t := n.Routes.Table(); t != nil {
			if err := n.Reserver.Sync(ctx, t, paid); err != nil && ctx.Err() == nil {
				n.Logger.WithError(err).WithField("version", t.Version()).Warn("budget: could not pay in, will retry")
			}
			first()
		}
		select {
		case <-changed:
		case <-time.After(paymentInterval):
		case <-ctx.Done():
		}
	}
}

// closeExpired closes connections to endpoints whose idle timeout has passed.
func (n *Node) closeExpired(ctx context.Context) {
	t := time.NewTicker(closeExpiredInterval)
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

// stop performs a planned stop: it announces that the instance is leaving, accepts
// requests until the load balancer has stopped sending them, waits for open
// requests, and returns the shares.
func (n *Node) stop(abort context.Context, stopLoops func()) error {
	began := time.Now()
	n.leaving.Store(true)
	n.callers.DisableKeepAlives()
	n.Members.Leave()
	n.Logger.WithField("open", n.Forwarder.InFlight()).Info("front: leaving")
	pause.For(abort, leaveDelay)
	grace := time.Duration(n.gracePeriod.Load()) - cleanupReserve
	drainCtx, cancel := context.WithDeadline(abort, began.Add(grace))
	defer cancel()
	err := n.drain(drainCtx)
	stopLoops()
	cleanupCtx, cancel := context.WithTimeout(context.Background(), cleanupReserve/2)
	defer cancel()
	err = errors.CombineErrors(err, n.Holder.Close(cleanupCtx))
	n.Pool.Close()
	l := n.Logger.WithField("ms", time.Since(began).Milliseconds())
	if err != nil {
		l.WithError(err).Warn("front: stopped with errors")
		return nil
	}
	l.Info("front: stopped")
	return nil
}

// drain stops accepting connections and waits for open requests.
func (n *Node) drain(ctx context.Context) error {
	if err := n.callers.CloseListener(n.callerListener); err != nil {
		return errors.Wrap(err, "front: close listener")
	}
	if err := n.callers.Drain(ctx); err != nil {
		return err
	}
	n.Forwarder.Wait()
	return nil
}
