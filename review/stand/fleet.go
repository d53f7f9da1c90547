package main

import (
	"fmt"
	"os"
	"strings"
)

// fleet is a small deployment: the platform, its replicas and the machines of the system.
type fleet struct {
	folder   string // for settings and logs, deleted at the end
	names    names
	record   *record
	platform *platform
	machines []*machine
	client   *client
}

// fiveMachines are the zones of the machines of the site, and sixMachines the same with a spare one.
var (
	fiveMachines = []string{"ikeja", "ikeja", "apapa", "lekki", "yaba"}
	sixMachines  = []string{"ikeja", "ikeja", "apapa", "apapa", "lekki", "yaba"}
)

// newFleet makes a deployment with one machine in each of zones. Nothing runs yet but the store.
func newFleet(r *record, zones []string) (*fleet, error) {
	n, err := loadNames()
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{folder: folder, names: n, record: r, client: &client{names: n, record: r, key: "key-of-field"}}
	f.platform = &platform{record: r, target: oneService, stop: make(chan struct{})}
	go f.platform.run()
	for i, zone := range zones {
		g, err := f.platform.newGate()
		if err != nil {
			return nil, err
		}
		m, err := newMachine(fmt.Sprintf("front-%s-%d", zone, i+1), zone, g, n, r, folder)
		if err != nil {
			return nil, err
		}
		f.machines = append(f.machines, m)
	}
	return f, nil
}

// addReplicas starts count replicas of a service at a software version, spread over the zones.
func (f *fleet) addReplicas(service, version string, count int, adjust func(r *replica)) error {
	for i := range count {
		r := &replica{
			id: fmt.Sprintf("i-%s-%s-%d", service, version, i), service: service, zone: fiveMachines[1+i%4], version: version,
			slots: 128, names: f.names, record: f.record,
		}
		adjust(r)
		if err := f.platform.register(r); err != nil {
			return err
		}
	}
	return nil
}

// seeds returns the peer addresses of three machines.
func (f *fleet) seeds() []string {
	var seeds []string
	for _, m := range f.machines[:min(3, len(f.machines))] {
		seeds = append(seeds, m.peer)
	}
	return seeds
}

// start starts all machines and waits until they are ready.
func (f *fleet) start() error {
	for _, m := range f.machines {
		if err := m.writeSettings(f.seeds()); err != nil {
			return err
		}
		if err := m.start(); err != nil {
			return err
		}
	}
	for _, m := range f.machines {
		if err := m.awaitReady(); err != nil {
			return err
		}
	}
	f.record.say("all machines are ready")
	return nil
}

// close ends all processes and servers, and adds those lines of the logs that match one of the given
// words to the record.
func (f *fleet) close(words ...string) {
	close(f.platform.stop)
	for _, m := range f.machines {
		m.kill()
		m.log.Close()
	}
	for _, r := range f.platform.replicas {
		r.server.Close()
	}
	for _, m := range f.machines {
		data, err := os.ReadFile(m.log.Name())
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(data)) {
			for _, w := range words {
				if strings.Contains(line, w) {
					f.record.add("log of %s: %s", m.name, strings.TrimSpace(line))
					break
				}
			}
		}
	}
	if err := os.RemoveAll(f.folder); err != nil {
		f.record.add("%v", err)
	}
}
