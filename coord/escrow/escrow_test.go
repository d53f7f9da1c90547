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

// TestBook runs the scripts in testdata/book against one book each.
func TestBook(t *testing.T) {
	datadriven.Walk(t, "testdata/book", func(t *testing.T, file string) {
		b := NewLedger("account")
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
				if err := b.TopUp(id, number("amount")); err != nil {
					result = err.Error()
				}
			case "draw":
				result = fmt.Sprint("granted ", b.draw(id, number("need"), number("want"), fairness{}))
			case "seal":
				result = fmt.Sprint("won ", b.seal(id, number("bound")))
			case "close":
				r := b.rowFor(id)
				r.fields.Used = number("used")
				r.fields.Returned, r.fields.State = r.fields.Granted-r.fields.Used, Closed
				b.touch(r)
				b.prune()
			case "attest":
				if err := b.ForceClose(id, number("spent")); err != nil {
					result = err.Error()
				}
			case "write":
				b.touch(b.rowFor(id))
				b.prune()
			default:
				d.Fatalf(t, "no command %s", d.Cmd)
			}
			if err := b.Check(); err != nil {
				return err.Error()
			}
			return fmt.Sprintf("%s\npaid %d spent %d free %d rows %d", result, b.Paid(), b.Spent(), b.Free(), len(b.ShareIDs()))
		})
	})
}

// A gatherer turns a reservation into a gift and adds to it only from what is
// left beside the reservation.
func TestTurnOverGivesNoMoreThanThereIs(t *testing.T) {
	s := NewShare("b", "p/1/1", func(err error) { t.Error(err) })
	s.sync.policy = Policy{Floor: 1}
	s.granted = 1000
	h, ok := s.Reserve(1000)
	if !ok {
		t.Fatal("no room for all")
	}
	if g := s.transferHold(h, "q/1/1", 5000); g.Total != 1000 {
		t.Errorf("gave %d of 1000", g.Total)
	}
}

// A holder that closes beside an open reservation returns all but what that holds.
func TestCloseReturnsWhatIsIdle(t *testing.T) {
	book := NewLedger("account")
	if _, err := book.RaisePaid(1000); err != nil {
		t.Fatal(err)
	}
	h := NewHolder("a/1", Store{
		Read:  func(context.Context, string) (*Ledger, int64, error) { return book, 1, nil },
		Write: func(_ context.Context, _ string, _ int64, b *Ledger) error { book = b; return nil },
	}, Peers{}, func(err error) { t.Error(err) })
	hold, err := h.Reserve(t.Context(), "b", Policy{MinTarget: 800, Fraction: 1}, ReserveRequest{Amount: 100})
	if err != nil {
		t.Fatal(err)
	}
	if err := h.Close(t.Context()); err == nil {
		t.Error("closed in order beside an open reservation")
	}
	if got := book.Free(); got != 900 {
		t.Errorf("%d free after the close, want 900", got)
	}
	hold.Settle(100)
	if err := book.Check(); err != nil {
		t.Error(err)
	}
}

// A share far above its target gives the excess back with its next write, and its
// row is worth that write.
func TestExcessIsReturned(t *testing.T) {
	s := NewShare("b", "p/1/1", func(err error) { t.Error(err) })
	s.sync.policy = Policy{MinTarget: 100, Fraction: 0.5}
	b := NewLedger("account")
	if _, err := b.RaisePaid(10_000); err != nil {
		t.Fatal(err)
	}
	s.granted = b.draw(s.id, 1000, 0, fairness{})
	if !s.editRow(b, 0, refillRow, func(string) bool { return true }) {
		t.Fatal("nothing to write")
	}
	if got := b.Row(s.id).Returned(); got != 900 {
		t.Errorf("returned %d of 900", got)
	}
}

// An excess whose write is tried again, after a conflict or a look at an older reading,
// is still to be written: the share has let go of it.
func TestExcessIsReturnedWhenTriedAgain(t *testing.T) {
	s := NewShare("b", "p/1/1", func(err error) { t.Error(err) })
	s.sync.policy = Policy{MinTarget: 100, Fraction: 0.5}
	fresh := func() *Ledger {
		b := NewLedger("account")
		if _, err := b.RaisePaid(10_000); err != nil {
			t.Fatal(err)
		}
		s.granted = b.draw(s.id, 1000, 0, fairness{})
		return b
	}
	all := func(string) bool { return true }
	if !s.editRow(fresh(), 0, refillRow, all) {
		t.Fatal("nothing to write")
	}
	again := fresh()
	if !s.editRow(again, 0, refillRow, all) || again.Row(s.id).Returned() != 900 {
		t.Errorf("returned %d of 900 when tried again", again.Row(s.id).Returned())
	}
}

// A share that finds nothing free has no row, and is not taken for one that an
// operator has ended.
func TestShareWithoutRowIsNotEnded(t *testing.T) {
	book := NewLedger("account")
	if _, err := book.RaisePaid(1000); err != nil {
		t.Fatal(err)
	}
	book.draw("a/1/1", 1000, 0, fairness{})
	h := NewHolder("b/1", Store{Update: func(_ context.Context, _ string, edit func(*Ledger) (bool, error)) error {
		data, err := book.MarshalJSON()
		if err != nil {
			return err
		}
		b := &Ledger{}
		if err := b.UnmarshalJSON(data); err != nil {
			return err
		}
		changed, err := edit(b)
		if changed && err == nil {
			book = b
		}
		return err
	}}, Peers{}, func(err error) { t.Error(err) })
	s := h.Share("budget", Policy{MinTarget: 100, Fraction: 0.5})
	for i := range 3 {
		if err := h.refill(t.Context(), s, 10, time.Now()); err != nil {
			t.Errorf("look %d at a book that has nothing free: %v", i, err)
		}
	}
}

// What a process held when it died counts as spent, and its row no longer counts
// among those that share what is left.
func TestNextProcessEndsRows(t *testing.T) {
	b := NewLedger("account")
	if _, err := b.RaisePaid(1000); err != nil {
		t.Fatal(err)
	}
	b.draw("a/1/1", 400, 0, fairness{})
	b.draw("b/1/1", 100, 0, fairness{})
	b.writeOffPredecessors("a/2")
	if b.Row("a/1/1") != nil || b.Spent() != 400 {
		t.Errorf("the dead process still has a row, or not all counts as spent: %d", b.Spent())
	}
	if got := b.Row("b/1/1").State(); got != Open {
		t.Errorf("state of a peer's row is %q", got)
	}
	if got := b.Free(); got != 500 {
		t.Errorf("%d free, want 500", got)
	}
	if got := b.draw("a/2/1", 0, 1000, fairness{}); got != 300 {
		t.Errorf("granted %d, want half of the 600 that are left", got)
	}
}

func TestShareRefusesBeyondItsRoom(t *testing.T) {
	s := NewShare("b", "p/1/1", func(err error) { t.Error(err) })
	s.granted = 10
	h, ok := s.Reserve(7)
	if !ok {
		t.Fatal("no room for 7 of 10")
	}
	if _, ok := s.Reserve(4); ok {
		t.Error("room for 11 of 10")
	}
	if _, ok := s.Reserve(-1); ok {
		t.Error("room for a negative amount")
	}
	if got := h.Settle(math.MaxInt64); got != 7 {
		t.Errorf("settled at %d, above the bound 7", got)
	}
	if f := s.Stats(); f.Used() != 7 || f.Idle() != 3 {
		t.Errorf("figures %+v", f)
	}
}

func TestBrokenRuleClosesTheShare(t *testing.T) {
	var told error
	s := NewShare("b", "p/1/1", func(err error) { told = err })
	s.granted = 10
	h, _ := s.Reserve(5)
	h.Settle(0)
	h.Settle(0)
	if !errors.Is(told, ErrInvariant) {
		t.Fatalf("a double settlement told %v", told)
	}
	if _, ok := s.Reserve(1); ok {
		t.Error("a broken share still reserves")
	}
}

func TestGiftsCountOnceHoweverTheyArrive(t *testing.T) {
	a, b := NewShare("b", "a/1/1", nil), NewShare("b", "b/1/1", nil)
	a.granted = 100
	first := a.transfer(b.id, 30, 0)
	second := a.transfer(b.id, 20, 0)
	for _, g := range []Transfer{second, first, second, first} {
		b.credit(g)
	}
	if got := b.Stats().Received(); got != 50 {
		t.Errorf("received %d of 50", got)
	}
	if got := b.credit(Transfer{From: a.id, To: "other/1/1", Total: 99}); got != (TransferAck{}) {
		t.Errorf("a gift to another share was credited: %+v", got)
	}
	b.closing = true
	third := a.transfer(b.id, 10, 0)
	a.applyAck(b.id, b.credit(third))
	if got := a.Stats().Sent(); got != 50 {
		t.Errorf("sent %d after the receiver closed at 50", got)
	}
}

func TestPausedHolderCannotOutspendItsSeal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newCluster(1, testZones, Policy{OutageTolerance: time.Hour, Unwitnessed: 1_000})
		w.topUp("start", 100_000)
		for i := range w.zones {
			w.request(i, 1_000, 500, time.Second, time.Millisecond)
		}
		time.Sleep(time.Second)
		w.pause(1)
		for range 150 {
			// Over some seconds: word that nothing is free is believed for dryTime.
			w.request(0, 1_000, 1_000, time.Second, 20*time.Millisecond)
		}
		b, _ := w.read()
		id := w.procs[1].name + "/1"
		if r := b.Row(id); r == nil || r.State() != Sealed {
			t.Fatalf("the paused share was not won back: %+v", r)
		}
		w.wake(1)
		for range 50 {
			w.request(1, 1_000, 1_000, time.Second, time.Millisecond)
		}
		if err := w.finish(); err != nil {
			t.Error(err)
		}
		if len(w.violations) > 0 || w.actual.used > 100_000 {
			t.Errorf("used %d of 100000, faults %v", w.actual.used, w.violations)
		}
		if b, _ := w.read(); len(b.ShareIDs()) > 0 || b.Spent() != w.actual.used {
			t.Errorf("the woken holder left %v, book %d, truth %d", b.ShareIDs(), b.Spent(), w.actual.used)
		}
	})
}

// TestAttestedHolderThatLivesEndsItsShare attests the death of a holder that is
// only paused. It finds its share ended, and draws a new one.
func TestAttestedHolderThatLivesEndsItsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newCluster(1, testZones, Policy{OutageTolerance: time.Hour})
		w.topUp("start", 10_000)
		w.request(1, 100, 100, time.Second, 0)
		w.pause(1)
		b, version := w.read()
		id := w.procs[1].name + "/1"
		if err := b.ForceClose(id, 99_999); !errors.Is(err, ErrAmount) {
			t.Errorf("more than it had: %v", err)
		}
		if err := b.ForceClose(id, 100); err != nil {
			t.Fatal(err)
		}
		if err := w.write(version, b); err != nil {
			t.Fatal(err)
		}
		w.wake(1)
		time.Sleep(10 * time.Second)
		for range 20 {
			w.request(1, 5_000, 100, time.Second, 0)
		}
		if err := w.finish(); err != nil || len(w.violations) > 0 {
			t.Error(err, w.violations)
		}
		if b, _ := w.read(); len(b.ShareIDs()) > 0 || b.Spent() != w.actual.used {
			t.Errorf("left %v, book %d, truth %d", b.ShareIDs(), b.Spent(), w.actual.used)
		}
	})
}

// TestSealNeedsAQuorum seals a share of which one witness missed the last mark:
// its word alone would let two spend the same.
func TestSealNeedsAQuorum(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newCluster(1, testZones, Policy{OutageTolerance: time.Hour, Unwitnessed: 10})
		w.topUp("start", 10_000)
		w.request(1, 100, 100, time.Second, 0)
		time.Sleep(time.Second)
		h := w.procs[0].holder
		id := w.procs[1].name + "/1"
		b, _ := w.read()
		guards := b.Row(id).Witnesses()
		if len(guards) != 3 {
			t.Fatalf("witnesses %v", guards)
		}
		for _, g := range guards[:2] {
			if err := w.everyProc[g].holder.Witness().Raise(id, 9_000); err != nil {
				t.Fatal(err)
			}
		}
		for _, g := range guards[:2] {
			w.crash(slices.IndexFunc(w.procs, func(p *proc) bool { return p.name == g }))
		}
		if m, ok := h.seal(t.Context(), id, guards); ok {
			t.Errorf("one witness of three sealed at %d", m)
		}
		if err := w.finish(); err != nil {
			t.Error(err)
		}
	})
}

func TestZoneAloneSpendsItsWholeShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newCluster(1, testZones, Policy{OutageTolerance: time.Hour})
		w.topUp("start", 100_000_000)
		for range 600 {
			for i := range w.zones {
				w.request(i, 100, 100, time.Second, 0)
			}
			time.Sleep(100 * time.Millisecond)
		}
		w.inject(event{kind: "cut platform", instance: 1})
		w.inject(event{kind: "cut zone", instance: 1})
		before := w.refused
		for range 36_000 {
			w.request(1, 100, 100, time.Second, 0)
			time.Sleep(100 * time.Millisecond)
		}
		if w.refused > before {
			t.Errorf("%d refusals in an hour alone at the demand it had", w.refused-before)
		}
		if err := w.finish(); err != nil {
			t.Error(err)
		}
	})
}

// TestBurstOnAColdShare sends more requests at once than a share begins with.
func TestBurstOnAColdShare(t *testing.T) {
	for _, alone := range []int64{0, 1_000} {
		synctest.Test(t, func(t *testing.T) {
			w := newCluster(1, testZones, Policy{OutageTolerance: time.Hour, Unwitnessed: alone})
			w.topUp("start", 1_000_000_000)
			for n := range 5_000 {
				w.open.Go(func() { w.request(n%5, 1_000, 500, 400*time.Millisecond, 10*time.Second) })
			}
			w.open.Wait()
			if w.refused > 0 {
				t.Errorf("alone %d: %d of %d refused on a budget that is nearly whole", alone, w.refused, w.requested)
			}
			if err := w.finish(); err != nil || len(w.violations) > 0 {
				t.Error(err, w.violations)
			}
		})
	}
}

func TestAmountsNearTheLimits(t *testing.T) {
	b := NewLedger("account")
	if err := b.TopUp("a", MaxPaid); err != nil {
		t.Fatal(err)
	}
	for _, amount := range []int64{1, -1, 0, math.MaxInt64, math.MinInt64} {
		if err := b.TopUp("b", amount); !errors.Is(err, ErrAmount) {
			t.Errorf("top-up of %d on a full budget: %v", amount, err)
		}
	}
	synctest.Test(t, func(t *testing.T) {
		w := newCluster(1, testZones, Policy{OutageTolerance: time.Hour})
		w.topUp("start", MaxPaid)
		w.request(0, MaxPaid, MaxPaid-1, time.Second, time.Second)
		w.request(1, 1, 1, time.Second, time.Second)
		w.request(2, 1, 1, time.Second, time.Second)
		if w.refused != 1 || w.actual.used != MaxPaid {
			t.Errorf("refused %d, used %d", w.refused, w.actual.used)
		}
		if err := w.finish(); err != nil || len(w.violations) > 0 {
			t.Error(err, w.violations)
		}
	})
}

func TestBookRefusesToLoadOverspent(t *testing.T) {
	text := `{"account":"a","paid":10,"rows":{"p/1/1":{"granted":11,"state":"open"}}}`
	if err := json.NewDecoder(strings.NewReader(text)).Decode(&Ledger{}); !errors.Is(err, ErrInvariant) {
		t.Errorf("a book that breaks S1 was read: %v", err)
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
