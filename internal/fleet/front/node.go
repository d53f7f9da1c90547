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
	"jacinthladder.dev/internal/fleet/caller"
	"jacinthladder.dev/internal/fleet/drain"
	"jacinthladder.dev/internal/fleet/ledger"
	"jacinthladder.dev/internal/fleet/memory"
	"jacinthladder.dev/internal/fleet/node"
	"jacinthladder.dev/internal/fleet/pause"
	"jacinthladder.dev/internal/fleet/peers"
	"jacinthladder.dev/internal/forward/conns"
	"jacinthladder.dev/internal/forward/origin"
	"jacinthladder.dev/internal/forward/picker"
	"jacinthladder.dev/internal/forward/prepay"
	"jacinthladder.dev/internal/forward/serve"
)

const (
	// startTimeout is how long a starting instance waits before it accepts callers. It
	// waits for the first configuration, whose limits apply to the server for callers,
	// and for the first attempt to pay in the budgets of that configuration.
	startTimeout = 1500 * time.Millisecond
	// headerTimeout is how long the header of a request from a caller, peer or operator may
	// take to arrive. callerIdleTimeout is how long an idle connection of a caller is kept.
	// If the configuration sets both timeouts, its values replace them for callers.
	headerTimeout     = 5 * time.Second
	callerIdleTimeout = 60 * time.Second
	// maxHeaderBytes is the maximum size, in bytes, of a request header that the server
	// for callers reads. The configuration sets another limit, which is checked after the
	// header was read.
	maxHeaderBytes = 256 << 10
	// leaveDelay is how long an instance still accepts new connections after the start of a
	// planned stop. The load balancer checks readiness once a second and removes the
	// instance after two failed checks.
	leaveDelay = 2500 * time.Millisecond
	// cleanupReserve is the time at the end of a planned stop's grace period that is
	// reserved for the return of shares of budgets. The wait for open requests ends before
	// this time begins. The return of shares may take half of this time.
	cleanupReserve = 900 * time.Millisecond
	// answerReserve is the part of cleanupReserve in which the requests that are still open get
	// their final answers.
	answerReserve = 150 * time.Millisecond
	// closeExpiredInterval is the interval between checks for connections to endpoints that
	// have been idle for longer than their idle timeout.
	closeExpiredInterval = 500 * time.Millisecond
	// paymentInterval is the interval at which the instance retries failed payments into
	// budgets. At the same interval it checks for which budgets it has become the home. The
	// home of a budget is the instance that draws from its ledger for the whole zone.
	paymentInterval = 700 * time.Millisecond
	// peerWait is how long a starting instance waits for the first heartbeat of a peer.
	// After such a heartbeat it waits as long again for the heartbeats of the members
	// that the peer knows. The instance then determines for which budgets it is the home,
	// the instance that draws from the ledger of a budget for its zone.
	peerWait = 200 * time.Millisecond
)

// Deps holds the dependencies that New needs. Code that Wire generates sets every field.
type Deps struct {
	Settings    *setup.Settings
	Listeners   *Listeners
	Logger      log.Interface
	Metrics     *metrics.Set
	Bound       *memory.Bound
	Client      *http.Client
	Routes      *Routes
	Feeds       *Feeds
	Picker      *picker.Picker
	Shards      *ledger.Shards
	Holder      *escrow.Holder
	Reserver    *prepay.Reserver
	RetryLimits *RetryLimits
	Members     *member.Table
	Peers       *peers.Client
	Server      *peers.Server
	Gossiper    *peers.Gossiper
	Pool        *conns.Pool
	Forwarder   *serve.Server
	Origins     *origin.Register
}

// Node is one instance that serves forwarded routes: its servers, its dependencies and the
// state of its stop. Use New to create one.
type Node struct {
	Deps
	leaving        atomic.Bool   // set at the start of a planned stop
	started        atomic.Bool   // whether awaitStart has returned
	gracePeriod    atomic.Int64  // time from the start of a planned stop to the kill of the process, in nanoseconds
	serveErrors    chan error    // errors of servers that failed, at most one of each server
	firstPayment   chan struct{} // closed after the first attempt to pay in the budgets of a configuration
	servers        sync.WaitGroup
	intake         caller.Conns // connections of the server for callers, within Bound
	callers        drain.Conns  // the same connections, which a planned stop drains
	callerListener net.Listener // Listeners.callers, with its connections added to callers
}

// New returns a node with the given dependencies. The node serves only while Run runs.
func New(d Deps) *Node {
	n := &Node{Deps: d, intake: caller.Conns{Bound: d.Bound}, serveErrors: make(chan error, 4), firstPayment: make(chan struct{})}
	n.gracePeriod.Store(int64(d.Settings.Forward().GracePeriod))
	return n
}

// Run serves until ctx ends or a server fails, then performs a planned stop. When abort
// ends too, the stop no longer waits for open requests. The returned error says which
// server failed or could not be closed. Other errors of the stop are only logged.
func (n *Node) Run(ctx, abort context.Context) error {
	loopCtx, stopLoops := context.WithCancel(context.Background())
	defer stopLoops()
	var work sync.WaitGroup
	for _, loop := range []func(context.Context){
		n.Feeds.routes.Run, n.Feeds.endpoints.Run, n.Feeds.stalls.Run, n.Shards.Run, n.Holder.Run, n.Gossiper.Run, n.Origins.Run, n.syncPayments, n.closeExpired,
	} {
		work.Go(func() { loop(loopCtx) })
	}
	readyServer := n.startServer(n.Listeners.ready, &http.Server{Handler: node.ReadyHandler(n.NotReadyReason)})
	peerServer := n.startServer(n.Listeners.peers, &http.Server{Handler: n.Server.Handler(), ReadHeaderTimeout: headerTimeout})
	adminServer := n.startServer(n.Listeners.admin, &http.Server{Handler: http.HandlerFunc(n.serveMetrics), ReadHeaderTimeout: headerTimeout})
	n.awaitStart(ctx)
	n.started.Store(true)
	n.callerListener = n.callers.Listener(n.intake.Listener(n.Listeners.callers))
	n.startServer(n.callerListener, n.callerServer())
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

// awaitStart waits, at most for startTimeout, until this instance has received its first
// configuration, has tried once to pay in the budgets of that configuration, and knows that streams
// may begin at the versions of the endpoints.
func (n *Node) awaitStart(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, done := range []<-chan struct{}{n.firstPayment, n.Origins.Ready()} {
		select {
		case <-done:
		case <-ctx.Done():
		}
	}
}

// callerServer returns the server for callers. Its timeouts are those of the configuration
// in force if that sets both, and otherwise headerTimeout and callerIdleTimeout.
func (n *Node) callerServer() *http.Server {
	s := &http.Server{
		Handler: n.callers.Handler(n.intake.Handler(n.Forwarder)), ConnContext: n.intake.Context, ConnState: n.connState,
		ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	if t := n.Routes.Table(); t != nil {
		if l := t.Limits(); l.HeaderTimeout > 0 && l.IdleTimeout > 0 {
			s.ReadHeaderTimeout, s.IdleTimeout = l.HeaderTimeout, l.IdleTimeout
		}
	}
	return s
}

// connState is called when the state of a caller's connection changes.
func (n *Node) connState(nc net.Conn, s http.ConnState) {
	n.intake.ConnState(nc, s)
	n.callers.ConnState(nc, s)
}

// startServer starts to serve the connections of the open listener l with the server s,
// and returns s. If the server fails, the error is sent to serveErrors.
func (n *Node) startServer(l net.Listener, s *http.Server) *http.Server {
	s.ErrorLog = discardLogger()
	n.servers.Go(func() {
		if err := s.Serve(l); !errors.IsAny(err, http.ErrServerClosed, net.ErrClosed) {
			n.serveErrors <- errors.Wrap(err, "front: serve HTTP to callers, the readiness check, peers or operators")
		}
	})
	return s
}

// Reload applies the retry limits, the outage tolerance, the grace period and the memory of new
// settings. Other changes, such as those of the addresses, name and zone, take effect at
// the next start of the process. Reload logs a warning if the address for callers, the
// address for peers or the URL of the platform has changed.
func (n *Node) Reload(s *setup.Settings) {
	n.RetryLimits.configure(s.Forward())
	n.Reserver.SetOutageTolerance(time.Duration(s.Forward().OutageTolerance))
	n.gracePeriod.Store(int64(s.Forward().GracePeriod))
	n.Bound.SetMemory(s.Forward().MemoryMB << 20)
	if old := n.Settings; old.ListenAddress() != s.ListenAddress() || old.PeerAddress() != s.PeerAddress() || old.PlatformURL() != s.PlatformURL() {
		n.Logger.Warn("front: changed addresses in the settings take effect after a restart of the process")
	}
	n.Logger.WithField("grace", time.Duration(s.Forward().GracePeriod).String()).Info("front: reloaded the settings")
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

// serveMetrics writes the metrics of the instance in the Prometheus text format. It does
// not look at the method or path of the request.
func (n *Node) serveMetrics(w http.ResponseWriter, _ *http.Request) { n.Metrics.WritePrometheus(w) }

// awaitPeers waits for the first heartbeat of a peer, at most for peerWait. After such a
// heartbeat it waits peerWait for the heartbeats of the members that this peer knows. The
// wait is needed because an instance that knows no peers acts as the home of all budgets.
// The home of a budget is the instance that draws from its ledger for the whole zone.
func (n *Node) awaitPeers(ctx context.Context) {
	for began := time.Now(); ctx.Err() == nil && n.Peers.Isolated(); {
		if time.Since(began) > peerWait {
			return
		}
		pause.For(ctx, peerWait/10)
	}
	pause.For(ctx, peerWait)
}

// syncPayments raises the paid-in totals of budgets to the prepaid totals of the
// configuration. It does this for the budgets whose ledgers this instance draws from. It
// first waits for heartbeats of peers, for about twice peerWait at most (see awaitPeers).
// Then it pays in after each change of the configuration and every paymentInterval, until
// ctx ends. After the first attempt it closes firstPayment.
func (n *Node) syncPayments(ctx context.Context) {
	paid := map[string]int64{}
	first := sync.OnceFunc(func() { close(n.firstPayment) })
	n.awaitPeers(ctx)
	for ctx.Err() == nil {
		changed := n.Feeds.routes.Changed()
		if t := n.Routes.Table(); t != nil {
			if err := n.Reserver.Sync(ctx, t, paid); err != nil && ctx.Err() == nil {
				n.Logger.WithError(err).WithField("version", t.Version()).Warn("budget: could not pay in all prepaid totals of the configuration, will retry")
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

// closeExpired closes the connections to endpoints that have been idle for longer than
// their idle timeout. It does so every closeExpiredInterval until ctx ends.
func (n *Node) closeExpired(ctx context.Context) {
	pause.Every(ctx, closeExpiredInterval, n.Pool.CloseExpired)
}

// stop performs a planned stop. It announces that the instance is leaving, accepts
// requests during leaveDelay, in which the load balancer stops sending them, and then
// waits for open requests. After that it calls stopLoops, which must end the background
// loops, and returns the shares of budgets. When abort ends, stop waits neither for
// leaveDelay nor for open requests. Errors are logged; the result is always nil.
func (n *Node) stop(abort context.Context, stopLoops func()) error {
	began := time.Now()
	n.leaving.Store(true)
	n.callers.DisableKeepAlives()
	n.Members.Leave()
	n.Logger.WithField("open", n.Forwarder.InFlight()).Info("front: leaving")
	pause.For(abort, leaveDelay)
	grace := time.Duration(n.gracePeriod.Load()) - cleanupReserve
	n.Forwarder.RefuseLate(began.Add(grace))
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

// drain stops accepting callers' connections and waits until all requests have ended. If
// ctx ends first, it gives the open requests up: those whose response has not begun are answered.
// It returns an error if connections are still open then.
func (n *Node) drain(ctx context.Context) error {
	if err := n.callers.CloseListener(n.callerListener); err != nil {
		return errors.Wrap(err, "front: close the listener for callers")
	}
	if err := n.callers.Drain(ctx); err != nil {
		n.Forwarder.Abandon()
		answerCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), answerReserve)
		defer cancel()
		if n.callers.Drain(answerCtx) == nil {
			n.Logger.Warn("front: gave up the requests that were still open when the time for draining ended")
			return nil
		}
		return err
	}
	n.Forwarder.Wait()
	n.Server.Tunnels.Wait(ctx)
	return nil
}
