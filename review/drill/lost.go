package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// lost plays a drill of the store, with a copy from before a second software version served. At the same moment all
// instances are killed, and the endpoints of that version are lost for good. The callers take their streams up afterwards.
// Without trouble the store loses nothing.
func lost(rec *record, trouble bool) (bool, error) {
	const (
		endpointCount = 4 // of each version
		streamCount   = 24
		tokens        = "60,400"
	)
	f, err := newFleet(rec, 50_000_000, "z0", "z1", "z0")
	if err != nil {
		return false, err
	}
	defer f.close()
	var endpoints []*endpoint
	add := func(software string) error {
		i := len(endpoints)
		e := &endpoint{fleet: f, id: fmt.Sprint("i-", i), Zone: fmt.Sprint("z", i%2), Software: software, events: 100, gap: 100 * time.Millisecond}
		if err := e.start(); err != nil {
			return err
		}
		e.register()
		endpoints = append(endpoints, e)
		return nil
	}
	for range endpointCount {
		if err := add("1"); err != nil {
			return false, err
		}
	}
	if err := f.startAll(f.instances...); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	old := f.store.Copy()
	for range endpointCount {
		if err := add("2"); err != nil {
			return false, err
		}
	}
	time.Sleep(1500 * time.Millisecond)
	var callers sync.WaitGroup
	var first, second [streamCount]answer
	parts := func(n int) string { return fmt.Sprintf("a%d:20,%x:40", n, 4096+n) }
	for n := range streamCount {
		callers.Go(func() { first[n] = f.send(f.instances[0], itoa(1000+n), tokens, parts(n)) })
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(time.Second)
	f.store.SetDown(true)
	for _, in := range f.instances {
		f.kill(in)
	}
	for _, e := range endpoints[endpointCount:] {
		e.crash()
		if !trouble {
			f.store.Delete(names.Servers, e.id)
		}
	}
	callers.Wait()
	if trouble {
		f.store.Restore(old)
	}
	time.Sleep(500 * time.Millisecond)
	f.store.SetDown(false)
	if err := f.startAll(f.instances...); err != nil {
		return false, err
	}
	for n := range streamCount {
		callers.Go(func() {
			for try := range 6 {
				id := itoa(2000 + 100*try + n)
				a := f.takeUp(f.instances[n%len(f.instances)], id, tokens, parts(n), itoa(1000+n), first[n].events)
				if a.status == http.StatusOK {
					second[n] = a
					return
				}
				time.Sleep(time.Second)
			}
		})
	}
	callers.Wait()
	mixed, wentOn := 0, 0
	for n, a := range first {
		if second[n].events == 0 {
			continue
		}
		wentOn++
		for software := range second[n].software {
			if a.software[software] == 0 {
				mixed++
			}
		}
	}
	say(rec, "%d of %d streams went on, and %d of them hold events of two software versions; the rule allows 2", wentOn, streamCount, mixed)
	return mixed <= 2, nil
}
