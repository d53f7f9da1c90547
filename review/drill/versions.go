package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

// versions plays an upgrade of two endpoints, each of which ends and starts again under its ID and at its address
// with another software version, while the store does not answer.
func versions(rec *record, trouble bool) (bool, error) {
	endpointZones := []string{"z0", "z0", "z1", "z1"}
	const (
		streamCount = 48
		silentTime  = 4500 * time.Millisecond
	)
	f, err := newFleet(rec, 50_000_000, "z0", "z1")
	if err != nil {
		return false, err
	}
	defer f.close()
	var endpoints []*endpoint
	for i := range endpointZones {
		e := &endpoint{fleet: f, id: fmt.Sprint("i-", i), Zone: endpointZones[i], Software: "1", events: 60, gap: 100 * time.Millisecond}
		if err := e.start(); err != nil {
			return false, err
		}
		e.register()
		endpoints = append(endpoints, e)
	}
	if err := f.startAll(f.instances...); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	in := f.instances[0]
	if a := f.send(in, "999", "6250,240", "aa:2500,bb:3500,fff:250"); !a.whole {
		return false, errors.New("the first stream was not served")
	}
	var senders sync.WaitGroup
	var mu sync.Mutex
	var answers []answer
	for n := range streamCount {
		senders.Go(func() {
			a := f.send(in, itoa(1000+n), "6250,240", fmt.Sprintf("aa:2500,bb:3500,%x:250", 4096+n))
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, a)
		})
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	var busy, idle *endpoint
	for _, e := range endpoints {
		rec.add("endpoint %s has %d streams", e.id, e.open())
		switch {
		case busy == nil || e.open() > busy.open():
			busy = e
		case e.open() == 0:
			idle = e
		}
	}
	if idle == nil || busy.open() < 20 {
		return false, errors.New("the streams are not where the case needs them")
	}
	if trouble {
		rec.add("the store falls silent")
		f.storePath.SetMode(stall)
	}
	time.Sleep(100 * time.Millisecond)
	upgrade := func(e *endpoint, down time.Duration) error {
		e.crash()
		time.Sleep(down)
		e.Software = "2"
		if err := e.start(); err != nil {
			return err
		}
		if !trouble {
			e.register()
			return nil
		}
		return nil
	}
	if err := upgrade(idle, 400*time.Millisecond); err != nil {
		return false, err
	}
	time.Sleep(300 * time.Millisecond)
	if err := upgrade(busy, 400*time.Millisecond); err != nil {
		return false, err
	}
	time.Sleep(silentTime - 1200*time.Millisecond)
	if trouble {
		f.storePath.SetMode(pass)
		rec.add("the store answers again")
		idle.register()
		busy.register()
	}
	senders.Wait()
	mixed := 0
	for _, a := range answers {
		if len(a.software) > 1 {
			mixed++
		}
	}
	say(rec, "%d of %d streams hold events of two software versions; the rule allows 2", mixed, len(answers))
	return mixed <= 2, nil
}
