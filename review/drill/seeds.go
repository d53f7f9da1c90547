package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// seeds plays an instance that starts while the seeds in its settings are stale. Later its settings name living ones.
// Then an endpoint in need names the rate of requests that it takes from all instances together.
func seeds(rec *record, trouble bool) (bool, error) {
	const (
		seedLag   = 3 * time.Second // until the settings name living seeds
		touchTime = 3 * time.Second
		limit     = 25.0
		window    = 4 * time.Second
		playTime  = 20 * time.Second
		interval  = 12 * time.Millisecond // between two requests, half of which go to the last instance
	)
	f, err := newFleet(rec, 500_000_000, "z0", "z1", "z0", "z1")
	if err != nil {
		return false, err
	}
	defer f.close()
	e := &endpoint{fleet: f, id: "i-0", Zone: "z0", Software: "1", events: 2, gap: 5 * time.Millisecond}
	if err := e.start(); err != nil {
		return false, err
	}
	e.register()
	last := f.instances[3]
	living := last.Seeds
	if err := f.startAll(f.instances[:3]...); err != nil {
		return false, err
	}
	if trouble {
		stale, err := freeAddresses(3)
		if err != nil {
			return false, err
		}
		last.Seeds = stale
		if err := last.writeSettings(); err != nil {
			return false, err
		}
		rec.add("%s starts with stale seeds", last.Name)
	}
	if err := f.startAll(last); err != nil {
		return false, err
	}
	time.Sleep(seedLag)
	last.Seeds = living
	if err := last.writeSettings(); err != nil {
		return false, err
	}
	if err := last.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		return false, err
	}
	rec.add("the settings of %s name living seeds, and it got SIGHUP", last.Name)
	time.Sleep(10 * time.Second)
	e.mu.Lock()
	e.limit = fmt.Sprint(limit)
	e.mu.Unlock()
	named := time.Now()
	rec.add("endpoint %s names the limit %v a second", e.id, limit)
	var senders sync.WaitGroup
	for n, end := 0, named.Add(playTime); time.Now().Before(end); n++ {
		in := last
		if n%2 == 0 {
			in = f.instances[rand.IntN(3)]
		}
		senders.Go(func() { f.send(in, fmt.Sprint("r-", n), "20,8", fmt.Sprintf("aa:10,%x:10", 4096+n)) })
		time.Sleep(interval)
	}
	senders.Wait()
	var times []time.Time
	for _, a := range seen.list() {
		if a.at.Sub(named) > touchTime {
			times = append(times, a.at)
		}
	}
	most := 0
	for i, first := 0, 0; i < len(times); i++ {
		for times[i].Sub(times[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	allowed := int(1.5*limit*window.Seconds()) + 5
	say(rec, "the endpoint got %d requests in some 4 s, of %d in all; the rule allows %d", most, len(times), allowed)
	return most <= allowed, nil
}
