package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// overspend plays a burst of one account's requests at one instance, and the loss of two instances at the moment at
// which the store comes back from a copy some seconds old.
func overspend(rec *record, trouble bool) (bool, error) {
	const (
		prepaid      = 120_000
		promptTokens = 200
		eventTokens  = 4
		copyAge      = 3 * time.Second
		interval     = 15 * time.Millisecond
	)
	f, err := newFleet(rec, prepaid, "z0", "z1", "z0")
	if err != nil {
		return false, err
	}
	defer f.close()
	for i := range 4 {
		e := &endpoint{fleet: f, id: fmt.Sprint("i-", i), Zone: fmt.Sprint("z", i%2), Software: "1", events: 10, gap: 5 * time.Millisecond}
		if err := e.start(); err != nil {
			return false, err
		}
		e.register()
	}
	if err := f.startAll(f.instances...); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	var senders sync.WaitGroup
	var mu sync.Mutex
	spent, sent := 0, 0
	refusals := map[int]int{}
	play := func(in *instance, d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(interval) {
			mu.Lock()
			sent++
			n := sent
			mu.Unlock()
			senders.Go(func() {
				a := f.send(in, fmt.Sprint("r-", n), "200,40", fmt.Sprintf("aa:150,%x:50", 4096+n))
				mu.Lock()
				defer mu.Unlock()
				if a.status == http.StatusOK {
					spent += promptTokens + a.events*eventTokens
				} else {
					refusals[a.status]++
				}
			})
		}
	}
	total := func() int {
		mu.Lock()
		defer mu.Unlock()
		return spent
	}
	play(f.instances[0], time.Second)
	old := f.store.Copy()
	rec.add("the store's copy is made; spent %d", total())
	play(f.instances[0], copyAge)
	senders.Wait()
	rec.add("spent %d of %d", total(), prepaid)
	f.store.SetDown(true)
	f.kill(f.instances[0])
	f.kill(f.instances[1])
	rec.add("two instances were killed, and the store is away")
	if trouble {
		f.store.Restore(old)
	}
	time.Sleep(500 * time.Millisecond)
	f.store.SetDown(false)
	rec.add("the store is back")
	if err := f.startAll(f.instances[:2]...); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	var players sync.WaitGroup
	for _, in := range f.instances {
		players.Go(func() { play(in, 12*time.Second) })
	}
	players.Wait()
	senders.Wait()
	say(rec, "the account has prepaid %d tokens and has got %d; other answers by status: %v", prepaid, total(), refusals)
	return total() <= prepaid, nil
}
