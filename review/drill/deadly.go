package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

// deadly plays requests with a part of a prompt that crashes endpoints before the first event of an answer. They come in
// bursts. Between two of these all instances are killed and start again. Without trouble none is killed.
func deadly(rec *record, trouble bool) (bool, error) { return playDeadly(rec, trouble, true, false) }

// begun plays the same without a kill. The endpoints crash just after the first event of an answer. Without trouble they
// don't crash.
func begun(rec *record, trouble bool) (bool, error) { return playDeadly(rec, trouble, false, true) }

// playDeadly plays bursts of requests with a part of a prompt that crashes endpoints, after the first event if begun is set.
func playDeadly(rec *record, trouble, kills, begun bool) (bool, error) {
	const (
		endpointCount = 12
		backTime      = 3 * time.Second         // from the crash of an endpoint to its return
		expiryTime    = 3600 * time.Millisecond // from the crash to the removal of its entry, three heartbeat intervals
		touchTime     = 3 * time.Second
		badPart       = "bad0bad0"
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
		e := &endpoint{fleet: f, id: id, Zone: zone, Software: "1", events: 10, gap: 20 * time.Millisecond, badPart: badPart, badBegun: begun}
		if begun && !trouble {
			e.badPart = ""
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
	senders.Go(func() { // sound requests, with the same account and first part
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
			senders.Go(func() {
				f.send(f.instances[rand.IntN(len(f.instances))], fmt.Sprint("sound-", n), "600,40", fmt.Sprintf("aa:500,%x:100", 4096+n))
			})
		}
	})
	sent := 0
	sentTo := map[string]*instance{}
	burst := func(count int) {
		for range count {
			sent++
			in := f.instances[rand.IntN(len(f.instances))]
			id := fmt.Sprint("bad-", sent)
			n := sent
			mu.Lock()
			sentTo[id] = in
			mu.Unlock()
			senders.Go(func() { f.send(in, id, "700,40", fmt.Sprintf("aa:500,%s:100,%x:100", badPart, 65536+n)) })
			time.Sleep(400 * time.Millisecond)
		}
	}
	burst(6)
	time.Sleep(5 * time.Second)
	mu.Lock()
	first := len(crashes)
	mu.Unlock()
	if first < 5 && !(begun && !trouble) {
		return false, errors.New("fewer than five endpoints have crashed")
	}
	if trouble && kills {
		for _, in := range f.instances {
			f.kill(in)
		}
		rec.add("all instances were killed")
		time.Sleep(500 * time.Millisecond)
		if err := f.startAll(f.instances...); err != nil {
			return false, err
		}
	}
	time.Sleep(touchTime + 500*time.Millisecond)
	burst(6)
	time.Sleep(4 * time.Second)
	burst(4)
	time.Sleep(2 * time.Second)
	close(stop)
	senders.Wait()
	mu.Lock()
	ended = true
	all := slices.Clone(crashes)
	mu.Unlock()
	late := 0
	for _, a := range seen.list() {
		in := sentTo[a.id]
		if len(all) >= 5 && strings.HasPrefix(a.id, "bad-") && a.at.Sub(all[4]) > touchTime && a.at.Sub(in.startedAt) > touchTime {
			late++
		}
	}
	say(rec, "%d endpoints crashed, %d of them in the first burst; %d requests with the part reached endpoints later than 3 s after the fifth crash, sent by instances that ran for 3 s; the rule allows %d", len(all), first, late, maxLate)
	return late <= maxLate, nil
}
