package escrow

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// Demand and budget of TestKilledProcessesStrandLittle: the whole budget would last
// killBudgetTime at the demand of the requests, and killSpent of it is spent already.
const (
	killRate       = 50_000 // micro-units per second that sendRequests uses
	killBudgetTime = 10 * time.Minute
	killPaid       = int64(killRate * killBudgetTime / time.Second)
	killSpent      = killPaid * 70 / 100
	maxStranded    = 0.03 // fraction of the budget
)

// killPolicy is a policy like that of a deployed fleet in which the given number of
// processes draw from the ledger.
func killPolicy(drawing int) Policy {
	return Policy{
		OutageTolerance: 9 * time.Second, MinTarget: killPaid * 3 / 100 / int64(drawing),
		Floor: killPaid / 1000, Fraction: 0.5, EmptyTTL: time.Second,
	}
}

// newKillCluster returns a cluster of five instances that each draw from the ledger, or
// of 27 in three zones with homes. Of its budget killSpent is spent.
func newKillCluster(instances int) *cluster {
	var c *cluster
	if instances == len(testZones) {
		c = newCluster(1, testZones, killPolicy(instances))
	} else {
		var zones []string
		for i := range instances {
			zones = append(zones, fmt.Sprint("zone-", i%3))
		}
		c = newZonedCluster(1, zones, killPolicy(3))
	}
	c.topUp("start", killPaid)
	l, version := c.read()
	l.spent = killSpent
	if err := c.write(version, l); err != nil {
		panic(err)
	}
	c.actual.used, c.central.used = killSpent, killSpent
	return c
}

// held returns what the processes of the given instances hold, which is stranded if
// they are killed now.
func (c *cluster) held(instances []int) int64 {
	var sum int64
	for _, i := range instances {
		for _, s := range c.proc(i).holder.Shares() {
			stats := s.Stats()
			sum += stats.Idle() + stats.Reserved()
		}
	}
	return sum
}

// instancesIn returns the numbers of the instances in a zone, of all for the empty zone.
func (c *cluster) instancesIn(zone string) []int {
	var found []int
	for i, z := range c.zones {
		if zone == "" || z == zone {
			found = append(found, i)
		}
	}
	return found
}

// killPlay says which processes are killed.
type killPlay struct {
	name      string
	storeAway bool // the store is away from 3 s before the kill until 1 s after the return
	oneZone   bool // one zone is killed, for good; otherwise all zones are, and return after 1 s
}

var killPlays = []killPlay{
	{name: "all"},
	{name: "all while the store is away", storeAway: true},
	{name: "one zone for good", oneZone: true},
}

// TestKilledProcessesStrandLittle kills all processes, or all of a zone, near the end of
// a budget. What they held must be at most maxStranded of the budget, nothing may be
// overspent, and no request may be refused from 2 s after the return of the processes,
// since the budget still has enough for all.
func TestKilledProcessesStrandLittle(t *testing.T) {
	for _, instances := range []int{len(testZones), 27} {
		for _, play := range killPlays {
			t.Run(fmt.Sprint(instances, " instances, ", play.name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { play.run(t, newKillCluster(instances)) })
			})
		}
	}
}

// run plays p on c and checks the result.
func (p killPlay) run(t *testing.T, c *cluster) {
	sendRequests(c, 4_000) // 40 s
	if p.storeAway {
		c.setStoreDown(true)
		sendRequests(c, 300)
	}
	victims := c.instancesIn("")
	if p.oneZone {
		victims = c.instancesIn(c.zones[0])
	}
	stranded := float64(c.held(victims)) / float64(killPaid)
	for _, i := range victims {
		c.crash(i)
	}
	time.Sleep(time.Second)
	if !p.oneZone {
		for _, i := range victims {
			c.startProc(i)
		}
	}
	sendRequests(c, 100)
	c.setStoreDown(false)
	sendRequests(c, 100)
	c.tasks.Wait()
	refused := c.refused
	sendAndWait(c, 500)
	t.Logf("stranded %.2f %% of the budget, overspent %d, %d requests refused before 2 s after the return, %d later", 100*stranded, max(c.actual.used-c.central.paid, 0), refused, c.refused-refused)
	if stranded > maxStranded {
		t.Errorf("the killed processes held %.2f %% of the budget, want at most %.0f %%", 100*stranded, 100*maxStranded)
	}
	if c.refused > refused {
		t.Errorf("%d requests were refused from 2 s after the return on, want none", c.refused-refused)
	}
	if err := c.finish(); err != nil {
		t.Error(err)
	}
	reportViolations(t, c)
}

// TestKillsInSeriesStrandLess kills all processes twice. The second kill must strand less
// than half of the first one. Later, without a further kill, the shares must last for the
// whole outage tolerance again.
func TestKillsInSeriesStrandLess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		policy := killPolicy(len(testZones))
		policy.MinTarget, policy.ToleranceAfterKill = 1, 3*time.Second
		c := newCluster(1, testZones, policy)
		c.topUp("start", killPaid)
		all := c.instancesIn("")
		sendRequests(c, 3_000)
		first := c.held(all)
		for _, i := range all {
			c.crash(i)
			c.startProc(i)
		}
		sendRequests(c, 1_000)
		if second := c.held(all); second > first/2 {
			t.Errorf("a second kill 10 s after the first would strand %d, want at most half of the %d of the first", second, first)
		}
		sendRequests(c, 4_000)
		if later := c.held(all); later < first*3/4 {
			t.Errorf("50 s after a kill the shares hold %d, want at least three quarters of the %d before it", later, first)
		}
		if err := c.finish(); err != nil {
			t.Error(err)
		}
		reportViolations(t, c)
	})
}

// setStoreDown makes the store fail all calls, or serve them again.
func (c *cluster) setStoreDown(down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storeDown = down
}

// When a new process of an instance writes its row, the amount that the crashed
// earlier process of that instance held counts as spent, and the row of the
// earlier process is removed. So that row no longer counts when the unspent
// budget is divided among the open rows.
func TestPredecessorRowsAreWrittenOff(t *testing.T) {
	l := NewLedger("account")
	if _, err := l.RaisePaid(1000); err != nil {
		t.Fatal(err)
	}
	l.draw("a/1/1", 400, 0, fairness{})
	l.draw("b/1/1", 100, 0, fairness{})
	l.writeOffPredecessors("a/2")
	if l.Row("a/1/1") != nil || l.Spent() != 400 {
		t.Errorf("writeOffPredecessors left the row of the earlier process a/1, or the ledger records %d as spent; want no row and 400 spent", l.Spent())
	}
	if got := l.Row("b/1/1").State(); got != Open {
		t.Errorf("writeOffPredecessors of instance a left the row of instance b in state %q, want open", got)
	}
	if got := l.Free(); got != 500 {
		t.Errorf("ledger with 1000 paid in has %d free after 400 were written off and 100 granted, want 500", got)
	}
	if got := l.draw("a/2/1", 0, 1000, fairness{}); got != 300 {
		t.Errorf("draw of up to 1000 by the second open share granted %d, want 300: half of the 600 that are free or idle", got)
	}
}

// TestWriteOffIsReportedOnce crashes a process and starts its instance again. The
// next process of the instance must report once what the crashed one held.
func TestWriteOffIsReportedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(1, testZones, Policy{OutageTolerance: time.Minute})
		c.topUp("start", 100_000)
		c.request(0, 100, 60, time.Second, time.Millisecond)
		share := c.proc(0).name + "/1"
		l, _ := c.read()
		held, idle := l.Row(share).outstanding(), l.Row(share).Idle()
		c.crash(0)
		c.startProc(0)
		for range 3 {
			c.request(0, 100, 60, time.Second, time.Millisecond)
		}
		if err := c.finish(); err != nil {
			t.Error(err)
		}
		if len(c.writtenOff) != 1 || c.writtenOff[0].Share != share || c.writtenOff[0].Outstanding != held || c.writtenOff[0].Idle != idle {
			t.Errorf("reported write-offs are %+v, want one of the share %s with %d outstanding and %d idle", c.writtenOff, share, held, idle)
		}
	})
}
