package escrow

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestGrantThatTheStoreLostIsRecordedAgain makes the store return to a copy without the
// last grants of a holder. The next write of its row must record them again, so that no
// other holder draws them once more.
func TestGrantThatTheStoreLostIsRecordedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(1, testZones, zonedPolicy)
		c.topUp("start", 1_000_000)
		c.request(0, 100, 60, time.Second, time.Millisecond)
		c.mu.Lock()
		older := c.data
		c.mu.Unlock()
		for range 40 {
			c.request(0, 4_000, 4_000, time.Second, 100*time.Millisecond)
		}
		share := c.proc(0).name + "/1"
		before, _ := c.read()
		c.mu.Lock()
		c.data = older
		c.version++
		c.mu.Unlock()
		c.request(0, 30_000, 30_000, time.Second, time.Millisecond)
		time.Sleep(time.Second)
		after, _ := c.read()
		if got, want := after.Row(share).Granted(), before.Row(share).Granted(); got < want {
			t.Errorf("the ledger has %d as granted to %s after the store lost its last grants, want at least the %d granted before", got, share, want)
		}
		if err := c.finish(); err != nil {
			t.Error(err)
		}
		if l, _ := c.read(); l.Spent() != c.actual.used {
			t.Errorf("the ledger records %d as spent after all holders closed, want the %d that were used", l.Spent(), c.actual.used)
		}
	})
}
