package trial

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"jacinthladder.dev/internal/conf/setup"
	"jacinthladder.dev/internal/fleet/build"
	"jacinthladder.dev/internal/fleet/node"
	"jacinthladder.dev/internal/plat/roster"
	"jacinthladder.dev/internal/stand/engine"
	"jacinthladder.dev/internal/stand/plain"
	"jacinthladder.dev/internal/stand/store"
	"jacinthladder.dev/internal/tools/admin"
)

const (
	enginesPerZone  = 2             // stand-in engines in each availability zone
	loopbackAddress = "127.0.0.1:0" // a free port of the loopback interface
	// readyTimeout is the longest time that the instances may take to become ready,
	// and that a stand-in waits for the header of a request.
	readyTimeout = 10 * time.Second
)

// Fleet is a fleet of instances with the stand-ins that it needs, all in this process.
// Create one with Start and stop it with Close.
type Fleet struct {
	Platform      *store.Platform
	Engines       []*engine.Engine  // endpoints of the model service
	PlainServices []*plain.Service  // endpoints of the plain service
	Nodes         []*node.Node      // instances, in the order in which they were started
	Admin         *admin.Admin      // makes changes to the platform as an operator does
	Keys          map[string]string // bearer key by client account

	config      Config
	platformURL string
	servers     []*http.Server // HTTP servers of the stand-ins
	serveGroup  sync.WaitGroup
	cancels     []context.CancelFunc // each starts the planned stop of the instance with this index in Nodes
	exits       []chan error         // each delivers the result of the run of the instance with this index in Nodes; nil once Stop receives it
}

// Config describes the instances, the services and the budgets of the fleet to start.
type Config struct {
	Zones         []string         // availability zone of each instance to start
	ModelDocument string           // example file with the document of a model service
	PlainDocument string           // example file with the document of a plain service
	Engine        engine.Config    // settings of each engine; its name is replaced
	Budgets       map[string]int64 // initial payment in micro-units, by budget
	DefaultBudget int64            // initial payment in micro-units for budgets that are not in Budgets
	LeaveDelay    time.Duration    // how long an instance accepts requests after it has announced that it is leaving
	Logger        log.Interface
	Edit          func(file string, src []byte) ([]byte, error) // if set, returns the document to apply in place of src, the service document in an example file
}

// DefaultConfig returns the configuration of a trial: five instances in four zones, and
// the example documents of a model service and a plain service.
func DefaultConfig(logger log.Interface) Config {
	return Config{
		Zones:         []string{"ikeja", "apapa", "lekki", "yaba", "ikeja"},
		ModelDocument: "okonjo/drafting-models.jsonc",
		PlainDocument: "okonjo/custody-ledger.jsonc",
		Engine:        engine.Config{Slots: 16, PrefillPerToken: 20 * time.Microsecond, TokenInterval: 4 * time.Millisecond, CachedPrefixes: 64, ReportDelay: 300 * time.Millisecond, RunTTL: time.Minute},
		Budgets:       map[string]int64{"training-main": 30_000, "field-south-main": 50_000},
		DefaultBudget: 1_000_000_000,
		LeaveDelay:    200 * time.Millisecond,
		Logger:        logger,
	}
}

// Start starts the stand-ins, applies the two service documents of the configuration,
// starts the instances and waits until they are ready. On an error it stops all that it
// has started.
func Start(ctx context.Context, c Config) (*Fleet, error) {
	f := &Fleet{Platform: store.New(), Keys: map[string]string{}, config: c}
	if err := f.start(ctx); err != nil {
		return nil, errors.CombineErrors(err, f.Close())
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	var err error
	if f.platformURL, err = f.serve(f.Platform.Handler()); err != nil {
		return err
	}
	f.Admin = &admin.Admin{Store: f.Platform.Store("")}
	for _, d := range []struct {
		file string
		make func(zone string, n int) (http.Handler, int)
	}{{f.config.ModelDocument, f.newEngine}, {f.config.PlainDocument, f.newPlain}} {
		if err := f.deployDocument(ctx, d.file, d.make); err != nil {
			return err
		}
	}
	for i, zone := range f.config.Zones {
		if err := f.Add(fmt.Sprintf("entry-%d", i+1), zone); err != nil {
			return err
		}
	}
	return f.awaitReady(ctx)
}

// serve starts an HTTP server for the handler of a stand-in on a free port of the
// loopback interface, and returns the server's base address.
func (f *Fleet) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", loopbackAddress)
	if err != nil {
		return "", errors.Wrap(err, "trial: listen on loopback")
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: readyTimeout}
	f.servers = append(f.servers, s)
	f.serveGroup.Go(func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			f.config.Logger.WithError(err).Error("trial: stand-in server failed")
		}
	})
	return "http://" + l.Addr().String(), nil
}

// newEngine creates engine n and returns its handler and the number of requests that it
// runs at once.
func (f *Fleet) newEngine(_ string, n int) (http.Handler, int) {
	c := f.config.Engine
	c.Name = fmt.Sprintf("draft-%d", n)
	e := engine.New(c)
	f.Engines = append(f.Engines, e)
	return e.Handler(), c.Slots
}

// newPlain creates endpoint n of the plain service. It returns the endpoint's handler
// and 32, the number of slots that the service document gives it.
func (f *Fleet) newPlain(_ string, n int) (http.Handler, int) {
	s := &plain.Service{Name: fmt.Sprintf("custody-%d", n)}
	f.PlainServices = append(f.PlainServices, s)
	return s.Handler(), 32
}

// Add starts an instance in a zone and adds it to the platform's instance list. It does
// not wait until the instance is ready.
func (f *Fleet) Add(name, zone string) error {
	s, err := setup.New(name, zone, loopbackAddress, loopbackAddress, loopbackAddress, f.platformURL,
		setup.WithLeaveDelay(f.config.LeaveDelay), setup.WithDrainTimeout(time.Minute), setup.WithHeartbeat(200*time.Millisecond), setup.WithFlush(200*time.Millisecond))
	if err != nil {
		return err
	}
	n, err := build.Node(s, f.config.Logger)
	if err != nil {
		return err
	}
	f.Platform.PutInstance(roster.Entry{Name: name, Zone: zone, Address: n.PeerAddress()})
	ctx, cancel := context.WithCancel(context.Background())
	exit := make(chan error, 1)
	f.Nodes = append(f.Nodes, n)
	f.cancels = append(f.cancels, cancel)
	f.exits = append(f.exits, exit)
	go func() { exit <- n.Run(ctx, context.Background()) }()
	return nil
}

// Stop performs a planned stop of instance i, in which the instance completes its open
// requests. It returns the error with which the instance ended, or nil if the instance
// has been stopped before.
func (f *Fleet) Stop(i int) error {
	f.cancels[i]()
	if exit := f.exits[i]; exit != nil {
		f.exits[i] = nil
		return <-exit
	}
	return nil
}

// awaitReady waits until each instance is ready and its membership table lists all
// others as live. It fails after readyTimeout, or once ctx is done.
func (f *Fleet) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for _, n := range f.Nodes {
		for n.NotReadyReason() != "" || len(n.Members().Live(time.Now())) < len(f.Nodes)-1 {
			if time.Now().After(deadline) || ctx.Err() != nil {
				return errors.Newf("trial: instance %s is not ready or does not see all others as live; reason why it is not ready: %s", n.ProcessID(), n.NotReadyReason())
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return nil
}

// StopNodes performs a planned stop of all instances at the same time. The stand-ins
// keep running.
func (f *Fleet) StopNodes() error {
	errs := make([]error, len(f.exits))
	var g sync.WaitGroup
	for i := range f.exits {
		g.Go(func() { errs[i] = f.Stop(i) })
	}
	g.Wait()
	return errors.Join(errs...)
}

// Close performs a planned stop of the instances that still run, then stops the
// stand-ins.
func (f *Fleet) Close() error {
	err := f.StopNodes()
	for _, e := range f.Engines {
		e.Crash()
	}
	for _, s := range f.servers {
		err = errors.CombineErrors(err, s.Close())
	}
	f.serveGroup.Wait()
	return err
}

// URLs returns the base addresses at which the instances serve their callers.
func (f *Fleet) URLs() []string {
	var urls []string
	for _, n := range f.Nodes {
		urls = append(urls, n.URL())
	}
	return urls
}
