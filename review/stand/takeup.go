package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// streamDeadline is the time that a client waits for a stream, over its tries.
const streamDeadline = 15 * time.Second

// minTakeUps is the number of streams that have to be taken up for the rule to count.
const minTakeUps = 12

// takeUps counts streams: those that were sent and begun, and those that were taken up and went on.
type takeUps struct {
	mu                         sync.Mutex
	sent, begun, taken, wentOn int
}

// longEvents is the number of events of a stream that outlasts the planned stop of its machine: 10.5 s.
const longEvents = 70

// playSplit plays the planned stop of one machine while the route of the streams leads to two services.
func playSplit(f *fleet) (bool, error) {
	engine := func(r *replica) { r.events, r.gap = longEvents, streamGap }
	for _, service := range []string{"models", "models-b"} {
		if err := f.addReplicas(service, "v1", 4, engine); err != nil {
			return false, err
		}
	}
	if trouble != "plain" {
		f.platform.target = twoServices
	}
	if err := f.platform.configure(1_000_000_000); err != nil {
		return false, err
	}
	if err := f.start(); err != nil {
		return false, err
	}
	time.Sleep(settleTime + 2*time.Second)
	end := syscall.SIGTERM
	if trouble == "kill" {
		end = syscall.SIGKILL
	}
	return f.playTakeUps(longEvents, end), nil
}

// playUnwritten plays the kill of one machine that the store turns away, while replicas of two
// versions serve.
func playUnwritten(f *fleet) (bool, error) {
	engine := func(r *replica) { r.events, r.gap = streamEvents, streamGap }
	for _, version := range []string{"v1", "v2"} {
		if err := f.addReplicas("models", version, 4, engine); err != nil {
			return false, err
		}
	}
	if err := f.platform.configure(1_000_000_000); err != nil {
		return false, err
	}
	if err := f.start(); err != nil {
		return false, err
	}
	time.Sleep(settleTime + 2*time.Second)
	if trouble != "0" && trouble != "kill" {
		x := f.machines[0]
		x.gate.shut.Store(true)
		f.record.say("the store turns %s away", x.name)
		open := time.AfterFunc(turnedAwayTime, func() {
			x.gate.shut.Store(false)
			f.record.say("the store serves all machines")
		})
		defer open.Stop()
		time.Sleep(time.Second)
	}
	return f.playTakeUps(streamEvents, syscall.SIGKILL), nil
}

// playTakeUps begins streams at all machines, more of them at the first one, to which a signal is then
// sent. Its clients take their streams up at the others. It reports whether the rule was broken.
func (f *fleet) playTakeUps(events int, end syscall.Signal) bool {
	var t takeUps
	var work sync.WaitGroup
	for i := range 2 * versionStreams {
		at := f.machines[0]
		if i%2 == 1 {
			at = f.machines[1+i/2%4]
		}
		s := &stream{name: fmt.Sprint("s", i)}
		work.Go(func() { f.follow(&t, at, s, i, events) })
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(1500 * time.Millisecond)
	if trouble != "0" {
		if err := f.machines[0].signal(end); err != nil {
			f.record.say("%v", err)
		}
		f.machines[0].wait()
		if end == syscall.SIGKILL {
			time.Sleep(3 * time.Second)
		}
		if err := f.machines[0].start(); err != nil {
			f.record.say("%v", err)
		}
	}
	work.Wait()
	f.record.say("%d of %d new streams began; %d were taken up, of which %d went on", t.begun, t.sent, t.taken, t.wentOn)
	return t.taken >= minTakeUps && 2*t.wentOn*t.sent < t.taken*t.begun
}

// follow reads a stream at a machine, and takes it up at the others, with two tries, if it breaks off.
func (f *fleet) follow(t *takeUps, at *machine, s *stream, i, events int) {
	begun := time.Now()
	f.client.read(at, s.name+"-a", s, 60, stride*events, streamDeadline)
	t.mu.Lock()
	t.sent++
	if s.last > 0 {
		t.begun++
	}
	t.mu.Unlock()
	if s.whole || s.last == 0 {
		return
	}
	before := s.last
	for try := range 2 {
		time.Sleep(time.Duration(100+900*try) * time.Millisecond)
		f.client.read(f.machines[1+(i+try)%4], fmt.Sprint(s.name, "-", try), s, 60, stride*events, streamDeadline-time.Since(begun))
		if s.whole || s.last > before {
			break
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.taken++
	if s.whole || s.last > before {
		t.wentOn++
	}
}
