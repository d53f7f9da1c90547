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

// fakeStore is a fake of the platform's object store that holds a single object, whatever
// its kind and name. Each call takes 4 ms.
type fakeStore struct {
	mu        sync.Mutex
	value     []byte
	version   int64
	calls     int  // number of calls so far
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

// TestShardsBatchCalls pays into 24 budgets of one shard at the same time. All payments
// must be stored with at most 4 calls to the platform.
func TestShardsBatchCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{}
		shards := NewFixedShards(s.store(), 1)
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
			t.Errorf("the platform received %d calls for concurrent payments into %d budgets of one shard, want at most 4", s.calls, budgets)
		}
		for i := range budgets {
			l, _, err := shards.Read(t.Context(), fmt.Sprint("b", i))
			if err != nil || l.Paid() != int64(100+i) {
				t.Errorf("Read of budget b%[1]d after a payment of 100+%[1]d returned ledger %[2]v and error %[3]v, want a ledger with that amount paid in and no error", i, l, err)
			}
		}
	})
}

// TestShardsConflictByBudget writes two budgets of one shard after another instance has
// changed one of them. Only the write of the changed budget must conflict.
func TestShardsConflictByBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{}
		local, remote := NewFixedShards(s.store(), 1), NewFixedShards(s.store(), 1)
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
			t.Errorf("Write of budget x, which no other instance changed, returned error %v, want none", err)
		}
		if err := local.Write(t.Context(), "y", vy, y); !errors.Is(err, escrow.ErrConflict) {
			t.Errorf("Write of budget y, which another instance changed, returned error %v, want escrow.ErrConflict", err)
		}
		if l, _, _ := local.Read(t.Context(), "y"); l.Paid() != 200 {
			t.Errorf("budget y has %d paid in after the Write that conflicted, want 200, the total that the other instance paid in", l.Paid())
		}
	})
}

// TestShardsReportUnknownOutcome loses the response to a write. Write must return
// object.ErrUnknownOutcome, and a repeated Write of the same version must conflict.
func TestShardsReportUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{}
		shards := NewFixedShards(s.store(), 1)
		if err := shards.EnsurePaid(t.Context(), "x", 100); err != nil {
			t.Fatal(err)
		}
		l, version, _ := shards.Read(t.Context(), "x")
		s.loseReply = true
		if err := shards.Write(t.Context(), "x", version, l); !errors.Is(err, object.ErrUnknownOutcome) {
			t.Errorf("Write with a lost response returned error %v, want object.ErrUnknownOutcome", err)
		}
		if err := shards.Write(t.Context(), "x", version, l); !errors.Is(err, escrow.ErrConflict) {
			t.Errorf("the second Write of the same version returned error %v, want escrow.ErrConflict, because the first one took effect", err)
		}
	})
}

// TestEditsSeeOnlyStoredState updates one budget four times concurrently, while three
// writes end in a conflict. Each edit must see the stored ledger, not the result of
// another edit whose batch may still fail.
func TestEditsSeeOnlyStoredState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{}
		shards := NewFixedShards(s.store(), 1)
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
						t.Errorf("the edit of update %d received a ledger with %d paid in, want the %d of the stored ledger", i, l.Paid(), stored.Paid())
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
			t.Errorf("Read after 4 updates of a budget with 100 paid in, which pay in 10 each, returned ledger %v and error %v, want 140 paid in and no error", l, err)
		}
	})
}

// ledger returns the stored ledger of a budget as JSON, nil if the object can't be
// decoded.
func (s *fakeStore) ledger(budget string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	content := shardJSON{}
	if err := json.Unmarshal(s.value, &content); err != nil {
		return nil
	}
	return content.Ledgers[budget].Ledger
}

// TestNoopUpdatesShareReads updates 24 budgets of one shard within half a second, with
// edits that write nothing, as escrow holders do for exhausted budgets. The updates must
// take at most 2 calls to the platform.
func TestNoopUpdatesShareReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{}
		shards := NewFixedShards(s.store(), 1)
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
			time.Sleep(12 * time.Millisecond) // plus the batchDelay of 8 ms for each update: 0.48 s in all
		}
		if s.calls > 2 {
			t.Errorf("the platform received %d calls for updates of %d budgets that write nothing, want at most 2", s.calls, budgets)
		}
	})
}

// TestUpdateSeesNewBudget updates a budget that another instance has just created. The
// update must find the budget, although this instance has cached the shard without it.
func TestUpdateSeesNewBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{}
		local, remote := NewFixedShards(s.store(), 1), NewFixedShards(s.store(), 1)
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
