package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

// late plays one request that comes again and again, and that crashes each endpoint of a plain service half a second
// after this has begun to run it.
func late(rec *record, trouble bool) (bool, error) {
	const (
		endpointCount = 8
		backTime      = 3 * time.Second         // from the crash of an endpoint to its return
		expiryTime    = 3600 * time.Millisecond // from the crash to the removal of its entry, three heartbeat intervals
		touchTime     = 3 * time.Second
		again         = 2 * time.Second // between two requests
		requests      = 10
		path          = "bad"
		maxLate       = 3
	)
	f, err := newFleet(rec, 500_000_000, "z0", "z1", "z0")
	if err != nil {
		return false, err
	}
	defer f.close()
	var mu sync.Mutex
	var crashes []time.Time
	ended := false
	starts := 0
	var add func(zone string) error
	add = func(zone string) error {
		mu.Lock()
		starts++
		id := fmt.Sprint("i-", starts)
		mu.Unlock()
		e := &endpoint{fleet: f, id: id, Service: "desk", Slots: 6, Zone: zone, Software: "1"}
		if trouble {
			e.badPart = path
		}
		e.crashed = func(e *endpoint) {
			mu.Lock()
			defer mu.Unlock()
			crashes = append(crashes, time.Now())
			time.AfterFunc(expiryTime, func() { f.store.Delete(names.Servers, e.id) })
			time.AfterFunc(backTime, func() {
				mu.Lock()
				over := ended
				mu.Unlock()
				if over {
					return
				}
				if err := add(zone); err != nil {
					rec.add("endpoint: %v", err)
				}
			})
		}
		if err := e.start(); err != nil {
			return err
		}
		e.register()
		return nil
	}
	for i := range endpointCount {
		if err := add(fmt.Sprint("z", i%2)); err != nil {
			return false, err
		}
	}
	if err := f.startAll(f.instances...); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	var senders sync.WaitGroup
	senders.Go(func() { // sound requests
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
			senders.Go(func() { f.look(f.instances[rand.IntN(len(f.instances))], fmt.Sprint("sound-", n), fmt.Sprint("c", n)) })
		}
	})
	for n := range requests {
		senders.Go(func() { f.look(f.instances[rand.IntN(len(f.instances))], fmt.Sprint("bad-", n), path) })
		time.Sleep(again)
	}
	close(stop)
	senders.Wait()
	mu.Lock()
	ended = true
	all := slices.Clone(crashes)
	mu.Unlock()
	count := 0
	for _, a := range seen.list() {
		if len(all) >= 3 && strings.HasPrefix(a.id, "bad-") && a.at.Sub(all[2]) > touchTime {
			count++
		}
	}
	say(rec, "%d endpoints crashed; the request reached endpoints %d times later than 3 s after it had crashed the third; the rule allows %d retries", len(all), count, maxLate)
	return count <= maxLate, nil
}
