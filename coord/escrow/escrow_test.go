package escrow

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/cockroachdb/errors"
)

// TestLedger runs each script in testdata/book against a new ledger.
func TestLedger(t *testing.T) {
	datadriven.Walk(t, "testdata/book", func(t *testing.T, file string) {
		l := NewLedger("account")
		datadriven.RunTest(t, file, func(t *testing.T, d *datadriven.TestData) string {
			number := func(name string) int64 {
				var text string
				d.ScanArgs(t, name, &text)
				n, err := strconv.ParseInt(text, 10, 64)
				if err != nil {
					d.Fatalf(t, "%v", err)
				}
				return n
			}
			var id string
			d.ScanArgs(t, "id", &id)
			result := "ok"
			switch d.Cmd {
			case "topup":
				if err := l.TopUp(id, number("amount")); err != nil {
					result = err.Error()
				}
			case "draw":
				result = fmt.Sprint("granted ", l.draw(id, number("need"), number("want"), fairness{}))
			case "seal":
				result = fmt.Sprint("won ", l.seal(id, number("bound")))
			case "close":
				r := l.rowFor(id)
				r.fields.Used = number("used")
				r.fields.Returned, r.fields.State = r.fields.Granted-r.fields.Used, Closed
				l.touch(r)
				l.prune()
			case "attest":
				if err := l.ForceClose(id, number("spent")); err != nil {
					result = err.Error()
				}
			case "write":
				l.touch(l.rowFor(id))
				l.prune()
			default:
				d.Fatalf(t, "unknown command %s", d.Cmd)
			}
			if err := l.Check(); err != nil {
				return err.Error()
			}
			return fmt.Sprintf("%s\npaid %d spent %d free %d rows %d", result, l.Paid(), l.Spent(), l.Free(), len(l.ShareIDs()))
		})
	})
}

// When a collector turns a reservation into a transfer, it may add only what
// the share has available besides the reservation.
func TestTransferHoldIsBoundedByAvailable(t *testing.T) {
	s := NewShare("b", "p/1/1", func(err error) { t.Error(err) })
	s.sync.policy = Policy{Floor: 1}
	s.granted = 1000
	h, ok := s.Reserve(1000)
	if !ok {
		t.Fatal("Reserve(1000) failed with 1000 granted")
	}
	if tr := s.transferHold(h, "q/1/1", 5000); tr.Total != 1000 {
		t.Errorf("transferred %d, want 1000", tr.Total)
	}
}

// A holder that closes with an open reservation returns all but the reserved
// amount.
func TestCloseReturnsIdlePart(t *testing.T) {
	ledger := NewLedger("account")
	if _, err := ledger.RaisePaid(1000); err != nil {
		t.Fatal(err)
	}
	h := NewHolder("a/1", Store{
		Read:  func(context.Context, string) (*Ledger, int64, error) { return ledger, 1, nil },
		Write: func(_ context.Context, _ string, _ int64, l *Ledger) error { ledger = l; return nil },
	}, Peers{}, func(err error) { t.Error(err) })
	hold, err := h.Reserve(t.Context(), "b", Policy{MinTarget: 800, Fraction: 1}, ReserveRequest{Amount: 100})
	if err != nil {
		t.Fatal(err)
	}
	if err := h.Close(t.Context()); err == nil {
		t.Error("Close reported no error with an open reservation")
	}
	if got := ledger.Free(); got != 900 {
		t.Errorf("%d free after the close, want 900", got)
	}
	hold.Settle(100)
	if err := ledger.Check(); err != nil {
		t.Error(err)
	}
}

// A share far above its target returns the excess with its next write, and the
// excess alone is reason enough to write the row.
func TestExcessIsReturned(t *testing.T) {
	s := NewShare("b", "p/1/1", func(err error) { t.Error(err) })
	s.sync.policy = Policy{MinTarget: 100, Fraction: 0.5}
	l := NewLedger("account")
	if _, err := l.RaisePaid(10_000); err != nil {
		t.Fatal(err)
	}
	s.granted = l.draw(s.id, 1000, 0, fairness{})
	if !s.editRow(l, 0, refillRow, func(string) bool { return true }) {
		t.Fatal("editRow reports no change worth a write")
	}
	if got := l.Row(s.id).Returned(); got != 900 {
		t.Errorf("returned %d of 900", got)
	}
}

// An excess must be written to the row again when the edit is repeated on a
// newly read ledger, after a conflict or for an older reading: the share has
// already deducted it.
func TestExcessIsReturnedOnRetry(t *testing.T) {
	s := NewShare("b", "p/1/1", func(err error) { t.Error(err) })
	s.sync.policy = Policy{MinTarget: 100, Fraction: 0.5}
	newLedger := func() *Ledger {
		l := NewLedger("account")
		if _, err := l.RaisePaid(10_000); err != nil {
			t.Fatal(err)
		}
		s.granted = l.draw(s.id, 1000, 0, fairness{})
		return l
	}
	allLive := func(string) bool { return true }
	if !s.editRow(newLedger(), 0, refillRow, allLive) {
		t.Fatal("editRow reports no change worth a write")
	}
	retried := newLedger()
	if !s.editRow(retried, 0, refillRow, allLive) || retried.Row(s.id).Returned() != 900 {
		t.Errorf("second edit returned %d, want 900", retried.Row(s.id).Returned())
	}
}

// A share that got nothing because the ledger has nothing free has no row. It
// must not be taken for a share whose row was removed after an operator ended
// it.
func TestShareWithoutRowIsNotEnded(t *testing.T) {
	ledger := NewLedger("account")
	if _, err := ledger.RaisePaid(1000); err != nil {
		t.Fatal(err)
	}
	ledger.draw("a/1/1", 1000, 0, fairness{})
	h := NewHolder("b/1", Store{Update: func(_ context.Context, _ string, edit func(*Ledger) (bool, error)) error {
		data, err := ledger.MarshalJSON()
		if err != nil {
			return err
		}
		l := &Ledger{}
		if err := l.UnmarshalJSON(data); err != nil {
			return err
		}
		changed, err := edit(l)
		if changed && err == nil {
			ledger = l
		}
		return err
	}}, Peers{}, func(err error) { t.Error(err) })
	s := h.Share("budget", Policy{MinTarget: 100, Fraction: 0.5})
	for i := range 3 {
		if err := h.refill(t.Context(), s, 10, time.Now()); err != nil {
			t.Errorf("refill %d from a ledger with nothing free: %v", i, err)
		}
	}
}

// When the next process of an instance writes its row, what its crashed
// predecessor held counts as spent, and the predecessor's row is removed, so it
// no longer gets a part when what is left is divided among the open rows.
func TestPredecessorRowsAreWrittenOff(t *testing.T) {
	l := NewLedger("account")
	if _, err := l.RaisePaid(1000); err != nil {
		t.Fatal(err)
	}
	l.draw("a/1/1", 400, 0, fairness{})
	l.draw("b/1/1", 100, 0, fairness{})
	l.writeOffPredecessors("a/2")
	if l.Row("a/1/1") != nil || l.Spent() != 400 {
		t.Errorf("row of the crashed process remains, or spent is not 400 but %d", l.Spent())
	}
	if got := l.Row("b/1/1").State(); got != Open {
		t.Errorf("state of another instance's row is %q, want open", got)
	}
	if got := l.Free(); got != 500 {
		t.Errorf("%d free, want 500", got)
	}
	if got := l.draw("a/2/1", 0, 1000, fairness{}); got != 300 {
		t.Errorf("granted %d, want 300: half of the 600 that are left", got)
	}
}

func TestReserveRefusesMoreThanAvailable(t *testing.T) {
	s := NewShare("b", "p/1/1", func(err error) { t.Error(err) })
	s.granted = 10
	h, ok := s.Reserve(7)
	if !ok {
		t.Fatal("Reserve(7) failed with 10 available")
	}
	if _, ok := s.Reserve(4); ok {
		t.Error("Reserve(4) succeeded with 3 available")
	}
	if _, ok := s.Reserve(-1); ok {
		t.Error("Reserve(-1) succeeded")
	}
	if got := h.Settle(math.MaxInt64); got != 7 {
		t.Errorf("settled at %d, want 7, the reserved amount", got)
	}
	if st := s.Stats(); st.Used() != 7 || st.Idle() != 3 {
		t.Errorf("stats are %+v, want used 7 and idle 3", st)
	}
}

func TestInvariantViolationStopsReservations(t *testing.T) {
	var reported error
	s := NewShare("b", "p/1/1", func(err error) { reported = err })
	s.granted = 10
	h, _ := s.Reserve(5)
	h.Settle(0)
	h.Settle(0)
	if !errors.Is(reported, ErrInvariant) {
		t.Fatalf("settling a reservation twice reported %v, want ErrInvariant", reported)
	}
	if _, ok := s.Reserve(1); ok {
		t.Error("Reserve succeeded on a share that violated its invariant")
	}
}

func TestTransfersAreCreditedOnce(t *testing.T) {
	a, b := NewShare("b", "a/1/1", nil), NewShare("b", "b/1/1", nil)
	a.granted = 100
	first := a.transfer(b.id, 30, 0)
	second := a.transfer(b.id, 20, 0)
	for _, tr := range []Transfer{second, first, second, first} {
		b.credit(tr)
	}
	if got := b.Stats().Received(); got != 50 {
		t.Errorf("received %d, want 50", got)
	}
	if got := b.credit(Transfer{From: a.id, To: "other/1/1", Total: 99}); got != (TransferAck{}) {
		t.Errorf("transfer to another share was credited: %+v", got)
	}
	b.closing = true
	third := a.transfer(b.id, 10, 0)
	a.applyAck(b.id, b.credit(third))
	if got := a.Stats().Sent(); got != 50 {
		t.Errorf("sent %d after the receiver closed, want the credited 50", got)
	}
}

// TestResumedHolderCannotSpendSealedShare pauses a holder until a peer has
// reclaimed its share. After the holder resumes, it may spend the share only up
// to the bound of the seal: the peer spends the rest.
func TestResumedHolderCannotSpendSealedShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(1, testZones, Policy{OutageTolerance: time.Hour, Unwitnessed: 1_000})
		c.topUp("start", 100_000)
		for i := range c.zones {
			c.request(i, 1_000, 500, time.Second, time.Millisecond)
		}
		time.Sleep(time.Second)
		c.pause(1)
		for range 150 {
			// The requests take some seconds, since a reading that showed nothing free
			// stays valid for emptyTTL.
			c.request(0, 1_000, 1_000, time.Second, 20*time.Millisecond)
		}
		l, _ := c.read()
		id := c.procs[1].name + "/1"
		if r := l.Row(id); r == nil || r.State() != Sealed {
			t.Fatalf("share of the paused holder was not reclaimed, its row is %+v", r)
		}
		c.resume(1)
		for range 50 {
			c.request(1, 1_000, 1_000, time.Second, time.Millisecond)
		}
		if err := c.finish(); err != nil {
			t.Error(err)
		}
		if len(c.violations) > 0 || c.actual.used > 100_000 {
			t.Errorf("used %d of 100000, violations %v", c.actual.used, c.violations)
		}
		if l, _ := c.read(); len(l.ShareIDs()) > 0 || l.Spent() != c.actual.used {
			t.Errorf("rows %v remain after the resumed holder closed; ledger records %d as spent, used %d", l.ShareIDs(), l.Spent(), c.actual.used)
		}
	})
}

// TestLiveHolderEndsForceClosedShare force-closes the share of a holder that is
// only paused. Once resumed, the holder reads that its share was ended and
// draws a new one.
func TestLiveHolderEndsForceClosedShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(1, testZones, Policy{OutageTolerance: time.Hour})
		c.topUp("start", 10_000)
		c.request(1, 100, 100, time.Second, 0)
		c.pause(1)
		l, version := c.read()
		id := c.procs[1].name + "/1"
		if err := l.ForceClose(id, 99_999); !errors.Is(err, ErrAmount) {
			t.Errorf("ForceClose with more than the share had: %v, want ErrAmount", err)
		}
		if err := l.ForceClose(id, 100); err != nil {
			t.Fatal(err)
		}
		if err := c.write(version, l); err != nil {
			t.Fatal(err)
		}
		c.resume(1)
		time.Sleep(10 * time.Second)
		for range 20 {
			c.request(1, 5_000, 100, time.Second, 0)
		}
		if err := c.finish(); err != nil || len(c.violations) > 0 {
			t.Error(err, c.violations)
		}
		if l, _ := c.read(); len(l.ShareIDs()) > 0 || l.Spent() != c.actual.used {
			t.Errorf("rows %v remain; ledger records %d as spent, used %d", l.ShareIDs(), l.Spent(), c.actual.used)
		}
	})
}

// TestSealNeedsQuorum seals a share when only the one of three witnesses
// replies that missed the last mark. A seal at its lower mark would reclaim an
// amount that the share's holder may still spend.
func TestSealNeedsQuorum(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(1, testZones, Policy{OutageTolerance: time.Hour, Unwitnessed: 10})
		c.topUp("start", 10_000)
		c.request(1, 100, 100, time.Second, 0)
		time.Sleep(time.Second)
		h := c.procs[0].holder
		id := c.procs[1].name + "/1"
		l, _ := c.read()
		witnesses := l.Row(id).Witnesses()
		if len(witnesses) != 3 {
			t.Fatalf("share has witnesses %v, want three", witnesses)
		}
		for _, witness := range witnesses[:2] {
			if err := c.everyProc[witness].holder.Witness().Raise(id, 9_000); err != nil {
				t.Fatal(err)
			}
		}
		for _, witness := range witnesses[:2] {
			c.crash(slices.IndexFunc(c.procs, func(p *proc) bool { return p.name == witness }))
		}
		if mark, ok := h.seal(t.Context(), id, witnesses); ok {
			t.Errorf("seal with one of three witnesses succeeded at mark %d", mark)
		}
		if err := c.finish(); err != nil {
			t.Error(err)
		}
	})
}

// TestIsolatedZoneSpendsItsWholeShare cuts a zone off from the store and from
// its peers for an hour. With an outage tolerance of an hour its share must
// last for the demand it had before.
func TestIsolatedZoneSpendsItsWholeShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(1, testZones, Policy{OutageTolerance: time.Hour})
		c.topUp("start", 100_000_000)
		for range 600 {
			for i := range c.zones {
				c.request(i, 100, 100, time.Second, 0)
			}
			time.Sleep(100 * time.Millisecond)
		}
		c.inject(event{kind: "cut platform", instance: 1})
		c.inject(event{kind: "cut zone", instance: 1})
		refusedBefore := c.refused
		for range 36_000 {
			c.request(1, 100, 100, time.Second, 0)
			time.Sleep(100 * time.Millisecond)
		}
		if c.refused > refusedBefore {
			t.Errorf("%d requests refused in an isolated hour at unchanged demand", c.refused-refusedBefore)
		}
		if err := c.finish(); err != nil {
			t.Error(err)
		}
	})
}

// TestBurstOnNewShares sends more requests at once than a new share can pay
// for.
func TestBurstOnNewShares(t *testing.T) {
	for _, unwitnessed := range []int64{0, 1_000} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(1, testZones, Policy{OutageTolerance: time.Hour, Unwitnessed: unwitnessed})
			c.topUp("start", 1_000_000_000)
			for n := range 5_000 {
				c.tasks.Go(func() { c.request(n%5, 1_000, 500, 400*time.Millisecond, 10*time.Second) })
			}
			c.tasks.Wait()
			if c.refused > 0 {
				t.Errorf("unwitnessed %d: %d of %d requests refused while most of the budget is left", unwitnessed, c.refused, c.requested)
			}
			if err := c.finish(); err != nil || len(c.violations) > 0 {
				t.Error(err, c.violations)
			}
		})
	}
}

func TestAmountsNearTheLimits(t *testing.T) {
	l := NewLedger("account")
	if err := l.TopUp("a", MaxPaid); err != nil {
		t.Fatal(err)
	}
	for _, amount := range []int64{1, -1, 0, math.MaxInt64, math.MinInt64} {
		if err := l.TopUp("b", amount); !errors.Is(err, ErrAmount) {
			t.Errorf("top-up of %d on a full budget: %v", amount, err)
		}
	}
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(1, testZones, Policy{OutageTolerance: time.Hour})
		c.topUp("start", MaxPaid)
		c.request(0, MaxPaid, MaxPaid-1, time.Second, time.Second)
		c.request(1, 1, 1, time.Second, time.Second)
		c.request(2, 1, 1, time.Second, time.Second)
		if c.refused != 1 || c.actual.used != MaxPaid {
			t.Errorf("refused %d, used %d, want 1 refused and all used", c.refused, c.actual.used)
		}
		if err := c.finish(); err != nil || len(c.violations) > 0 {
			t.Error(err, c.violations)
		}
	})
}

func TestUnmarshalRejectsOverspentLedger(t *testing.T) {
	text := `{"account":"a","paid":10,"rows":{"p/1/1":{"granted":11,"state":"open"}}}`
	if err := json.NewDecoder(strings.NewReader(text)).Decode(&Ledger{}); !errors.Is(err, ErrInvariant) {
		t.Errorf("decoding a ledger that violates S1: %v, want ErrInvariant", err)
	}
}

func ExampleShare() {
	s := NewShare("field-north", "entry-1/1/1", nil)
	s.credit(Transfer{From: "entry-2/1/1", To: s.ID(), Total: 100})
	hold, ok := s.Reserve(60)
	fmt.Println(ok, hold.Amount())
	fmt.Println(hold.Settle(25))
	fmt.Println(s.Stats().Idle())
	// Output:
	// true 60
	// 25
	// 75
}
