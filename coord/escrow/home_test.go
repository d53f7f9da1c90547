package escrow

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// zonedPolicy is a policy like those of a deployed fleet: an outage tolerance
// of a few seconds, a minimum target, and a bound on the amount that all shares
// hold.
var zonedPolicy = Policy{OutageTolerance: 5 * time.Second, MinTarget: 2_000, Floor: 200, Fraction: 0.5, EmptyTTL: time.Second}

// newLargeCluster returns a cluster of eight instances in each of two zones,
// whose budget has a home in each zone.
func newLargeCluster(seed uint64) *cluster {
	var zones []string
	for i := range 16 {
		zones = append(zones, fmt.Sprint("zone-", i%2))
	}
	return newZonedCluster(seed, zones, zonedPolicy)
}

// newZonedCluster returns a cluster where in each zone one holder, the home of
// the budget, draws from the ledger for the whole zone.
func newZonedCluster(seed uint64, zones []string, policy Policy) *cluster {
	c := newCluster(seed, zones, policy)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.zoned = true
	for _, p := range c.procs {
		p.holder.Configure(map[string]Policy{testBudget: c.policy})
	}
	return c
}

// TestHomesDrawForTheirZones spends a budget from all instances of a large
// cluster. Only two holders, one in each zone, may draw from the ledger, so the
// store gets few writes. At least 97 % of the budget must be spent.
func TestHomesDrawForTheirZones(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newLargeCluster(1)
		c.topUp("t", 400_000)
		const amount, used, requests = 900, 500, 1000
		for n := range requests {
			c.tasks.Go(func() { c.request(n%16, amount, used, time.Second, 50*time.Millisecond) })
			time.Sleep(10 * time.Millisecond)
		}
		c.tasks.Wait()
		l, _ := c.read()
		if rows := len(l.ShareIDs()); rows > 2 {
			t.Errorf("ledger has %d rows, want at most 2, one for the home of each zone; the share IDs are %v", rows, l.ShareIDs())
		}
		const maxWrites = 60 // in 10 s: a few per second for each of two homes
		if writes := c.writeCount(); writes > maxWrites {
			t.Errorf("store got %d writes for %d requests in 10 s, want at most 60 writes", writes, requests)
		}
		checkSpent(t, c)
	})
}

// TestSharesOfOtherZonesAreSpent spends a budget in one zone after the home of
// each zone has drawn a share. The requests in that zone must also be paid from
// the shares of the homes of the other zones.
func TestSharesOfOtherZonesAreSpent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var zones []string
		for i := range 40 {
			zones = append(zones, fmt.Sprint("zone-", i%4))
		}
		c := newZonedCluster(4, zones, zonedPolicy)
		c.topUp("t", 400_000)
		sendAndWait(c, 200)
		for range 800 {
			c.tasks.Go(func() { c.request(4*int(c.randomBetween(0, 9)), 900, 500, time.Second, 50*time.Millisecond) })
			time.Sleep(10 * time.Millisecond)
		}
		c.tasks.Wait()
		checkSpent(t, c)
	})
}

// TestCrashedHomeIsSkipped crashes the homes of a budget in one zone one after
// another while the other members of the zone serve requests. The next home
// must draw in place of the crashed one, and no request may be refused.
func TestCrashedHomeIsSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newLargeCluster(2)
		c.topUp("t", 1_000_000_000)
		sendAndWait(c, 200)
		for range 3 {
			home := c.homeOf("zone-0")
			c.crash(home)
			refused := c.refused
			sendAndWait(c, 200)
			if c.refused > refused {
				t.Errorf("%d requests were refused after the home entry-%d crashed, want none", c.refused-refused, home)
			}
		}
		if err := c.finish(); err != nil {
			t.Error(err)
		}
		reportViolations(t, c)
	})
}

// TestZoneServesWithoutStore cuts a zone off from the store and from the other
// zone. The home of the budget in the cut-off zone must serve the other members
// of the zone from its share.
func TestZoneServesWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newLargeCluster(3)
		c.topUp("t", 1_000_000)
		sendAndWait(c, 1000)
		time.Sleep(time.Second)
		c.mu.Lock()
		c.cutFromStore["zone-0"] = true
		c.cutLinks[[2]string{"zone-0", "zone-1"}] = true
		c.mu.Unlock()
		refused := c.refused
		sendAndWait(c, 300) // takes 3 s, less than the outage tolerance
		if c.refused > refused {
			t.Errorf("%d requests were refused while the zone was cut off for 3 s, want none", c.refused-refused)
		}
		if err := c.finish(); err != nil {
			t.Error(err)
		}
		reportViolations(t, c)
	})
}

// randomSeeds is the number of seeds that TestHomesUnderRandomFaults runs.
const randomSeeds = 8

// TestHomesUnderRandomFaults starts, crashes, pauses and resumes holders, loses
// and repeats messages, loses replies of the store and disconnects the zones at
// random. Nothing may be overspent, and the holders that are alive at the end
// must return their shares whole.
func TestHomesUnderRandomFaults(t *testing.T) {
	for seed := range uint64(randomSeeds) {
		synctest.Test(t, func(t *testing.T) {
			c := newLargeCluster(seed)
			if seed%2 == 1 {
				c.enableWitnesses()
			}
			c.topUp("t", 300_000)
			var wg sync.WaitGroup
			wg.Go(func() { sendRequests(c, 600) })
			for range 12 {
				i := int(c.randomBetween(0, 15))
				switch c.randomBetween(0, 4) {
				case 0:
					c.resume(i)
					c.crash(i)
				case 1:
					c.pause(i)
				case 2:
					c.resume(i)
					c.startProc(i)
				case 3:
					c.mu.Lock()
					c.messageLoss, c.duplication, c.ackLoss = 0.1, 0.1, 0.1
					c.mu.Unlock()
				case 4:
					c.mu.Lock()
					c.cutLinks[[2]string{"zone-0", "zone-1"}] = !c.cutLinks[[2]string{"zone-0", "zone-1"}]
					c.mu.Unlock()
				}
				time.Sleep(400 * time.Millisecond)
			}
			wg.Wait()
			if err := c.finish(); err != nil {
				t.Errorf("seed %d: closing the live holders after the faults failed: %v", seed, err)
			}
			reportViolations(t, c)
		})
	}
}

// enableWitnesses changes the policy of all holders so that shares have
// witnesses. It must be called before the first request, since existing shares
// would keep their value of Policy.Unwitnessed.
func (c *cluster) enableWitnesses() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.policy.Unwitnessed = 5_000
	for _, p := range c.procs {
		p.holder.Configure(map[string]Policy{testBudget: c.policy})
	}
}

// sendAndWait sends requests as sendRequests does, and waits until all of them
// have ended.
func sendAndWait(c *cluster, requests int) {
	sendRequests(c, requests)
	c.tasks.Wait()
}

// sendRequests sends requests to all instances in turn, one every 10 ms. A
// request for a crashed instance goes to the next one.
func sendRequests(c *cluster, requests int) {
	for n := range requests {
		i := n % len(c.zones)
		if c.isDead(c.proc(i)) {
			i = (i + 1) % len(c.zones)
		}
		c.tasks.Go(func() { c.request(i, 900, 500, time.Second, 50*time.Millisecond) })
		time.Sleep(10 * time.Millisecond)
	}
}

// homeOf returns the number of the instance that is the home of the budget in a
// zone, -1 if there is none.
func (c *cluster) homeOf(zone string) int {
	for i := range c.zones {
		if p := c.proc(i); p.zone == zone && !c.isDead(p) && p.holder.Draws(testBudget) {
			return i
		}
	}
	return -1
}

// checkSpent fails the test unless at least 97 % of the budget is spent, and
// finishes the cluster. The requests before it must have asked for more than
// the budget had.
func checkSpent(t *testing.T, c *cluster) {
	t.Helper()
	if spent := c.actual.used; spent < 97*c.central.paid/100 {
		t.Errorf("requests spent %d of the %d paid in, want at least 97 %%; %d requests were refused, %d of them falsely", spent, c.central.paid, c.refused, c.falseRefusals)
	}
	if err := c.finish(); err != nil {
		t.Error(err)
	}
	reportViolations(t, c)
}

// reportViolations fails the test with each violation that the cluster
// recorded.
func reportViolations(t *testing.T, c *cluster) {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, err := range c.violations {
		t.Error(err)
	}
}

// TestDeniedReservationIsNotRetriedAtOnce reserves an amount that the home of
// the budget has denied within denialTTL, although the home reported a moment
// before that more was available. Without a pause between its attempts, the reservation would
// repeat them in a busy loop.
func TestDeniedReservationIsNotRetriedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := NewHolder("entry-0/1", Store{}, Peers{}, nil)
		s := h.Share(testBudget, zonedPolicy)
		now := time.Now()
		s.noteDenial(900, now)
		s.mu.Lock()
		s.sync.free, s.sync.readAt = 100_000, now
		s.mu.Unlock()
		if _, retry, err := h.tryReserve(t.Context(), s, ReserveRequest{Amount: 900}, now.Add(time.Second)); retry && time.Since(now) == 0 {
			t.Errorf("tryReserve of an amount that the home has just denied: got error %v and a retry without a pause, want a pause before the retry", err)
		}
	})
}

// TestStoreIsAskedAgainAfterSuccessfulRead reserves after a call to the store
// failed and a later one succeeded. The store must be called again. If the
// failure prevented that call while the later reading still counts as valid,
// the reservation would be retried at once without a call.
func TestStoreIsAskedAgainAfterSuccessfulRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls := 0
		h := NewHolder("entry-0/1", Store{Update: func(context.Context, string, func(*Ledger) (bool, error)) error {
			calls++
			return errNoReply
		}}, Peers{}, nil)
		s := h.Share(testBudget, zonedPolicy)
		now := time.Now()
		s.mu.Lock()
		s.sync.free, s.sync.failedAt, s.sync.readAt = 100_000, now.Add(-10*time.Millisecond), now
		s.mu.Unlock()
		if _, retry, err := h.tryReserve(t.Context(), s, ReserveRequest{Amount: 900}, now.Add(time.Second)); retry && calls == 0 {
			t.Errorf("tryReserve failed with %v and asks for a retry without having called the store, want a call", err)
		}
	})
}

// While neither the store nor any peer can provide an amount, reservations in quick succession
// are refused without a request to all peers for each of them.
func TestOutageDoesNotMakeEachReservationAskAllPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const reservations, interval = 400, 5 * time.Millisecond
		for _, members := range [][]string{nil, {"self/1", "p0/1", "p1/1", "p2/1"}} {
			var peers []string
			for i := range 2 * maxPeersAsked {
				peers = append(peers, fmt.Sprintf("p%d/1", i))
			}
			requests := 0
			h := NewHolder("self/1", Store{
				Read:  func(context.Context, string) (*Ledger, int64, error) { return nil, 0, ErrUnreachable },
				Write: func(context.Context, string, int64, *Ledger) error { return ErrUnreachable },
			}, Peers{
				Live:        func() []string { return peers },
				ZoneMembers: func() []string { return members },
				Request: func(context.Context, string, TransferRequest) (TransferReply, error) {
					requests++
					return TransferReply{Err: ErrUnreachable}, nil
				},
			}, func(err error) { t.Error(err) })
			for n := range reservations {
				if _, err := h.Reserve(t.Context(), "b", Policy{}, ReserveRequest{Amount: 1000 + int64(n%7)}); !errors.Is(err, ErrUnreachable) {
					t.Fatalf("reservation %d failed with %v, want ErrUnreachable", n, err)
				}
				time.Sleep(interval)
			}
			rounds := int(reservations*interval/unreachableTTL) + 1
			// In each round a few amounts are tried, each smaller than the one before.
			if most := 3 * rounds * (maxPeersAsked + 2); requests > most {
				t.Errorf("%d reservations made %d requests to peers, want at most %d", reservations, requests, most)
			}
		}
	})
}
