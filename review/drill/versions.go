package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

// versions plays two endpoints that crash, one after the other, and start again under their IDs and at their addresses with
// another software version. The endpoints have started a short time ago, so that each of their heartbeats changes
// their entries.
func versions(rec *record, trouble bool) (bool, error) {
	endpointZones := []string{"z0", "z0", "z1", "z1"}
	const (
		streamCount = 48
		heartbeat   = 1200 * time.Millisecond
		coldTime    = time.Minute
		downTime    = 400 * time.Millisecond
		nextCrash   = 100 * time.Millisecond // from the return of the first endpoint to the crash of the second one
	)
	f, err := newFleet(rec, 50_000_000, "z0", "z1")
	if err != nil {
		return false, err
	}
	defer f.close()
	var endpoints []*endpoint
	for i := range endpointZones {
		e := &endpoint{fleet: f, id: fmt.Sprint("i-", i), Zone: endpointZones[i], Software: "1", events: 60, gap: 100 * time.Millisecond, ColdLeft: int(coldTime.Milliseconds())}
		if err := e.start(); err != nil {
			return false, err
		}
		e.register()
		endpoints = append(endpoints, e)
	}
	if err := f.startAll(f.instances...); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var senders sync.WaitGroup
	var entries sync.Mutex
	for i, e := range endpoints {
		senders.Go(func() {
			time.Sleep(time.Duration(i) * heartbeat / 4)
			for {
				select {
				case <-stop:
					return
				case <-time.After(heartbeat):
				}
				entries.Lock()
				if e.server != nil {
					e.ColdLeft -= int(heartbeat.Milliseconds())
					e.register()
				}
				entries.Unlock()
			}
		})
	}
	time.Sleep(3 * time.Second)
	in := f.instances[0]
	if a := f.send(in, "999", "6250,240", "aa:2500,bb:3500,fff:250"); !a.whole {
		return false, errors.New("the first stream was not served")
	}
	var mu sync.Mutex
	var answers []answer
	var streams sync.WaitGroup
	for n := range streamCount {
		streams.Go(func() {
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
	upgrade := func(e *endpoint) error {
		entries.Lock()
		e.crash()
		entries.Unlock()
		time.Sleep(downTime)
		entries.Lock()
		defer entries.Unlock()
		e.Software = "2"
		if err := e.start(); err != nil {
			return err
		}
		e.register()
		return nil
	}
	if trouble {
		if err := upgrade(idle); err != nil {
			return false, err
		}
		time.Sleep(nextCrash)
		if err := upgrade(busy); err != nil {
			return false, err
		}
	}
	streams.Wait()
	close(stop)
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
