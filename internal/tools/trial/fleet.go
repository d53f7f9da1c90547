package trial

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"

	"jacinthladder.dev/examples"
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
	enginesPerZone = 2
	loopback       = "127.0.0.1:0"
	readyTime      = 10 * time.Second
)

// Fleet is a fleet in one process. Make one with Start, end it with Close.
type Fleet struct {
	Platform *store.Platform
	Engines  []*engine.Engine
	Plains   []*plain.Service
	Nodes    []*node.Node
	Admin    *admin.Admin
	Keys     map[string]string // bearer key by client account

	config  Config
	url     string // the platform's
	servers []*http.Server
	serving sync.WaitGroup
	stops   []context.CancelFunc
	ends    []chan error
}

// Config says what fleet to start.
type Config struct {
	Zones   []string // availability zone of each instance
	Model   string   // example document of a model service
	Plain   string   // example document of a plain service
	Engine  engine.Config
	Budgets map[string]int64 // micro-units paid in at the start, by budget
	Default int64            // micro-units for budgets that Budgets leaves out
	Lead    time.Duration
	Logger  log.Interface
	Edit    func(document string, src []byte) ([]byte, error) // changes a document first
}

// Default returns the configuration of a trial: five instances in four zones.
func Default(logger log.Interface) Config {
	return Config{
		Zones:   []string{"ikeja", "apapa", "lekki", "yaba", "ikeja"},
		Model:   "okonjo/drafting-models.jsonc",
		Plain:   "okonjo/custody-ledger.jsonc",
		Engine:  engine.Config{Slots: 16, Prefill: 20 * time.Microsecond, Step: 4 * time.Millisecond, Cache: 64, Lag: 300 * time.Millisecond, Keep: time.Minute},
		Budgets: map[string]int64{"training-main": 30_000, "field-south-main": 50_000},
		Default: 1_000_000_000,
		Lead:    200 * time.Millisecond,
		Logger:  logger,
	}
}

// Start starts the stand-ins, puts the documents in force, and starts the
// instances. On an error all that was started is ended.
func Start(ctx context.Context, c Config) (*Fleet, error) {
	f := &Fleet{Platform: store.New(), Keys: map[string]string{}, config: c}
	if err := f.start(ctx); err != nil {
		return nil, errors.CombineErrors(err, f.Close())
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	var err error
	if f.url, err = f.host(f.Platform.Handler()); err != nil {
		return err
	}
	f.Admin = &admin.Admin{Store: f.Platform.Store("")}
	for _, d := range []struct {
		file string
		make func(zone string, n int) (http.Handler, int)
	}{{f.config.Model, f.newEngine}, {f.config.Plain, f.newPlain}} {
		if err := f.document(ctx, d.file, d.make); err != nil {
			return err
		}
	}
	for i, zone := range f.config.Zones {
		if err := f.Add(fmt.Sprintf("entry-%d", i+1), zone); err != nil {
			return err
		}
	}
	return f.ready(ctx)
}

// host serves a handler on loopback and returns its base address.
func (f *Fleet) host(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", errors.Wrap(err, "trial: listen")
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: readyTime}
	f.servers = append(f.servers, s)
	f.serving.Go(func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			f.config.Logger.WithError(err).Error("trial: a stand-in failed")
		}
	})
	return "http://" + l.Addr().String(), nil
}

func (f *Fleet) newEngine(_ string, n int) (http.Handler, int) {
	c := f.config.Engine
	c.Name = fmt.Sprintf("draft-%d", n)
	e := engine.New(c)
	f.Engines = append(f.Engines, e)
	return e.Handler(), c.Slots
}

func (f *Fleet) newPlain(_ string, n int) (http.Handler, int) {
	s := &plain.Service{Name: fmt.Sprintf("custody-%d", n)}
	f.Plains = append(f.Plains, s)
	return s.Handler(), 32
}

type endpointText struct {
	Name  string `json:"name"`
	Zone  string `json:"zone"`
	URL   string `json:"url"`
	Slots int    `json:"slots"`
}

// document starts the endpoints of an example document, puts their addresses
// into it, and applies it with its accounts and budgets.
func (f *Fleet) document(ctx context.Context, file string, add func(zone string, n int) (http.Handler, int)) error {
	src, err := examples.Files.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "trial")
	}
	var endpoints []endpointText
	each := 1
	if file == f.config.Model {
		each = enginesPerZone
	}
	for _, zone := range unique(f.config.Zones) {
		for range each {
			h, slots := add(zone, len(endpoints)+1)
			url, err := f.host(h)
			if err != nil {
				return err
			}
			name := fmt.Sprintf("%s-%d", zone, len(endpoints)+1)
			endpoints = append(endpoints, endpointText{Name: name, Zone: zone, URL: url, Slots: slots})
		}
	}
	if src, err = patch(src, "/endpoints", endpoints); err != nil {
		return err
	}
	if f.config.Edit != nil {
		if src, err = f.config.Edit(file, src); err != nil {
			return err
		}
	}
	return f.apply(ctx, file, src)
}

type patchOp struct {
	Op    string `json:"op"`
	Path  string `json:"path"`
	Value any    `json:"value"`
}

// patch replaces one field of a document.
func patch(src []byte, path string, value any) ([]byte, error) {
	v, err := hujson.Parse(src)
	if err != nil {
		return nil, errors.Wrap(err, "trial: document")
	}
	ops, err := json.Marshal([]patchOp{{Op: "add", Path: path, Value: value}})
	if err != nil {
		return nil, errors.Wrap(err, "trial: patch")
	}
	if err := v.Patch(ops); err != nil {
		return nil, errors.Wrap(err, "trial: patch")
	}
	return v.Pack(), nil
}

func unique(names []string) []string {
	var once []string
	seen := map[string]bool{}
	for _, n := range names {
		if !seen[n] {
			seen[n] = true
			once = append(once, n)
		}
	}
	return once
}

// Add starts one more instance.
func (f *Fleet) Add(name, zone string) error {
	s, err := setup.New(name, zone, loopback, loopback, loopback, f.url,
		setup.WithLeaveDelay(f.config.Lead), setup.WithDrainTimeout(time.Minute), setup.WithHeartbeat(200*time.Millisecond), setup.WithFlush(200*time.Millisecond))
	if err != nil {
		return err
	}
	n, err := build.Node(s, f.config.Logger)
	if err != nil {
		return err
	}
	f.Platform.Enlist(roster.Entry{Name: name, Zone: zone, Address: n.PeerAddress()})
	ctx, stop := context.WithCancel(context.Background())
	end := make(chan error, 1)
	f.Nodes = append(f.Nodes, n)
	f.stops = append(f.stops, stop)
	f.ends = append(f.ends, end)
	go func() { end <- n.Run(ctx, context.Background()) }()
	return nil
}

// Stop stops an instance as planned and returns how that went.
func (f *Fleet) Stop(i int) error {
	f.stops[i]()
	if end := f.ends[i]; end != nil {
		f.ends[i] = nil
		return <-end
	}
	return nil
}

func (f *Fleet) ready(ctx context.Context) error {
	deadline := time.Now().Add(readyTime)
	for _, n := range f.Nodes {
		for n.NotReadyReason() != "" || len(n.Members().Live(time.Now())) < len(f.Nodes)-1 {
			if time.Now().After(deadline) || ctx.Err() != nil {
				return errors.Newf("trial: %s is not ready: %s", n.ProcessID(), n.NotReadyReason())
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return nil
}

// StopNodes stops all instances as planned.
func (f *Fleet) StopNodes() error {
	errs := make([]error, len(f.ends))
	var g sync.WaitGroup
	for i := range f.ends {
		g.Go(func() { errs[i] = f.Stop(i) })
	}
	g.Wait()
	return errors.Join(errs...)
}

// Close stops all that runs.
func (f *Fleet) Close() error {
	err := f.StopNodes()
	for _, e := range f.Engines {
		e.Crash()
	}
	for _, s := range f.servers {
		err = errors.CombineErrors(err, s.Close())
	}
	f.serving.Wait()
	return err
}

// URLs returns the base addresses for callers.
func (f *Fleet) URLs() []string {
	var urls []string
	for _, n := range f.Nodes {
		urls = append(urls, n.URL())
	}
	return urls
}
