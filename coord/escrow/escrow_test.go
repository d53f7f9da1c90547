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

// TestLedger runs each script in testdata/book against a new ledger and
// compares the results of its commands with the script.
func TestLedger(t *testing.T) {
	datadriven.Walk(t, "testdata/book", func(t *testing.T, file string) {
		l := NewLedger("account")
		datadriven.RunTest(t, file, func(t *testing.T, d *datadriven.TestData) string {
			number := func(name string) int64 {
				var text string
				d.ScanArgs(t, name, &text)
				n, err := strconv.ParseInt(text, 10, 64)
				if err != nil {
					d.Fatalf(t, "argument of a script command is not a decimal integer: %v", err)
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
				d.Fatalf(t, "script has the unknown command %s, want topup, draw, seal, close, attest or write", d.Cmd)
			}
			if err := l.Check(); err != nil {
				return err.Error()
			}
			return fmt.Sprintf("%s\npaid %d spent %d free %d rows %d", result, l.Paid(), l.Spent(), l.Free(), len(l.ShareIDs()))
		})
	})
}

// A home or collector may add an extra amount when it turns a reservation into
// a transfer. The extra amount must come from the available amount of the
// share, which does not include the reservation.
func TestTransferHoldIsBoundedByAvailable(t *testing.T) {
	s := NewShare("b", "p/1/1", func(err error) { t.Error(err) })
	s.sync.policy = Policy{Floor: 1}
	s.granted = 1000
	h, ok := s.Reserve(1000)
	if !ok {
		t.Fatal("Reserve(1000) failed on a share with 1000 granted, want a reservation")
	}
	if tr := s.transferHold(h, "q/1/1", 5000); tr.Total != 1000 {
		t.Errorf("transferHold of 1000 reserved, with nothing else available and 5000 extra wanted, transferred %d, want 1000", tr.Total)
	}
}

// A holder that closes with an open reservation returns all but the reserved
// amount to the ledger.
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
		t.Error("Close of a holder with an open reservation returned no error, want one that names the budget")
	}
	if got := ledger.Free(); got != 900 {
		t.Errorf("ledger with 1000 paid in has %d free after Close with 100 reserved, want 900", got)
	}
	hold.Settle(100)
	if err := ledger.Check(); err != nil {
		t.Error(err)
	}
}

// A share far above its target returns the excess to the ledger with the next
// write of its row. The excess alone is reason enough to write the row.
func TestExcessIsReturned(t *testing.T) {
	s := NewShare("b", "p/1/1", func(err error) { t.Error(err) })
	s.sync.policy = Policy{MinTarget: 100, Fraction: 0.5}
	l := NewLedger("account")
	if _, err := l.RaisePaid(10_000); err != nil {
		t.Fatal(err)
	}
	s.granted = l.draw(s.id, 1000, 0, fairness{})
	if !s.editRow(l, 0, refillRow, func(string) bool { return true }) {
		t.Fatal("editRow of a share with 1000 granted and a target of 100 reports no change worth a write, want a change that returns the excess of 900")
	}
	if got := l.Row(s.id).Returned(); got != 900 {
		t.Errorf("editRow of a share with 1000 granted and a target of 100 returned %d to the ledger, want 900", got)
	}
}

// An excess must be written to the row again when the edit of the row is
// repeated on a newly read ledger, as after a conflict or when the first ledger
// was an older reading. The share has already deducted the excess by then.
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
		t.Fatal("editRow of a share with 1000 granted and a target of 100 reports no change worth a write, want a change that returns the excess of 900")
	}
	retried := newLedger()
	if !s.editRow(retried, 0, refillRow, allLive) || retried.Row(s.id).Returned() != 900 {
		t.Errorf("editRow repeated on a newly read ledger: got %d returned to the ledger, or no reported change, want 900 returned and a reported change", retried.Row(s.id).Returned())
	}
}

// A share that got nothing because the ledger has nothing free has no row in
// the ledger. The holder must not take it for a share whose row was removed
// after an operator ended the share.
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
			t.Errorf("refill %d of a share without a row, from a ledger with nothing free, returned the error %v, want no error", i, err)
		}
	}
}

// A reservation of more than is available, or of a negative amount, is refused,
// and a settlement spends at most the reserved amount.
func TestReserveRefusesMoreThanAvailable(t *testing.T) {
	s := NewShare("b", "p/1/1", func(err error) { t.Error(err) })
	s.granted = 10
	h, ok := s.Reserve(7)
	if !ok {
		t.Fatal("Reserve(7) failed on a share with 10 available, want a reservation")
	}
	if _, ok := s.Reserve(4); ok {
		t.Error("Reserve(4) succeeded with 3 available, want a refusal")
	}
	if _, ok := s.Reserve(-1); ok {
		t.Error("Reserve(-1) succeeded, want a refusal")
	}
	if got := h.Settle(math.MaxInt64); got != 7 {
		t.Errorf("Settle with more than the reserved 7 spent %d, want 7", got)
	}
	if st := s.Stats(); st.Used() != 7 || st.Idle() != 3 {
		t.Errorf("after 7 of 10 granted were spent, the stats are %+v, want used 7 and idle 3", st)
	}
}

// A reservation that is settled twice violates invariant S2 (a share spends no
// more than it received). The share must report that and refuse all further
// reservations.
func TestInvariantViolationStopsReservations(t *testing.T) {
	var reported error
	s := NewShare("b", "p/1/1", func(err error) { reported = err })
	s.granted = 10
	h, _ := s.Reserve(5)
	h.Settle(0)
	h.Settle(0)
	if !errors.Is(reported, ErrInvariant) {
		t.Fatalf("settling a reservation twice reported the violation %v, want ErrInvariant", reported)
	}
	if _, ok := s.Reserve(1); ok {
		t.Error("Reserve(1) succeeded on a share that settled a reservation twice, want a refusal")
	}
}

// Transfers that arrive twice or out of order are credited once, and only by
// the receiving share that they name. An amount that a closed receiver does not
// credit comes back to the sender.
func TestTransfersAreCreditedOnce(t *testing.T) {
	a, b := NewShare("b", "a/1/1", nil), NewShare("b", "b/1/1", nil)
	a.granted = 100
	first := a.transfer(b.id, 30, 0)
	second := a.transfer(b.id, 20, 0)
	for _, tr := range []Transfer{second, first, second, first} {
		b.credit(tr)
	}
	if got := b.Stats().Received(); got != 50 {
		t.Errorf("share was sent 30 and then 20, each transfer twice and out of order, and received %d, want 50", got)
	}
	if got := b.credit(Transfer{From: a.id, To: "other/1/1", Total: 99}); got != (TransferAck{}) {
		t.Errorf("credit of a transfer to another share returned the acknowledgement %+v, want the zero value", got)
	}
	b.closing = true
	third := a.transfer(b.id, 10, 0)
	a.applyAck(b.id, b.credit(third))
	if got := a.Stats().Sent(); got != 50 {
		t.Errorf("sender counts %d as sent after the receiver closed with 50 credited, want 50", got)
	}
}

// TestResumedHolderCannotSpendSealedShare pauses a holder until a peer has
// reclaimed its share. After the holder resumes, it may spend that share only
// up to the bound of the seal, since the peer spends the rest.
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
			// These requests take some seconds together, since a reading of the ledger
			// that showed nothing free stays valid for emptyTTL.
			c.request(0, 1_000, 1_000, time.Second, 20*time.Millisecond)
		}
		l, _ := c.read()
		id := c.procs[1].name + "/1"
		if r := l.Row(id); r == nil || r.State() != Sealed {
			t.Fatalf("row of the paused holder's share is %+v after its peers needed the amount, want a sealed row", r)
		}
		c.resume(1)
		for range 50 {
			c.request(1, 1_000, 1_000, time.Second, time.Millisecond)
		}
		if err := c.finish(); err != nil {
			t.Error(err)
		}
		if len(c.violations) > 0 || c.actual.used > 100_000 {
			t.Errorf("requests used %d with violations %v, want at most the 100000 paid in and no violations", c.actual.used, c.violations)
		}
		if l, _ := c.read(); len(l.ShareIDs()) > 0 || l.Spent() != c.actual.used {
			t.Errorf("after all holders closed, rows %v remain and the ledger records %d as spent, want no rows and the %d that were used", l.ShareIDs(), l.Spent(), c.actual.used)
		}
	})
}

// TestLiveHolderEndsForceClosedShare force-closes the share of a holder that is
// only paused. Once resumed, the holder reads in the ledger that its share was
// ended and draws a new one.
func TestLiveHolderEndsForceClosedShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(1, testZones, Policy{OutageTolerance: time.Hour})
		c.topUp("start", 10_000)
		c.request(1, 100, 100, time.Second, 0)
		c.pause(1)
		l, version := c.read()
		id := c.procs[1].name + "/1"
		if err := l.ForceClose(id, 99_999); !errors.Is(err, ErrAmount) {
			t.Errorf("ForceClose with 99999 spent, more than the share had, returned %v, want ErrAmount", err)
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
			t.Errorf("after all holders closed, rows %v remain and the ledger records %d as spent, want no rows and the %d that were used", l.ShareIDs(), l.Spent(), c.actual.used)
		}
	})
}

// TestSealNeedsQuorum seals a share when only one of its three witnesses
// replies, the one that missed the last mark. A seal at the lower mark of that
// witness would reclaim an amount that the share's holder may still spend.
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
			t.Fatalf("row of the share names the witnesses %v, want three", witnesses)
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
			t.Errorf("seal succeeded at mark %d with a reply of one of three witnesses, want a failure", mark)
		}
		if err := c.finish(); err != nil {
			t.Error(err)
		}
	})
}

// TestIsolatedZoneSpendsItsWholeShare cuts a zone off from the store and from
// the other zones for an hour. With an outage tolerance of an hour, the shares
// of the zone must last that long at the demand that the zone had before.
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
			t.Errorf("%d requests were refused while the zone was isolated for an hour at unchanged demand, want none", c.refused-refusedBefore)
		}
		if err := c.finish(); err != nil {
			t.Error(err)
		}
	})
}

// TestBurstOnNewShares sends more requests at once than new shares can pay for,
// with and without witnesses. No request may be refused while most of the
// budget is left.
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
				t.Errorf("with Policy.Unwitnessed at %d, %d of %d requests were refused while most of the budget was left, want none", unwitnessed, c.refused, c.requested)
			}
			if err := c.finish(); err != nil || len(c.violations) > 0 {
				t.Error(err, c.violations)
			}
		})
	}
}

// A budget with MaxPaid paid in takes no further top-up and can be spent whole.
func TestAmountsNearTheLimits(t *testing.T) {
	l := NewLedger("account")
	if err := l.TopUp("a", MaxPaid); err != nil {
		t.Fatal(err)
	}
	for _, amount := range []int64{1, -1, 0, math.MaxInt64, math.MinInt64} {
		if err := l.TopUp("b", amount); !errors.Is(err, ErrAmount) {
			t.Errorf("top-up of %d on a budget with MaxPaid paid in returned %v, want ErrAmount", amount, err)
		}
	}
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(1, testZones, Policy{OutageTolerance: time.Hour})
		c.topUp("start", MaxPaid)
		c.request(0, MaxPaid, MaxPaid-1, time.Second, time.Second)
		c.request(1, 1, 1, time.Second, time.Second)
		c.request(2, 1, 1, time.Second, time.Second)
		if c.refused != 1 || c.actual.used != MaxPaid {
			t.Errorf("requests that use MaxPaid-1, 1 and 1 of a budget of MaxPaid: %d refused and %d used, want 1 refused and MaxPaid used", c.refused, c.actual.used)
		}
		if err := c.finish(); err != nil || len(c.violations) > 0 {
			t.Error(err, c.violations)
		}
	})
}

// A stored ledger whose rows hold more than was paid in is rejected when it is
// decoded.
func TestUnmarshalRejectsOverspentLedger(t *testing.T) {
	text := `{"account":"a","paid":10,"rows":{"p/1/1":{"granted":11,"state":"open"}}}`
	if err := json.NewDecoder(strings.NewReader(text)).Decode(&Ledger{}); !errors.Is(err, ErrInvariant) {
		t.Errorf("decoding a ledger with 10 paid in and a row of 11 returned %v, want ErrInvariant", err)
	}
}

// A share that received 100 micro-units from a peer's share reserves 60 of them
// for a request, which then costs 25.
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
