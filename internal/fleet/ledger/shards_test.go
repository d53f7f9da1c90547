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

// fakeStore is a platform with one object. It counts the calls.
type fakeStore struct {
	mu        sync.Mutex
	value     []byte
	version   int64
	calls     int
	conflicts int  // number of writes still to be rejected with a conflict
	loseReply bool // the next write takes effect, but its response is lost
}

func (s *fakeStore) store() *object.Store {
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
			s.conflicts--
			if version != s.version || s.conflicts >= 0 {
				return 0, object.ErrConflict
			}
			s.value = value
			s.version++
			if s.loseReply {
				s.loseReply = false
				return 0, object.ErrUnknownOutcome
			}
			return s.version, nil
		},
	}
}

// Payments into many budgets at the same time take a few calls, and all of them are
// stored.
func TestShardsBatchCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{}
		shards := NewShards(s.store(), 1)
		const budgets = 24
		var work sync.WaitGroup
		for i := range budgets {
			work.Go(func() {
				if err := shards.EnsurePaid(t.Context(), fmt.Sprint("b", i), int64(100+i)); err != nil {
					t.Error(err)
				}
			})
		}
		work.Wait()
		if s.calls > 4 {
			t.Errorf("%d calls for %d budgets", s.calls, budgets)
		}
		for i := range budgets {
			l, _, err := shards.Read(t.Context(), fmt.Sprint("b", i))
			if err != nil || l.Paid() != int64(100+i) {
				t.Errorf("budget %d: %v, %v", i, l, err)
			}
		}
	})
}

// A write conflicts only with another write of the same budget, also where the other
// write came from another instance.
func TestShardsConflictByBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{}
		local, remote := NewShards(s.store(), 1), NewShards(s.store(), 1)
		for _, b := range []string{"x", "y"} {
			if err := local.EnsurePaid(t.Context(), b, 100); err != nil {
				t.Fatal(err)
			}
		}
		x, vx, _ := local.Read(t.Context(), "x")
		y, vy, _ := local.Read(t.Context(), "y")
		if err := remote.EnsurePaid(t.Context(), "y", 200); err != nil {
			t.Fatal(err)
		}
		if err := local.Write(t.Context(), "x", vx, x); err != nil {
			t.Errorf("x: %v", err)
		}
		if err := local.Write(t.Context(), "y", vy, y); !errors.Is(err, escrow.ErrConflict) {
			t.Errorf("y: %v, want a conflict", err)
		}
		if l, _, _ := local.Read(t.Context(), "y"); l.Paid() != 200 {
			t.Errorf("y has %d paid in, want 200", l.Paid())
		}
	})
}

// A write whose response is lost reports an unknown outcome to every change in its
// batch.
func TestShardsReportUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{}
		shards := NewShards(s.store(), 1)
		if err := shards.EnsurePaid(t.Context(), "x", 100); err != nil {
			t.Fatal(err)
		}
		l, version, _ := shards.Read(t.Context(), "x")
		s.loseReply = true
		if err := shards.Write(t.Context(), "x", version, l); !errors.Is(err, object.ErrUnknownOutcome) {
			t.Errorf("%v, want an unknown outcome", err)
		}
		if err := shards.Write(t.Context(), "x", version, l); !errors.Is(err, escrow.ErrConflict) {
			t.Errorf("%v, want a conflict: the write took effect", err)
		}
	})
}

// An edit sees only stored content. It must not see the result of another edit of the
// same budget whose batch then fails.
func TestEditsSeeOnlyStoredState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{}
		shards := NewShards(s.store(), 1)
		if err := shards.EnsurePaid(t.Context(), "x", 100); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		s.conflicts = 3
		var work sync.WaitGroup
		for i := range 4 {
			work.Go(func() {
				err := shards.Update(t.Context(), "x", func(l *escrow.Ledger) (bool, error) {
					stored := &escrow.Ledger{}
					if err := json.Unmarshal(s.ledger("x"), stored); err != nil {
						return false, err
					}
					if l.Paid() != stored.Paid() {
						t.Errorf("edit %d sees %d paid in, the stored ledger has %d", i, l.Paid(), stored.Paid())
					}
					return l.RaisePaid(l.Paid() + 10)
				})
				if err != nil {
					t.Error(err)
				}
			})
		}
		work.Wait()
		if l, _, err := shards.Read(t.Context(), "x"); err != nil || l.Paid() != 140 {
			t.Errorf("%v, %v: want 140 paid in", l, err)
		}
	})
}

// ledger returns the stored ledger of a budget.
func (s *fakeStore) ledger(budget string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	content := shardJSON{}
	if err := json.Unmarshal(s.value, &content); err != nil {
		return nil
	}
	return content.Ledgers[budget].Ledger
}

// Holders check exhausted budgets often, with updates that write nothing. Updates in
// quick succession share one read.
func TestNoopUpdatesShareReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{}
		shards := NewShards(s.store(), 1)
		const budgets = 24
		for i := range budgets {
			if err := shards.EnsurePaid(t.Context(), fmt.Sprint("b", i), 100); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(time.Second)
		s.calls = 0
		for i := range budgets {
			if err := shards.Update(t.Context(), fmt.Sprint("b", i), func(*escrow.Ledger) (bool, error) { return false, nil }); err != nil {
				t.Error(err)
			}
			time.Sleep(12 * time.Millisecond) // with the 8 ms of each call: half a second in all
		}
		if s.calls > 2 {
			t.Errorf("%d calls for updates of %d budgets that write nothing", s.calls, budgets)
		}
	})
}

// An update finds a budget that another instance has just created, although this
// instance has cached the shard without it.
func TestUpdateSeesNewBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{}
		local, remote := NewShards(s.store(), 1), NewShards(s.store(), 1)
		if err := local.EnsurePaid(t.Context(), "x", 100); err != nil {
			t.Fatal(err)
		}
		time.Sleep(writeCacheAge)
		if err := remote.EnsurePaid(t.Context(), "y", 100); err != nil {
			t.Fatal(err)
		}
		if err := local.Update(t.Context(), "y", func(*escrow.Ledger) (bool, error) { return false, nil }); err != nil {
			t.Error(err)
		}
	})
}
