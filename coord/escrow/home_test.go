package escrow

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// zonedPolicy is a policy like that of a fleet: enough for seconds, and a start.
var zonedPolicy = Policy{OutageTolerance: 5 * time.Second, MinTarget: 2_000, Floor: 200, Fraction: 0.5, EmptyTTL: time.Second}

// newLargeCluster is a fleet of eight in each of two zones.
func newLargeCluster(seed uint64) *cluster {
	var zones []string
	for i := range 16 {
		zones = append(zones, fmt.Sprint("zone-", i%2))
	}
	return newZonedCluster(seed, zones)
}

// newZonedCluster is a fleet where one holder in each zone draws.
func newZonedCluster(seed uint64, zones []string) *cluster {
	w := newCluster(seed, zones, zonedPolicy)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.zoned = true
	for _, p := range w.procs {
		p.holder.Configure(map[string]Policy{testBudget: w.policy})
	}
	return w
}

// TestHomesDrawForTheirZones spends from all of a large fleet. Two holders draw, one
// in each zone, so the platform sees few writes, and all of the budget can be
// spent but for crumbs.
func TestHomesDrawForTheirZones(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newLargeCluster(1)
		w.topUp("t", 400_000)
		const bound, used, requests = 900, 500, 1000
		for n := range requests {
			w.open.Go(func() { w.request(n%16, bound, used, time.Second, 50*time.Millisecond) })
			time.Sleep(10 * time.Millisecond)
		}
		w.open.Wait()
		b, _ := w.read()
		if rows := len(b.ShareIDs()); rows > 2 {
			t.Errorf("%d holders have a row, want one in each zone: %v", rows, b.ShareIDs())
		}
		const mostWrites = 60 // over 10 s: two homes, a few a second each
		if w.writes > mostWrites {
			t.Errorf("%d writes for %d requests", w.writes, requests)
		}
		checkSpent(t, w)
	})
}

// TestLeftoverOfOtherZonesIsFound spends a budget in one zone, after each home drew
// its part. What the other zones' homes hold is spent as well.
func TestLeftoverOfOtherZonesIsFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var zones []string
		for i := range 40 {
			zones = append(zones, fmt.Sprint("zone-", i%4))
		}
		w := newZonedCluster(4, zones)
		w.topUp("t", 400_000)
		serve(w, 200)
		for range 800 {
			w.open.Go(func() { w.request(4*int(w.between(0, 9)), 900, 500, time.Second, 50*time.Millisecond) })
			time.Sleep(10 * time.Millisecond)
		}
		w.open.Wait()
		checkSpent(t, w)
	})
}

// TestHomeIsPassedOver kills a budget's homes one after another while their mates
// serve. The next one draws, and nobody who asks then is refused.
func TestHomeIsPassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newLargeCluster(2)
		w.topUp("t", 1_000_000_000)
		serve(w, 200)
		for range 3 {
			home := w.homeOf("zone-0")
			w.crash(home)
			refused := w.refused
			serve(w, 200)
			if w.refused > refused {
				t.Errorf("%d requests were refused after entry-%d died", w.refused-refused, home)
			}
		}
		if err := w.finish(); err != nil {
			t.Error(err)
		}
		check(t, w)
	})
}

// TestZoneServesWithoutItsPlatform cuts a zone off from the platform and the other
// zone. What its home holds serves its mates.
func TestZoneServesWithoutItsPlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newLargeCluster(3)
		w.topUp("t", 1_000_000)
		serve(w, 1000)
		time.Sleep(time.Second)
		w.mu.Lock()
		w.cutFromStore["zone-0"] = true
		w.cutLinks[[2]string{"zone-0", "zone-1"}] = true
		w.mu.Unlock()
		refused := w.refused
		serve(w, 300) // for 3 s, shorter than shares endure
		if w.refused > refused {
			t.Errorf("%d requests were refused in a cut of 3 s", w.refused-refused)
		}
		if err := w.finish(); err != nil {
			t.Error(err)
		}
		check(t, w)
	})
}

// randomSeeds is how many worlds of faults are played.
const randomSeeds = 8

// TestHomeComesAndGoes lets holders join, leave, freeze and lose messages at random.
// Nothing is overspent, and planned stops leave nothing behind.
func TestHomeComesAndGoes(t *testing.T) {
	for seed := range uint64(randomSeeds) {
		synctest.Test(t, func(t *testing.T) {
			w := newLargeCluster(seed)
			if seed%2 == 1 {
				w.enableWitnesses()
			}
			w.topUp("t", 300_000)
			var work sync.WaitGroup
			work.Go(func() { send(w, 600) })
			for range 12 {
				i := int(w.between(0, 15))
				switch w.between(0, 4) {
				case 0:
					w.wake(i)
					w.crash(i)
				case 1:
					w.pause(i)
				case 2:
					w.wake(i)
					w.startProc(i)
				case 3:
					w.mu.Lock()
					w.messageLoss, w.duplication, w.ackLoss = 0.1, 0.1, 0.1
					w.mu.Unlock()
				case 4:
					w.mu.Lock()
					w.cutLinks[[2]string{"zone-0", "zone-1"}] = !w.cutLinks[[2]string{"zone-0", "zone-1"}]
					w.mu.Unlock()
				}
				time.Sleep(400 * time.Millisecond)
			}
			work.Wait()
			if err := w.finish(); err != nil {
				t.Errorf("seed %d: %v", seed, err)
			}
			check(t, w)
		})
	}
}

// enableWitnesses lets witnesses watch all shares.
func (w *cluster) enableWitnesses() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.policy.Unwitnessed = 5_000
	for _, p := range w.procs {
		p.holder.Configure(map[string]Policy{testBudget: w.policy})
	}
}

// serve sends requests and waits until they have ended.
func serve(w *cluster, requests int) {
	send(w, requests)
	w.open.Wait()
}

// send sends requests to all live instances in turn, one every 10 ms.
func send(w *cluster, requests int) {
	for n := range requests {
		i := n % len(w.procs)
		if w.isDead(w.procs[i]) {
			i = (i + 1) % len(w.procs)
		}
		w.open.Go(func() { w.request(i, 900, 500, time.Second, 50*time.Millisecond) })
		time.Sleep(10 * time.Millisecond)
	}
}

// homeOf returns the instance that draws for a zone.
func (w *cluster) homeOf(zone string) int {
	for i, p := range w.procs {
		if p.zone == zone && !w.isDead(p) && p.holder.Draws(testBudget) {
			return i
		}
	}
	return -1
}

// checkSpent ends a world whose budget was asked for more than it had: no more than
// 3 in 100 may be left.
func checkSpent(t *testing.T, w *cluster) {
	t.Helper()
	if spent := w.actual.used; spent < 97*w.central.paid/100 {
		t.Errorf("%d of %d could be spent; %d refused, %d falsely", spent, w.central.paid, w.refused, w.falseRefusals)
	}
	if err := w.finish(); err != nil {
		t.Error(err)
	}
	check(t, w)
}

// check reports what the world saw go wrong.
func check(t *testing.T, w *cluster) {
	t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, err := range w.violations {
		t.Error(err)
	}
}

// TestDenialIsNotAskedAgainAtOnce reserves while a home's denial holds, though the
// home had said a moment before that there was much.
func TestDenialIsNotAskedAgainAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := NewHolder("entry-0/1", Store{}, Peers{}, nil)
		s := h.Share(testBudget, zonedPolicy)
		now := time.Now()
		s.noteDenial(900, now)
		s.mu.Lock()
		s.sync.free, s.sync.readAt = 100_000, now
		s.mu.Unlock()
		if _, again, err := h.tryReserve(t.Context(), s, ReserveRequest{Amount: 900}, now.Add(time.Second)); again && time.Since(now) == 0 {
			t.Errorf("asked again without a pause after %v", err)
		}
	})
}

// TestReadingEndsAway reserves after a call to the platform that failed was followed by
// one that did not. The platform is asked again, not passed over and yet believed.
func TestReadingEndsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		asked := 0
		h := NewHolder("entry-0/1", Store{Update: func(context.Context, string, func(*Ledger) (bool, error)) error {
			asked++
			return errNoReply
		}}, Peers{}, nil)
		s := h.Share(testBudget, zonedPolicy)
		now := time.Now()
		s.mu.Lock()
		s.sync.free, s.sync.failedAt, s.sync.readAt = 100_000, now.Add(-10*time.Millisecond), now
		s.mu.Unlock()
		if _, again, err := h.tryReserve(t.Context(), s, ReserveRequest{Amount: 900}, now.Add(time.Second)); again && asked == 0 {
			t.Errorf("asked nobody, and would try again at once after %v", err)
		}
	})
}
