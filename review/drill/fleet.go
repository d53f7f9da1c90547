package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"jacinthladder.dev/platform/stand"
)

// program is the project's own program, as the deploy file builds and starts it.
const program = "target/jacinthladder"

// instance is an instance of the fleet, which runs as a process of its own.
type instance struct {
	Name, Zone                               string
	Listen, Peer, Admin, Ready, Store, Files string
	Seeds                                    []string
	cmd                                      *exec.Cmd
	startedAt                                time.Time
}

// fleet is the instances, with the store and the way to it.
type fleet struct {
	rec       *record
	folder    string // temporary
	store     *stand.Store
	storePath *stand.Proxy // from all instances to the store
	instances []*instance
	version   int
	prepaid   int
}

// newFleet starts the store and prepares instances in the given zones.
func newFleet(rec *record, prepaid int, zones ...string) (*fleet, error) {
	folder, err := os.MkdirTemp("", "drill")
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, folder: folder, store: &stand.Store{}, version: 1, prepaid: prepaid}
	f.endOnSignal()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() {
		if err := http.Serve(l, f.store); err != nil {
			rec.add("store ended: %v", err)
		}
	}()
	if f.storePath, err = stand.NewProxy(l.Addr().String()); err != nil {
		return nil, err
	}
	go f.storePath.Run()
	f.putConfig()
	ports, err := freeAddresses(4 * len(zones))
	if err != nil {
		return nil, err
	}
	var peers []string
	for i := range zones {
		peers = append(peers, ports[4*i+1])
	}
	for i, z := range zones {
		in := &instance{Name: fmt.Sprint("front-", i), Zone: z, Listen: ports[4*i], Peer: ports[4*i+1], Admin: ports[4*i+2], Ready: ports[4*i+3], Store: f.storePath.Addr(), Seeds: peers[:min(len(peers), 3)]}
		in.Files = filepath.Join(folder, in.Name+".jsonc")
		if err := in.writeSettings(); err != nil {
			return nil, err
		}
		f.instances = append(f.instances, in)
	}
	return f, nil
}

// endOnSignal ends all instances if this program is told to end.
func (f *fleet) endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		for _, in := range f.instances {
			if cmd := in.cmd; cmd != nil {
				if err := cmd.Process.Kill(); err != nil {
					f.rec.add("%s: %v", in.Name, err)
				}
			}
		}
		os.Exit(unable)
	}()
}

// writeSettings writes the settings file of an instance, as the platform does at each start and change.
func (in *instance) writeSettings() error {
	return os.WriteFile(in.Files, []byte(fill(settingsText, in)), 0o600)
}

// putConfig writes the configuration as the operator does.
func (f *fleet) putConfig() {
	f.store.PutText(names.Config, "main", fill(configText, map[string]int{"Version": f.version, "Prepaid": f.prepaid}))
}

// Ports for instances are chosen below the range from which the system takes those of outgoing connections.
const (
	firstPort = 12_000
	portCount = 18_000
)

// freeAddresses returns addresses on loopback at which nothing listens.
func freeAddresses(count int) ([]string, error) {
	var all []string
	for try := 0; len(all) < count && try < 100*count; try++ {
		l, err := net.Listen("tcp", fmt.Sprint("127.0.0.1:", firstPort+rand.IntN(portCount)))
		if err != nil {
			continue
		}
		defer l.Close()
		all = append(all, l.Addr().String())
	}
	if len(all) < count {
		return nil, errors.New("no free ports")
	}
	return all, nil
}

// start starts the process of an instance.
func (f *fleet) start(in *instance) error {
	log, err := os.OpenFile(filepath.Join(f.folder, in.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	in.cmd = exec.Command(program, "serve", "--settings", in.Files)
	in.cmd.Stdout, in.cmd.Stderr = log, log
	if err := in.cmd.Start(); err != nil {
		return err
	}
	in.startedAt = time.Now()
	f.rec.add("%s started, zone %s", in.Name, in.Zone)
	return nil
}

// startAll starts instances and waits until all are ready.
func (f *fleet) startAll(instances ...*instance) error {
	for _, in := range instances {
		if err := f.start(in); err != nil {
			return err
		}
	}
	for _, in := range instances {
		if err := f.awaitReady(in); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady asks an instance as the platform does, until it says that it is ready.
func (f *fleet) awaitReady(in *instance) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + in.Ready + names.Ready)
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			f.rec.add("%s is ready", in.Name)
			return nil
		}
	}
	return fmt.Errorf("%s did not become ready", in.Name)
}

// kill kills the process of an instance.
func (f *fleet) kill(in *instance) {
	if in.cmd == nil {
		return
	}
	if err := in.cmd.Process.Signal(syscall.SIGKILL); err != nil {
		f.rec.add("%s: %v", in.Name, err)
	}
	if err := in.cmd.Wait(); err != nil {
		f.rec.add("%s ended: %v", in.Name, err)
	}
	in.cmd = nil
}

// close ends all processes and removes the temporary folder, unless KEEP is set in the environment.
func (f *fleet) close() {
	for _, in := range f.instances {
		f.kill(in)
	}
	if os.Getenv("KEEP") == "" {
		if err := os.RemoveAll(f.folder); err != nil {
			f.rec.add("%v", err)
		}
		return
	}
	fmt.Println("kept", f.folder)
}
