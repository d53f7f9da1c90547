package ledger

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"jacinthladder.dev/coord/escrow"
	"jacinthladder.dev/internal/plat/object"
)

// shelf is a platform of one object that counts its calls.
type shelf struct {
	mu      sync.Mutex
	value   []byte
	version int64
	calls   int
	reject  int  // so many writes conflict
	lose    bool // the next write takes effect, and its answer is lost
}

func (s *shelf) store() *object.Store {
	return &object.Store{
		Get: func(_ context.Context, kind, name string) (object.Object, error) {
			time.Sleep(4 * time.Millisecond)
			s.mu.Lock()
			defer s.mu.Unlock()
			s.calls++
			if s.version == 0 {
				return object.Object{}, object.ErrNotFound
			}
			return object.New(kind, name, s.version, s.value), nil
		},
		Put: func(_ context.Context, _, _ string, version int64, value []byte) (int64, error) {
			time.Sleep(4 * time.Millisecond)
			s.mu.Lock()
			defer s.mu.Unlock()
			s.calls++
			s.reject--
			if version != s.version || s.reject >= 0 {
				return 0, object.ErrConflict
			}
			s.value = value
			s.version++
			if s.lose {
				s.lose = false
				return 0, object.ErrUnknownOutcome
			}
			return s.version, nil
		},
	}
}

// Budgets that are paid in at the same time go in a few calls, and each is there.
func TestGroupsBatchCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &shelf{}
		g := NewShards(s.store(), 1)
		const budgets = 24
		var work sync.WaitGroup
		for i := range budgets {
			work.Go(func() {
				if err := g.EnsurePaid(t.Context(), fmt.Sprint("b", i), int64(100+i)); err != nil {
					t.Error(err)
				}
			})
		}
		work.Wait()
		if s.calls > 4 {
			t.Errorf("%d calls for %d budgets", s.calls, budgets)
		}
		for i := range budgets {
			b, _, err := g.Read(t.Context(), fmt.Sprint("b", i))
			if err != nil || b.Paid() != int64(100+i) {
				t.Errorf("budget %d: %v, %v", i, b, err)
			}
		}
	})
}

// A write conflicts with another of the same budget only, whoever made it.
func TestGroupsConflictByBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &shelf{}
		here, there := NewShards(s.store(), 1), NewShards(s.store(), 1)
		for _, b := range []string{"x", "y"} {
			if err := here.EnsurePaid(t.Context(), b, 100); err != nil {
				t.Fatal(err)
			}
		}
		x, vx, _ := here.Read(t.Context(), "x")
		y, vy, _ := here.Read(t.Context(), "y")
		if err := there.EnsurePaid(t.Context(), "y", 200); err != nil {
			t.Fatal(err)
		}
		if err := here.Write(t.Context(), "x", vx, x); err != nil {
			t.Errorf("x: %v", err)
		}
		if err := here.Write(t.Context(), "y", vy, y); !errors.Is(err, escrow.ErrConflict) {
			t.Errorf("y: %v, want a conflict", err)
		}
		if b, _, _ := here.Read(t.Context(), "y"); b.Paid() != 200 {
			t.Errorf("y has %d paid in, want 200", b.Paid())
		}
	})
}

// A write whose answer is lost is an unknown outcome for all that went with it.
func TestGroupsReportLostAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &shelf{}
		g := NewShards(s.store(), 1)
		if err := g.EnsurePaid(t.Context(), "x", 100); err != nil {
			t.Fatal(err)
		}
		b, version, _ := g.Read(t.Context(), "x")
		s.lose = true
		if err := g.Write(t.Context(), "x", version, b); !errors.Is(err, object.ErrUnknownOutcome) {
			t.Errorf("%v, want an unknown outcome", err)
		}
		if err := g.Write(t.Context(), "x", version, b); !errors.Is(err, escrow.ErrConflict) {
			t.Errorf("%v, want a conflict: the write took effect", err)
		}
	})
}

// An edit sees only what is on the platform: never what another edit of the same
// budget, in a batch that fails, would have made of it.
func TestEditsSeeOnlyWhatIsWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &shelf{}
		g := NewShards(s.store(), 1)
		if err := g.EnsurePaid(t.Context(), "x", 100); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		s.reject = 3
		var work sync.WaitGroup
		for i := range 4 {
			work.Go(func() {
				err := g.Update(t.Context(), "x", func(b *escrow.Ledger) (bool, error) {
					written := &escrow.Ledger{}
					if err := json.Unmarshal(s.book("x"), written); err != nil {
						return false, err
					}
					if b.Paid() != written.Paid() {
						t.Errorf("edit %d sees %d paid in, the platform has %d", i, b.Paid(), written.Paid())
					}
					return b.RaisePaid(b.Paid() + 10)
				})
				if err != nil {
					t.Error(err)
				}
			})
		}
		work.Wait()
		if b, _, err := g.Read(t.Context(), "x"); err != nil || b.Paid() != 140 {
			t.Errorf("%v, %v: want 140 paid in", b, err)
		}
	})
}

// book returns a budget as the platform has it.
func (s *shelf) book(budget string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	text := groupText{}
	if err := json.Unmarshal(s.value, &text); err != nil {
		return nil
	}
	return text.Books[budget].Book
}

// Budgets that have run dry are looked at often, by holders that then write nothing.
// Looks that come close together take one call.
func TestLooksAtDryBudgetsShareCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &shelf{}
		g := NewShards(s.store(), 1)
		const budgets = 24
		for i := range budgets {
			if err := g.EnsurePaid(t.Context(), fmt.Sprint("b", i), 100); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(time.Second)
		s.calls = 0
		for i := range budgets {
			if err := g.Update(t.Context(), fmt.Sprint("b", i), func(*escrow.Ledger) (bool, error) { return false, nil }); err != nil {
				t.Error(err)
			}
			time.Sleep(12 * time.Millisecond) // with the 8 ms of each call: half a second in all
		}
		if s.calls > 2 {
			t.Errorf("%d calls for looks at %d budgets", s.calls, budgets)
		}
	})
}

// A budget that another instance has just made is there, though this one looked at its
// group a moment before.
func TestNewBudgetIsSeenAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &shelf{}
		here, there := NewShards(s.store(), 1), NewShards(s.store(), 1)
		if err := here.EnsurePaid(t.Context(), "x", 100); err != nil {
			t.Fatal(err)
		}
		time.Sleep(recentTime)
		if err := there.EnsurePaid(t.Context(), "y", 100); err != nil {
			t.Fatal(err)
		}
		if err := here.Update(t.Context(), "y", func(*escrow.Ledger) (bool, error) { return false, nil }); err != nil {
			t.Error(err)
		}
	})
}
