package node

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"jacinthladder.dev/coord/escrow"
	"jacinthladder.dev/coord/member"
	"jacinthladder.dev/internal/conf/setup"
	"jacinthladder.dev/internal/entry/flow"
	"jacinthladder.dev/internal/entry/meter"
	"jacinthladder.dev/internal/entry/settle"
	"jacinthladder.dev/internal/fleet/caller"
	"jacinthladder.dev/internal/fleet/config"
	"jacinthladder.dev/internal/fleet/drain"
	"jacinthladder.dev/internal/fleet/memory"
	"jacinthladder.dev/internal/fleet/pause"
	"jacinthladder.dev/internal/fleet/peers"
	"jacinthladder.dev/internal/fleet/socket"
	"jacinthladder.dev/internal/route/choose"
	"jacinthladder.dev/internal/route/health"
)

const (
	// headerTimeout is how long an incoming request's header may take to arrive.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long an idle incoming connection is kept.
	idleTimeout = 2 * time.Minute
	// loadTimeout bounds the first read of the configuration, which precedes the start
	// of the servers.
	loadTimeout = 2 * time.Second
	// cleanupTimeout bounds the return of shares and the upload of usage records at
	// the end of a stop, in addition to the drain timeout.
	cleanupTimeout = 10 * time.Second
)

// ProcessID is the ID of this process: the instance's name, a slash and a random
// suffix. After a restart the instance has another ID.
type ProcessID string

// NewProcessID returns an ID with the instance's name and 12 random hex digits.
func NewProcessID(s *setup.Settings) ProcessID {
	var b [6]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(err) // crypto/rand does not fail on supported systems
	}
	return ProcessID(s.Name() + "/" + hex.EncodeToString(b[:]))
}

// Node is one instance: its servers, its dependencies and the state of its stop. Use
// New to create one.
type Node struct {
	settings  *setup.Settings
	listeners *Listeners
	logger    log.Interface
	processID ProcessID
	metrics   *meter.Metrics
	config    *config.Cache
	holder    *escrow.Holder
	picker    *choose.Picker
	poller    *health.Poller
	recorder  *settle.Recorder
	pipeline  *flow.Pipeline
	members   *member.Table
	client    *peers.Client
	server    *peers.Server
	gossiper  *peers.Gossiper

	leaving        atomic.Bool // set at the start of a planned stop
	callerServer   *http.Server
	intake         caller.Conns // connections of callerServer, within the bound of the process
	callerConns    drain.Conns  // the same connections, which a planned stop drains
	callerListener net.Listener // listeners.callers, with its connections added to callerConns
	peerServer     *http.Server
	adminServer    *http.Server
	servers        sync.WaitGroup
	serveErrors    chan error // errors of servers that failed, at most one of each server
}

// Listeners holds the open TCP listeners of an instance's three servers: for callers, for
// peers, and for operators.
type Listeners struct {
	callers, peers, admin net.Listener
}

// Listen opens TCP listeners on the addresses that the settings give for callers,
// peers and operators. If one of them can't be opened, it closes the others and
// returns an error.
func Listen(s *setup.Settings) (*Listeners, error) {
	var open []net.Listener
	for _, address := range []string{s.ListenAddress(), s.PeerAddress(), s.AdminAddress()} {
		l, err := socket.Listen(address)
		if err != nil {
			for _, o := range open {
				err = errors.CombineErrors(err, o.Close())
			}
			return nil, errors.Wrap(err, "node: open the TCP listener for callers, peers or operators")
		}
		open = append(open, l)
	}
	return &Listeners{callers: open[0], peers: open[1], admin: open[2]}, nil
}

// Deps holds the dependencies that New needs. Code that Wire generates sets every field.
type Deps struct {
	Settings  *setup.Settings
	Listeners *Listeners
	Logger    log.Interface
	ProcessID ProcessID
	Metrics   *meter.Metrics
	Bound     *memory.Bound
	Config    *config.Cache
	Holder    *escrow.Holder
	Picker    *choose.Picker
	Poller    *health.Poller
	Recorder  *settle.Recorder
	Pipeline  *flow.Pipeline
	Members   *member.Table
	Client    *peers.Client
	Server    *peers.Server
	Gossiper  *peers.Gossiper
}

// New returns a node with the given dependencies. The node serves only while Run runs.
func New(d Deps) *Node {
	n := &Node{
		settings: d.Settings, listeners: d.Listeners, logger: d.Logger, processID: d.ProcessID, metrics: d.Metrics,
		config: d.Config, holder: d.Holder, picker: d.Picker, poller: d.Poller, recorder: d.Recorder, pipeline: d.Pipeline,
		members: d.Members, client: d.Client, server: d.Server, gossiper: d.Gossiper,
		serveErrors: make(chan error, 3), intake: caller.Conns{Bound: d.Bound},
	}
	n.callerServer = &http.Server{
		Handler: n.callerConns.Handler(n.intake.Handler(n.callerHandler())), ConnContext: n.intake.Context, ConnState: n.connState,
		ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
	}
	n.peerServer = &http.Server{Handler: d.Server.Handler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	n.adminServer = &http.Server{Handler: n.adminHandler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	return n
}

// connState is called when the state of a caller's connection changes.
func (n *Node) connState(nc net.Conn, s http.ConnState) {
	n.intake.ConnState(nc, s)
	n.callerConns.ConnState(nc, s)
}

// ProcessID returns the ID of the process that the node runs in, such as
// "entry-0/0123456789ab".
func (n *Node) ProcessID() string { return string(n.processID) }

// URL returns the base URL at which the node accepts callers' requests.
func (n *Node) URL() string { return "http://" + n.listeners.callers.Addr().String() }

// AdminURL returns the base URL at which the node serves metrics, health checks and the
// counters of its escrow shares to operators.
func (n *Node) AdminURL() string { return "http://" + n.listeners.admin.Addr().String() }

// PeerAddress returns the IP address and port at which the node accepts calls from
// peers.
func (n *Node) PeerAddress() string { return n.listeners.peers.Addr().String() }

// Holder returns the escrow holder, which manages the instance's shares of budgets.
func (n *Node) Holder() *escrow.Holder { return n.holder }

// Config returns the instance's cache of the configuration.
func (n *Node) Config() *config.Cache { return n.config }

// Metrics returns the metrics that the instance records and serves at /metrics.
func (n *Node) Metrics() *meter.Metrics { return n.metrics }

// Recorder returns the recorder, which charges calls and uploads their usage records.
func (n *Node) Recorder() *settle.Recorder { return n.recorder }

// Members returns the membership table: the fleet's members that the instance knows.
func (n *Node) Members() *member.Table { return n.members }

// Picker returns the picker, which chooses an endpoint for each call.
func (n *Node) Picker() *choose.Picker { return n.picker }

// Run serves until ctx ends or a server fails, then performs a planned stop. When
// abort ends too, the stop no longer waits for open requests. The returned error combines
// the error of a server that failed and the errors of the stop.
func (n *Node) Run(ctx, abort context.Context) error {
	loopCtx, stopLoops := context.WithCancel(context.Background())
	defer stopLoops()
	n.loadConfig(ctx)
	n.serve()
	var work sync.WaitGroup
	for _, loop := range []func(context.Context){
		n.holder.Run,
		n.gossiper.Run,
		n.poller.Run,
		n.updatePolicies,
		func(ctx context.Context) { n.config.Run(ctx, n.isWatcher) },
		func(ctx context.Context) { n.recorder.Run(ctx, n.settings.FlushInterval()) },
	} {
		work.Go(func() { loop(loopCtx) })
	}
	n.logger.Infof("node: %s serves callers at %s", n.processID, n.URL())
	var failed error
	select {
	case <-ctx.Done():
	case failed = <-n.serveErrors:
	}
	err := n.stop(abort, func() {
		stopLoops()
		work.Wait()
	})
	return errors.CombineErrors(failed, err)
}

// loadConfig reads the configuration from the platform once. If that fails, it logs a
// warning: the instance gets the configuration later, from the platform or from peers.
func (n *Node) loadConfig(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	if err := n.config.Load(ctx); err != nil {
		n.logger.WithError(err).Warn("node: could not load the configuration from the platform, will get it from the platform or from peers")
	}
}

// updatePolicies passes the policies of all budgets to the escrow holder, at once and
// after each change of the configuration, until ctx ends. A budget that pays for several
// services gets the longest outage tolerance and the highest allowance of unwitnessed
// spending that these services set.
func (n *Node) updatePolicies(ctx context.Context) {
	for {
		changed := n.config.Changed()
		policies := map[string]escrow.Policy{}
		for _, s := range n.config.Snapshot().Services() {
			for _, account := range s.Accounts() {
				for _, b := range s.Budgets(account) {
					p := policies[b]
					p.OutageTolerance, p.Unwitnessed = max(p.OutageTolerance, s.OutageTolerance()), max(p.Unwitnessed, s.Unwitnessed())
					policies[b] = p
				}
			}
		}
		n.holder.Configure(policies)
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// serve starts the servers for callers, peers and operators. A server that fails sends
// its error to serveErrors.
func (n *Node) serve() {
	n.callerListener = n.callerConns.Listener(n.intake.Listener(n.listeners.callers))
	for _, s := range []struct {
		server   *http.Server
		listener net.Listener
	}{{n.callerServer, n.callerListener}, {n.peerServer, n.listeners.peers}, {n.adminServer, n.listeners.admin}} {
		n.servers.Go(func() {
			if err := s.server.Serve(s.listener); !errors.IsAny(err, http.ErrServerClosed, net.ErrClosed) {
				n.serveErrors <- errors.Wrap(err, "node: serve HTTP to callers, peers or operators")
			}
		})
	}
}

// stop performs a planned stop. It announces that the instance is leaving, accepts
// requests during the leave delay and then waits for open requests, at most for the
// drain timeout. After that it calls stopLoops, which must end the background loops. It
// then returns the shares of budgets and uploads the usage records. When abort ends, stop
// waits neither for the leave delay nor for open requests.
func (n *Node) stop(abort context.Context, stopLoops func()) error {
	began := time.Now()
	n.logger.Infof("node: leaving, leave delay %s, drain timeout %s", n.settings.LeaveDelay(), n.settings.DrainTimeout())
	n.leaving.Store(true)
	n.members.Leave()
	n.callerConns.DisableKeepAlives()
	pause.For(abort, n.settings.LeaveDelay())
	drainCtx, cancel := context.WithTimeout(abort, n.settings.DrainTimeout())
	defer cancel()
	err := n.drain(drainCtx)
	stopLoops()
	cleanupCtx, cancel := context.WithTimeout(context.Background(), cleanupTimeout)
	defer cancel()
	err = errors.CombineErrors(err, n.holder.Close(cleanupCtx))
	err = errors.CombineErrors(err, n.recorder.Close(cleanupCtx))
	for _, s := range []*http.Server{n.peerServer, n.adminServer} {
		err = errors.CombineErrors(err, s.Close())
	}
	n.servers.Wait()
	n.client.Close()
	n.pipeline.Sender.Close()
	if err != nil {
		n.logger.WithError(err).Errorf("node: stopped with errors after %s", time.Since(began))
		return err
	}
	n.logger.Infof("node: stopped after %s", time.Since(began))
	return nil
}

// drain stops accepting callers' connections and waits until their requests have ended
// and the pipeline is idle. If ctx ends first, drain returns an error, and callers'
// connections that are still open are closed.
func (n *Node) drain(ctx context.Context) error {
	if err := n.callerConns.CloseListener(n.callerListener); err != nil {
		return errors.Wrap(err, "node: close the listener for callers")
	}
	if err := n.callerConns.Drain(ctx); err != nil {
		return errors.CombineErrors(err, n.callerServer.Close())
	}
	done := make(chan struct{})
	go func() {
		n.pipeline.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "node: wait for the open requests to end")
	}
}
