package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"regexp"
	"sync"
	"syscall"
	"time"

	"jacinthladder.dev/coord/subset"
)

const (
	// prepaid is the number of tokens that the tenant has paid for.
	prepaid = 2_000_000
	// largePrompt and smallPrompt are the prompt tokens of the requests with which it spends them, and
	// spendOutput is their largest number of output tokens.
	largePrompt = 39_000
	smallPrompt = 900
	spendOutput = 8
	// callsAtOnce is the number of requests that the tenant has open at a time.
	callsAtOnce = 10
	// turnedAwayTime is how long the store turns machines away.
	turnedAwayTime = 9 * time.Second
)

// meter adds up what the tenant has consumed, as clients and replicas have seen it: the prompt of
// each request that ran, once, and the output tokens that reached the client.
type meter struct {
	mu             sync.Mutex
	next           int
	prompt, output int64
	answers        map[int]int // by status
}

func newMeter() *meter { return &meter{answers: map[int]int{}} }

// total returns the tokens that were consumed.
func (m *meter) total() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.prompt + m.output
}

// spend sends one request of the tenant to a machine and returns its status.
func (f *fleet) spend(m *meter, to *machine, prompt int) int {
	m.mu.Lock()
	m.next++
	id := fmt.Sprint("b", m.next)
	m.mu.Unlock()
	s := &stream{name: id}
	status := f.client.read(to, id, s, prompt, spendOutput, 3*time.Second)
	ran := false
	for _, r := range f.platform.replicas {
		r.mu.Lock()
		ran = ran || r.runs[id] > 0
		r.mu.Unlock()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.answers[status]++
	if ran {
		m.prompt += int64(prompt)
	}
	m.output += int64(s.last) * stride
	return status
}

// spendUpTo spends until the tenant has consumed total, at the given machines in turn.
func (f *fleet) spendUpTo(m *meter, total int64, to ...*machine) {
	for i := 0; m.total()+largePrompt+spendOutput <= total; i++ {
		f.spend(m, to[i%len(to)], largePrompt)
	}
}

// spendAll spends at the given machines, some requests at a time, for the time d at most or until each
// machine has refused for the want of budget several times in a row.
func (f *fleet) spendAll(m *meter, prompt int, d time.Duration, to ...*machine) {
	var work sync.WaitGroup
	end := time.Now().Add(d)
	for _, t := range to {
		for range callsAtOnce / len(to) {
			work.Go(func() {
				for refused := 0; refused < 4 && time.Now().Before(end); {
					if f.spend(m, t, prompt) == http.StatusPaymentRequired {
						refused++
						time.Sleep(200 * time.Millisecond)
						continue
					}
					refused = 0
					time.Sleep(10 * time.Millisecond)
				}
			})
		}
	}
	work.Wait()
}

// startSpending starts the deployment of the budget cases.
func (f *fleet) startSpending() error {
	engine := func(r *replica) { r.events, r.gap = 2, 2*time.Millisecond }
	if err := f.addReplicas("models", "v1", 4, engine); err != nil {
		return err
	}
	if err := f.platform.configure(prepaid); err != nil {
		return err
	}
	if err := f.start(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	return nil
}

// judgeBudget reports whether the tenant got more than it has prepaid.
func (f *fleet) judgeBudget(m *meter) bool {
	f.record.say("the tenant has consumed %d tokens (%d of prompts, %d of output) of %d prepaid; answers by status %v", m.total(), m.prompt, m.output, prepaid, m.answers)
	return m.total() > prepaid
}

// playSettings raises the rate of the store in the settings, and stops and starts the machines in
// turn.
func playSettings(f *fleet) (bool, error) {
	if err := f.startSpending(); err != nil {
		return false, err
	}
	m := newMeter()
	f.spendUpTo(m, prepaid*3/4, f.machines...)
	f.record.say("the tenant has consumed %d tokens", m.total())
	if trouble != "0" {
		for _, x := range f.machines {
			if trouble != "roll" {
				x.writes = 1600
			}
			if err := x.writeSettings(f.seeds()); err != nil {
				return false, err
			}
		}
		time.Sleep(2 * time.Second)
		if err := f.roll(); err != nil {
			return false, err
		}
	}
	time.Sleep(3 * time.Second)
	f.spendAll(m, largePrompt, 20*time.Second, f.machines...)
	f.spendAll(m, smallPrompt, 10*time.Second, f.machines...)
	return f.judgeBudget(m), nil
}

// roll stops and starts the machines in turn.
func (f *fleet) roll() error {
	for _, x := range f.machines {
		if err := x.signal(syscall.SIGTERM); err != nil {
			return err
		}
		x.wait()
		if err := x.start(); err != nil {
			return err
		}
		if err := x.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// processPattern finds the process ID in the log of a machine.
var processPattern = regexp.MustCompile(`"process":"([^"]+)"`)

// process returns the ID that the process on a machine has logged.
func (m *machine) process() (string, error) {
	data, err := os.ReadFile(m.log.Name())
	if err != nil {
		return "", err
	}
	for line := range bytes.Lines(data) {
		if found := processPattern.FindSubmatch(line); found != nil && bytes.Contains(line, []byte("front: started")) {
			return string(found[1]), nil
		}
	}
	return "", fmt.Errorf("%s has not logged its process ID", m.name)
}

// keeper returns the machine that remembers what another one writes to the ledgers: the first in that
// one's ranking of the machines of other zones.
func (f *fleet) keeper(of *machine) (*machine, error) {
	self, err := of.process()
	if err != nil {
		return nil, err
	}
	byProcess := map[string]*machine{}
	var others []string
	for _, m := range f.machines {
		if m.zone == of.zone {
			continue
		}
		p, err := m.process()
		if err != nil {
			return nil, err
		}
		byProcess[p] = m
		others = append(others, p)
	}
	return byProcess[subset.Rank(self, others)[0]], nil
}

// playTurnedAway plays a drill of the store, after which the store turns two machines away for a while.
func playTurnedAway(f *fleet) (bool, error) {
	if err := f.startSpending(); err != nil {
		return false, err
	}
	m := newMeter()
	first := f.machines[2]
	second, err := f.keeper(first)
	if err != nil {
		return false, err
	}
	if trouble == "any" {
		second = f.machines[[]int{0, 1, 3, 4, 5}[rand.IntN(5)]]
	}
	var rest []*machine
	for _, x := range f.machines {
		if x != first && x != second {
			rest = append(rest, x)
		}
	}
	for _, x := range f.machines {
		f.spend(m, x, smallPrompt)
	}
	time.Sleep(2 * time.Second)
	older := f.platform.Copy()
	f.record.say("the store makes a copy; the tenant has consumed %d tokens", m.total())
	time.Sleep(copyAge)
	f.record.say("the tenant calls %s", first.name)
	var work sync.WaitGroup
	for range callsAtOnce {
		work.Go(func() { f.spend(m, first, largePrompt) })
	}
	work.Wait()
	f.record.say("the tenant has consumed %d tokens", m.total())
	if trouble != "0" {
		first.gate.shut.Store(true)
		if trouble != "one" {
			second.gate.shut.Store(true)
		}
		f.record.say("the store turns %s and %s away", first.name, second.name)
		open := time.AfterFunc(turnedAwayTime, func() {
			first.gate.shut.Store(false)
			second.gate.shut.Store(false)
			f.record.say("the store serves all machines")
		})
		defer open.Stop()
		if err := f.platform.drill(older, awayTime); err != nil {
			return false, err
		}
	}
	f.spendAll(m, largePrompt, 15*time.Second, rest...)
	f.record.say("the tenant has consumed %d tokens", m.total())
	f.spendAll(m, largePrompt, 10*time.Second, f.machines...)
	f.spendAll(m, smallPrompt, 10*time.Second, f.machines...)
	return f.judgeBudget(m), nil
}
