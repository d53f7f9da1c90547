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
	"jacinthladder.dev/internal/fleet/config"
	"jacinthladder.dev/internal/fleet/drain"
	"jacinthladder.dev/internal/fleet/pause"
	"jacinthladder.dev/internal/fleet/peers"
	"jacinthladder.dev/internal/route/choose"
	"jacinthladder.dev/internal/route/health"
)

const (
	// headTime bounds the reading of a request's head.
	headTime = 10 * time.Second
	// idleTime is how long an unused connection of a caller is kept.
	idleTime = 2 * time.Minute
	// loadTime bounds the first reading of the configuration.
	loadTime = 2 * time.Second
	// finalTime is what a stop keeps for shares and records when requests
	// have used up the drain time.
	finalTime = 10 * time.Second
)

// ProcessID is the ID of this process: the instance's name and an incarnation
// that no other process has.
type ProcessID string

// NewProcessID returns a fresh ID.
func NewProcessID(s *setup.Settings) ProcessID {
	var b [6]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(err) // the system's random source does not fail
	}
	return ProcessID(s.Name() + "/" + hex.EncodeToString(b[:]))
}

// Node is one instance. Make one with New; the program's injector does.
type Node struct {
	settings  *setup.Settings
	listeners *Listeners
	logger    log.Interface
	process   ProcessID
	meter     *meter.Metrics
	keeper    *config.Cache
	holder    *escrow.Holder
	board     *choose.Picker
	reader    *health.Poller
	clerk     *settle.Recorder
	flow      *flow.Pipeline
	table     *member.Table
	client    *peers.Client
	server    *peers.Server
	beater    *peers.Gossiper

	leaving   atomic.Bool
	callers   *http.Server
	open      drain.Conns  // of callers
	accepting net.Listener // of callers
	peers     *http.Server
	admin     *http.Server
	serving   sync.WaitGroup
	broken    chan error
}

// Listeners are the open addresses of an instance.
type Listeners struct {
	callers, peers, admin net.Listener
}

// Listen opens the addresses of the settings.
func Listen(s *setup.Settings) (*Listeners, error) {
	var open []net.Listener
	for _, address := range []string{s.ListenAddress(), s.PeerAddress(), s.AdminAddress()} {
		l, err := net.Listen("tcp", address)
		if err != nil {
			for _, o := range open {
				err = errors.CombineErrors(err, o.Close())
			}
			return nil, errors.Wrap(err, "node: listen")
		}
		open = append(open, l)
	}
	return &Listeners{callers: open[0], peers: open[1], admin: open[2]}, nil
}

// Deps are what a Node is made of.
type Deps struct {
	Settings  *setup.Settings
	Listeners *Listeners
	Logger    log.Interface
	Process   ProcessID
	Meter     *meter.Metrics
	Keeper    *config.Cache
	Holder    *escrow.Holder
	Board     *choose.Picker
	Reader    *health.Poller
	Clerk     *settle.Recorder
	Flow      *flow.Pipeline
	Table     *member.Table
	Client    *peers.Client
	Server    *peers.Server
	Beater    *peers.Gossiper
}

// New returns a node that does not serve yet.
func New(p Deps) *Node {
	n := &Node{
		settings: p.Settings, listeners: p.Listeners, logger: p.Logger, process: p.Process, meter: p.Meter,
		keeper: p.Keeper, holder: p.Holder, board: p.Board, reader: p.Reader, clerk: p.Clerk, flow: p.Flow,
		table: p.Table, client: p.Client, server: p.Server, beater: p.Beater,
		broken: make(chan error, 3),
	}
	n.callers = &http.Server{
		Handler: n.open.Handler(n.callerSurface()), ConnState: n.open.ConnState, ReadHeaderTimeout: headTime, IdleTimeout: idleTime,
	}
	n.peers = &http.Server{Handler: p.Server.Handler(), ReadHeaderTimeout: headTime, IdleTimeout: idleTime}
	n.admin = &http.Server{Handler: n.adminSurface(), ReadHeaderTimeout: headTime, IdleTimeout: idleTime}
	return n
}

// ProcessID returns the process ID.
func (n *Node) ProcessID() string { return string(n.process) }

// URL returns the base address for callers.
func (n *Node) URL() string { return "http://" + n.listeners.callers.Addr().String() }

// AdminURL returns the base address for operators.
func (n *Node) AdminURL() string { return "http://" + n.listeners.admin.Addr().String() }

// PeerAddress returns the address for other instances.
func (n *Node) PeerAddress() string { return n.listeners.peers.Addr().String() }

// Holder returns the escrow shares of the instance.
func (n *Node) Holder() *escrow.Holder { return n.holder }

// Config returns the configuration of the instance.
func (n *Node) Config() *config.Cache { return n.keeper }

// Meter returns the metrics of the instance.
func (n *Node) Meter() *meter.Metrics { return n.meter }

// Recorder returns the records of the instance.
func (n *Node) Recorder() *settle.Recorder { return n.clerk }

// Members returns what the instance knows of the fleet.
func (n *Node) Members() *member.Table { return n.table }

// Picker returns what the instance knows of endpoints.
func (n *Node) Picker() *choose.Picker { return n.board }

// Run serves until ctx ends, then stops as planned. Once now ends too, the
// stop no longer waits for open requests. An error says what the stop could
// not finish, or why the node could not serve.
func (n *Node) Run(ctx, now context.Context) error {
	loops, endLoops := context.WithCancel(context.Background())
	defer endLoops()
	n.load(ctx)
	n.serve()
	var work sync.WaitGroup
	for _, loop := range []func(context.Context){
		n.holder.Run,
		n.beater.Run,
		n.reader.Run,
		n.configure,
		func(ctx context.Context) { n.keeper.Run(ctx, n.onDuty) },
		func(ctx context.Context) { n.clerk.Run(ctx, n.settings.FlushInterval()) },
	} {
		work.Go(func() { loop(loops) })
	}
	n.logger.Infof("node: %s serves callers at %s", n.process, n.URL())
	var failed error
	select {
	case <-ctx.Done():
	case failed = <-n.broken:
	}
	err := n.stop(now, func() {
		endLoops()
		work.Wait()
	})
	return errors.CombineErrors(failed, err)
}

// load reads the configuration once. If the platform is away it comes from the
// peers.
func (n *Node) load(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, loadTime)
	defer cancel()
	if err := n.keeper.Load(ctx); err != nil {
		n.logger.WithError(err).Warn("node: the platform gives no configuration, peers may")
	}
}

// configure hands the holder each budget's policy whenever the documents change.
// A budget that services share endures as long as any of them asks.
func (n *Node) configure(ctx context.Context) {
	for {
		changed := n.keeper.Changed()
		policies := map[string]escrow.Policy{}
		for _, s := range n.keeper.Snapshot().Services() {
			for _, account := range s.Accounts() {
				for _, b := range s.Budgets(account) {
					p := policies[b]
					p.OutageTolerance, p.Unwitnessed = max(p.OutageTolerance, s.OutageTime()), max(p.Unwitnessed, s.EscrowSlack())
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

func (n *Node) serve() {
	n.accepting = n.open.Listener(n.listeners.callers)
	for _, s := range []struct {
		server   *http.Server
		listener net.Listener
	}{{n.callers, n.accepting}, {n.peers, n.listeners.peers}, {n.admin, n.listeners.admin}} {
		n.serving.Go(func() {
			if err := s.server.Serve(s.listener); !errors.IsAny(err, http.ErrServerClosed, net.ErrClosed) {
				n.broken <- errors.Wrap(err, "node: serve")
			}
		})
	}
}

// stop ends the node in order.
func (n *Node) stop(now context.Context, endLoops func()) error {
	began := time.Now()
	n.logger.Infof("node: leaving, lead %s, drain %s", n.settings.LeaveDelay(), n.settings.DrainTimeout())
	n.leaving.Store(true)
	n.table.Leave()
	n.open.DisableKeepAlives()
	pause.For(now, n.settings.LeaveDelay())
	drain, cancel := context.WithTimeout(now, n.settings.DrainTimeout())
	defer cancel()
	err := n.drain(drain)
	endLoops()
	final, cancel := context.WithTimeout(context.Background(), finalTime)
	defer cancel()
	err = errors.CombineErrors(err, n.holder.Close(final))
	err = errors.CombineErrors(err, n.clerk.Close(final))
	for _, s := range []*http.Server{n.peers, n.admin} {
		err = errors.CombineErrors(err, s.Close())
	}
	n.serving.Wait()
	n.client.Close()
	n.flow.Sender.Close()
	if err != nil {
		n.logger.WithError(err).Errorf("node: stopped after %s, not all is in order", time.Since(began))
		return err
	}
	n.logger.Infof("node: stopped after %s, all is in order", time.Since(began))
	return nil
}

// drain takes no new work and waits for what is open.
func (n *Node) drain(ctx context.Context) error {
	if err := n.open.CloseListener(n.accepting); err != nil {
		return errors.Wrap(err, "node: listener")
	}
	if err := n.open.Drain(ctx); err != nil {
		return errors.CombineErrors(err, n.callers.Close())
	}
	done := make(chan struct{})
	go func() {
		n.flow.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "node: attempts were cut off")
	}
}
