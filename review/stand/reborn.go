package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// outageTime is how long the store is down in playReborn.
const outageTime = 4500 * time.Millisecond

// playReborn plays a replica that starts again at another software version, under its ID and at its
// address, while the store is down, and crashes once more.
func playReborn(f *fleet) (bool, error) {
	engine := func(r *replica) { r.events, r.gap = streamEvents, streamGap }
	if err := f.addReplicas("models", "v1", 4, engine); err != nil {
		return false, err
	}
	if err := f.platform.configure(1_000_000_000); err != nil {
		return false, err
	}
	if err := f.start(); err != nil {
		return false, err
	}
	time.Sleep(settleTime + 2*time.Second)
	r := f.platform.replicas[2]
	if trouble != "0" {
		f.platform.away.Store(true)
		f.record.say("the store is down")
		time.AfterFunc(outageTime, func() { f.platform.away.Store(false) })
		r.crash()
		time.Sleep(time.Second)
		if err := r.restart("v2"); err != nil {
			return false, err
		}
		time.Sleep(200 * time.Millisecond)
	}
	var work sync.WaitGroup
	var streams []*stream
	for i := range versionStreams {
		s := &stream{name: fmt.Sprint("s", i)}
		streams = append(streams, s)
		work.Go(func() { f.client.read(f.machines[i%5], s.name+"-a", s, 60, stride*streamEvents, streamDeadline) })
		time.Sleep(10 * time.Millisecond)
	}
	if trouble != "0" {
		time.Sleep(time.Second)
		r.crash()
	}
	work.Wait()
	return f.judgeVersions(streams), nil
}

// drainTime is drainMs.
const drainTime = 2 * time.Second

// playEarlier plays a replica that starts again under its ID and then leaves, and a drill of the store
// that brings back the entry of its earlier start.
func playEarlier(f *fleet) (bool, error) {
	if err := f.addReplicas("ledger", "v1", 4, func(r *replica) { r.slots = 6 }); err != nil {
		return false, err
	}
	if err := f.platform.configure(1_000_000_000); err != nil {
		return false, err
	}
	if err := f.start(); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	r := f.platform.replicas[3]
	var mu sync.Mutex
	passedOn := map[string]time.Time{} // by machine, when it passed on an answer that says that the replica leaves
	late := map[string]int{}           // by machine, requests that reached the replica too late
	sent := map[string]time.Time{}
	r.onRun = func(_ *replica, id, _ string) {
		mu.Lock()
		defer mu.Unlock()
		var name string
		var n int
		if _, err := fmt.Sscanf(id, "%d/%s", &n, &name); err != nil {
			return
		}
		if at, ok := passedOn[name]; ok && sent[id].Sub(at) > drainTime {
			late[name]++
			f.record.add("late     %s reaches %s, sent %.2f s after %s passed on that it leaves", id, r.id, sent[id].Sub(at).Seconds(), name)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	var work sync.WaitGroup
	for i, m := range f.machines {
		work.Go(func() {
			t := transport()
			for n := 0; ctx.Err() == nil; n++ {
				id := fmt.Sprintf("%d/%s", n*10+i, m.name)
				q, err := f.client.newRequest(ctx, m, http.MethodPost, "/log/x", id, "body", 600*time.Millisecond)
				if err != nil {
					return
				}
				mu.Lock()
				sent[id] = time.Now()
				mu.Unlock()
				if resp, err := t.RoundTrip(q); err == nil {
					_, _ = io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
					mu.Lock()
					if _, ok := passedOn[m.name]; !ok && resp.Header.Get(f.names["leaving"]) != "" {
						passedOn[m.name] = time.Now()
						f.record.say("%s passes on that %s leaves", m.name, r.id)
					}
					mu.Unlock()
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	older := f.platform.Copy()
	f.record.say("the store makes a copy")
	if trouble != "0" {
		r.crash()
		time.Sleep(500 * time.Millisecond)
		if err := r.restart("v1"); err != nil {
			cancel()
			return false, err
		}
		if err := f.platform.beat(r); err != nil {
			cancel()
			return false, err
		}
	}
	time.Sleep(1500 * time.Millisecond)
	r.leave()
	time.Sleep(2500 * time.Millisecond)
	if trouble != "0" {
		f.record.say("drill: the store is away")
		f.platform.away.Store(true)
		time.Sleep(awayTime)
		f.platform.Restore(older)
		if err := f.platform.writeConfig(); err != nil {
			cancel()
			return false, err
		}
		f.platform.away.Store(false)
		f.record.say("drill: the store is back; the replicas write their entries again at their next heartbeat")
	}
	time.Sleep(4 * time.Second)
	cancel()
	work.Wait()
	mu.Lock()
	defer mu.Unlock()
	f.record.say("machines that passed on that the replica leaves: %d; requests that reached it too late: %v", len(passedOn), late)
	return len(late) > 0, nil
}
