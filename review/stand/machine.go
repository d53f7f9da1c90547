package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// program is the path of the project's program and its argument, as the deploy file has them.
var program = []string{"target/jacinthladder", "serve"}

// machine is one machine of the system, with the process on it.
type machine struct {
	name, zone              string
	front, ready, peer, own string // addresses
	settings                string // path of the settings file
	writes                  int    // writes per second of the store, in the settings
	gate                    *gate
	names                   names
	record                  *record
	log                     *os.File

	mu  sync.Mutex
	cmd *exec.Cmd
}

// claimed are the addresses that freeAddress has returned.
var claimed = map[string]bool{}

// freeAddress returns a loopback address whose port is free, below those that the system gives to
// outgoing connections.
func freeAddress() (string, error) {
	for range 1000 {
		address := "127.0.0.1:" + strconv.Itoa(11_000+rand.IntN(19_000))
		if claimed[address] {
			continue
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		l.Close()
		claimed[address] = true
		return address, nil
	}
	return "", fmt.Errorf("no free port on loopback")
}

// newMachine chooses the addresses of a machine.
func newMachine(name, zone string, g *gate, n names, r *record, folder string) (*machine, error) {
	m := &machine{name: name, zone: zone, gate: g, names: n, record: r, writes: 400}
	for _, a := range []*string{&m.front, &m.ready, &m.peer, &m.own} {
		var err error
		if *a, err = freeAddress(); err != nil {
			return nil, err
		}
	}
	m.settings = filepath.Join(folder, name+".jsonc")
	var err error
	m.log, err = os.Create(filepath.Join(folder, name+".log"))
	return m, err
}

// writeSettings fills in the template of the deploy file.
func (m *machine) writeSettings(seeds []string) error {
	data, err := os.ReadFile("deploy/settings.jsonc")
	if err != nil {
		return err
	}
	text := string(data)
	list, err := json.Marshal(seeds)
	if err != nil {
		return err
	}
	text = strings.ReplaceAll(text, "[{{#seeds}}{{.|json}}{{,}}{{/seeds}}]", string(list))
	text = strings.ReplaceAll(text, "{{ip}}:{{portRange.0}}", m.own)
	for name, value := range map[string]any{
		"nodeId": m.name, "zone": m.zone, "listen.front": m.front, "listen.control": m.peer, "listen.ready": m.ready,
		"platform.address": m.gate.address, "bounds.graceS": 8, "bounds.configDeadlineMs": 2000, "bounds.retryBudgetRatio": 0.2,
		"bounds.budgetExtra": 54, "bounds.budgetWindowS": 10, "platform.writesPerS": m.writes, "limits.memoryMb": 284,
	} {
		quoted, err := json.Marshal(value)
		if err != nil {
			return err
		}
		text = strings.ReplaceAll(text, "{{"+name+"|json}}", string(quoted))
		text = strings.ReplaceAll(text, "{{"+name+"}}", fmt.Sprint(value))
	}
	if strings.Contains(text, "{{") {
		return fmt.Errorf("the template has a field that this stand-in does not know")
	}
	return os.WriteFile(m.settings, []byte(text), 0o600)
}

// start starts the process.
func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cmd = exec.Command(program[0], program[1:]...)
	m.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), m.names["boot"] + "=" + m.settings}
	m.cmd.Stdout, m.cmd.Stderr = m.log, m.log
	m.record.say("%s: process starts", m.name)
	return m.cmd.Start()
}

// signal sends a signal to the process.
func (m *machine) signal(s syscall.Signal) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.record.say("%s: signal %s", m.name, s)
	return m.cmd.Process.Signal(s)
}

// wait waits until the process has ended, and kills it after graceTime.
func (m *machine) wait() {
	m.mu.Lock()
	defer m.mu.Unlock()
	kill := time.AfterFunc(graceTime, func() { _ = m.cmd.Process.Kill() })
	defer kill.Stop()
	err := m.cmd.Wait()
	m.record.say("%s: process has ended (%v)", m.name, err)
}

// kill ends the process for good.
func (m *machine) kill() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil && m.cmd.Process != nil && m.cmd.ProcessState == nil {
		_ = m.cmd.Process.Kill()
		_ = m.cmd.Wait()
	}
}

// isReady reports whether the machine says that it is ready.
func (m *machine) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + m.ready + m.names["ready"])
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until the machine says that it is ready.
func (m *machine) awaitReady() error {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if m.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after 10 s", m.name)
}
