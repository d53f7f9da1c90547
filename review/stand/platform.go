package main

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"jacinthladder.dev/platform/stand"
)

// platform stands in for the platform's store: the project's own stand-in, behind one gate for each
// machine, and what the operator and the replicas write into it.
type platform struct {
	stand.Store
	record *record
	away   atomic.Bool // the store answers nobody

	mu       sync.Mutex
	replicas []*replica
	version  int
	prepaid  int64
	target   string // where the route of the streams leads, as a field of the configuration
	stop     chan struct{}
}

// Where the route of the streams leads.
const (
	oneService  = `"service": "models"`
	twoServices = `"split": [{"service": "models", "weight": 50}, {"service": "models-b", "weight": 50}]`
)

// heartbeat is the interval at which the replicas write their entries.
const heartbeat = 1200 * time.Millisecond

// gate is the path of one machine to the store.
type gate struct {
	platform *platform
	shut     atomic.Bool // the store turns the machine away with status 503
	address  string
}

// ServeHTTP passes a call on to the store.
func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if g.shut.Load() || g.platform.away.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	g.platform.ServeHTTP(&gatedWriter{ResponseWriter: w, gate: g}, r)
}

// gatedWriter turns the answer to a call that waited into a refusal if the gate was shut meanwhile.
type gatedWriter struct {
	http.ResponseWriter
	gate    *gate
	refused bool
}

// WriteHeader writes the status. Only reads wait, so that a refusal is true: nothing was done.
func (w *gatedWriter) WriteHeader(status int) {
	if w.gate.shut.Load() || w.gate.platform.away.Load() {
		w.refused = true
		status = http.StatusServiceUnavailable
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the answer.
func (w *gatedWriter) Write(b []byte) (int, error) {
	if w.refused {
		return len(b), nil
	}
	return w.ResponseWriter.Write(b)
}

// newGate opens a path to the store for one machine.
func (p *platform) newGate() (*gate, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g := &gate{platform: p, address: l.Addr().String()}
	go func() { _ = http.Serve(l, g) }()
	return g, nil
}

// configure writes the next version of the configuration.
func (p *platform) configure(prepaid int64) error {
	p.mu.Lock()
	p.version++
	p.prepaid = prepaid
	p.mu.Unlock()
	return p.writeConfig()
}

// writeConfig writes the newest configuration.
func (p *platform) writeConfig() error {
	spec, err := fill("config.json", map[string]any{"version": p.version, "prepaid": p.prepaid, "target": p.target})
	if err != nil {
		return err
	}
	p.Put("config", "main", spec)
	p.record.add("operator writes version %d of the configuration, prepaid %d", p.version, p.prepaid)
	return nil
}

// register starts a replica and writes its entry.
func (p *platform) register(r *replica) error {
	if err := r.start(); err != nil {
		return err
	}
	p.mu.Lock()
	p.replicas = append(p.replicas, r)
	p.mu.Unlock()
	p.record.add("replica %s of %s (%s) starts at %s", r.id, r.service, r.version, r.address)
	return p.beat(r)
}

// beat writes the entry of a replica, unless the store is away.
func (p *platform) beat(r *replica) error {
	if p.away.Load() {
		return nil
	}
	spec, err := r.entry()
	if err != nil {
		return err
	}
	p.Put("servers", r.id, spec)
	return nil
}

// beatAll writes the entries of all replicas.
func (p *platform) beatAll() {
	p.mu.Lock()
	all := append([]*replica(nil), p.replicas...)
	p.mu.Unlock()
	for _, r := range all {
		if err := p.beat(r); err != nil {
			p.record.add("entry of %s: %v", r.id, err)
		}
	}
}

// run writes the entries of the replicas at each heartbeat.
func (p *platform) run() {
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	for {
		select {
		case <-p.stop:
			return
		case <-t.C:
			p.beatAll()
		}
	}
}

// drill takes the store away for a moment, and brings it back from a copy. What the operator and the
// replicas wrote is written again.
func (p *platform) drill(c stand.Copy, away time.Duration) error {
	p.record.say("drill: the store is away")
	p.away.Store(true)
	time.Sleep(away)
	p.Restore(c)
	if err := p.writeConfig(); err != nil {
		return err
	}
	p.away.Store(false)
	p.beatAll()
	p.record.say("drill: the store is back from the older copy")
	return nil
}
