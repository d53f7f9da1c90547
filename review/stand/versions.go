package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// versionStreams is the number of streams that are open as the machine ends.
	versionStreams = 24
	// releaseCount is the number of replicas that are replaced, of releaseOf, one at a time and
	// releaseGap apart.
	releaseCount = 3
	releaseOf    = 8
	releaseGap   = time.Second
	// startDelay is the time after which a process that has ended is started again.
	startDelay = 500 * time.Millisecond
	// streamEvents and streamGap make a stream: 40 events in 6 s.
	streamEvents = 40
	streamGap    = 150 * time.Millisecond
	// settleTime is stabilityMs: after it, calm machines are in touch again.
	settleTime = 3 * time.Second
	// copyAge is how old the copy is from which the store comes back, and awayTime how long it is away.
	copyAge  = releaseCount * releaseGap
	awayTime = 500 * time.Millisecond
	// maxMixed is the number of mixed streams that the rule allows.
	maxMixed = 2
)

// playVersions plays a release, a drill of the store during it, and the planned stop of one machine. The
// clients of that machine take their streams up at the others.
func playVersions(f *fleet) (bool, error) {
	engine := func(r *replica) { r.events, r.gap = longEvents, streamGap }
	if err := f.addReplicas("models", "v1", releaseOf, engine); err != nil {
		return false, err
	}
	if err := f.platform.configure(1_000_000_000); err != nil {
		return false, err
	}
	if err := f.start(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	older := f.platform.Copy()
	f.record.say("the store makes a copy")
	if err := f.release(engine); err != nil {
		return false, err
	}
	if trouble != "0" && trouble != "stop" {
		if err := f.platform.drill(older, awayTime); err != nil {
			return false, err
		}
	}
	time.Sleep(settleTime + time.Second)
	end := syscall.SIGTERM
	if trouble == "kill" {
		end = syscall.SIGKILL
	}
	return f.judgeVersions(f.runStreams(end)), nil
}

// release replaces replicas one after the other, which takes copyAge: the new one starts first, the old
// one drains, and goes on serving until the end.
func (f *fleet) release(engine func(r *replica)) error {
	old := f.platform.replicas[:releaseCount]
	for i := range releaseCount {
		r := &replica{
			id: fmt.Sprint("i-models-v2-", i), service: "models", zone: old[i].zone, version: "v2", slots: 128,
			names: f.names, record: f.record,
		}
		engine(r)
		if err := f.platform.register(r); err != nil {
			return err
		}
		old[i].leave()
		if err := f.platform.beat(old[i]); err != nil {
			return err
		}
		time.Sleep(releaseGap)
	}
	return nil
}

// runStreams begins streams at the first machine, to which a signal is sent while they are open. Clients
// take their streams up at the other machines.
func (f *fleet) runStreams(end syscall.Signal) []*stream {
	var work sync.WaitGroup
	var streams []*stream
	for i := range versionStreams {
		s := &stream{name: fmt.Sprint("s", i)}
		streams = append(streams, s)
		work.Go(func() {
			begun := time.Now()
			f.client.read(f.machines[0], s.name+"-a", s, 60, stride*longEvents, streamDeadline)
			for try := range 3 {
				if s.whole {
					return
				}
				time.Sleep(50 * time.Millisecond)
				f.client.read(f.machines[1+(i+try)%4], fmt.Sprint(s.name, "-", try), s, 60, stride*longEvents, streamDeadline-time.Since(begun))
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(1500 * time.Millisecond)
	if trouble != "0" {
		if err := f.machines[0].signal(end); err != nil {
			f.record.say("%v", err)
		}
		f.machines[0].wait()
		time.Sleep(startDelay)
		if err := f.machines[0].start(); err != nil {
			f.record.say("%v", err)
		}
	}
	work.Wait()
	return streams
}

// judgeVersions reports whether more streams are mixed than the rule allows.
func (f *fleet) judgeVersions(streams []*stream) bool {
	mixed, taken, whole := 0, 0, 0
	for _, s := range streams {
		if s.mixed() {
			mixed++
			f.record.say("stream %s holds events of %v", s.name, s.versions)
		}
		if s.whole {
			whole++
		}
		if s.broken != "" {
			f.record.say("stream %s: %s", s.name, s.broken)
		}
		if s.last > 0 {
			taken++
		}
	}
	f.record.say("%d streams begun, %d whole, %d hold events of two versions (allowed: %d)", taken, whole, mixed, maxMixed)
	return mixed > maxMixed
}
