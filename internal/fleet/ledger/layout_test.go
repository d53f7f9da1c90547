package ledger

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"jacinthladder.dev/coord/escrow"
	"jacinthladder.dev/internal/plat/object"
)

// kindStore is a fake of the platform's object store, with objects by kind and name.
type kindStore struct {
	mu      sync.Mutex
	objects map[string]object.Object
	version int64
	era     int64
}

func (k *kindStore) store() *object.Store {
	return &object.Store{
		Get: func(_ context.Context, kind, name string) (object.Object, error) {
			k.mu.Lock()
			defer k.mu.Unlock()
			o, ok := k.objects[kind+"/"+name]
			if !ok {
				return o, object.ErrNotFound
			}
			return o, nil
		},
		Put: func(_ context.Context, kind, name string, version int64, value []byte) (int64, error) {
			k.mu.Lock()
			defer k.mu.Unlock()
			if k.objects[kind+"/"+name].Version() != version {
				return 0, object.ErrConflict
			}
			k.version++
			written := object.VersionIn(k.era, k.version)
			k.objects[kind+"/"+name] = object.New(kind, name, written, value)
			return written, nil
		},
		Watch: func(_ context.Context, kind string, _ int64, _ time.Duration) (object.Page, error) {
			k.mu.Lock()
			defer k.mu.Unlock()
			var objects []object.Object
			for _, o := range k.objects {
				if o.Kind() == kind {
					objects = append(objects, o)
				}
			}
			return object.NewPage(objects, k.version), nil
		},
		Era: func() (int64, bool) {
			k.mu.Lock()
			defer k.mu.Unlock()
			return k.era, true
		},
	}
}

func newKindStore() *kindStore { return &kindStore{objects: map[string]object.Object{}} }

// payAll pays in for 20 budgets, and returns by budget where its ledger is.
func payAll(t *testing.T, s *Shards) map[string]string {
	t.Helper()
	names := map[string]string{}
	for i := range 20 {
		b := fmt.Sprint("b", i)
		if err := s.EnsurePaid(t.Context(), b, 100); err != nil {
			t.Fatal(err)
		}
		names[b] = s.ShardName(b)
	}
	return names
}

// checkSame checks that each budget has its ledger where it was.
func checkSame(t *testing.T, s *Shards, want map[string]string) {
	t.Helper()
	for b, name := range want {
		if _, version, err := s.Read(t.Context(), b); err != nil || version != 1 || s.ShardName(b) != name {
			t.Errorf("budget %s: got version %d in %s, error %v, want the ledger in %s", b, version, s.ShardName(b), err, name)
		}
	}
}

// Guards against ledgers that begin anew, with nothing spent, because a setting has changed.
func TestLedgersStayWhereTheyAreIfTheSettingChanges(t *testing.T) {
	k := newKindStore()
	want := payAll(t, NewShards(k.store(), 4))
	for _, preferred := range []int{5, 1, 400, 4} {
		checkSame(t, NewShards(k.store(), preferred), want)
	}
}

// The build before has no layout: its ledgers are found, also with another setting, and it finds those of
// this build, which spreads them as it would.
func TestLedgersOfABuildWithoutLayoutAreFound(t *testing.T) {
	for _, preferred := range []int{4, 7} {
		k := newKindStore()
		want := payAll(t, NewFixedShards(k.store(), 4))
		checkSame(t, NewShards(k.store(), preferred), want)
	}
	k := newKindStore()
	want := payAll(t, NewShards(k.store(), 4))
	checkSame(t, NewFixedShards(k.store(), 4), want)
}

// Instances with different settings that start at once agree on one layout.
func TestInstancesThatStartAtOnceAgree(t *testing.T) {
	k := newKindStore()
	names := make([]map[string]string, 8)
	var work sync.WaitGroup
	for i := range names {
		work.Go(func() { names[i] = payAll(t, NewShards(k.store(), 1+i)) })
	}
	work.Wait()
	for i := range names {
		for b, name := range names[i] {
			if name != names[0][b] {
				t.Errorf("budget %s is in %s and in %s", b, name, names[0][b])
			}
		}
	}
}

// A layout that can't be read is an error, not absent, and one that the platform loses is created again.
func TestLayoutThatIsUnreadableOrLost(t *testing.T) {
	k := newKindStore()
	k.objects[LayoutKind+"/"+layoutName] = object.New(LayoutKind, layoutName, 1, []byte("[[["))
	if err := NewShards(k.store(), 4).EnsurePaid(t.Context(), "b", 1); err == nil || errors.Is(err, object.ErrNotFound) {
		t.Errorf("unreadable layout: got error %v, want one that names it", err)
	}
	k = newKindStore()
	s := NewShards(k.store(), 4)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); s.Run(ctx) }()
	defer func() { cancel(); <-done }()
	payAll(t, s)
	k.mu.Lock()
	k.objects, k.era = map[string]object.Object{}, 1
	k.mu.Unlock()
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if count, err := s.readLayout(t.Context()); err == nil && count == 4 {
			return
		}
		if time.Now().After(end) {
			t.Fatal("the layout is not created again within 5 s")
		}
	}
}

// Guards against a ledger that begins anew because the platform has come back from a copy from before it:
// a process that starts then waits for those that remember it.
func TestProcessThatStartsAfterALossBeginsNoLedgerAnew(t *testing.T) {
	k := newKindStore()
	old := NewShards(k.store(), 1)
	old.RecoveryTime = 400 * time.Millisecond
	if err := old.EnsurePaid(t.Context(), "b", 100); err != nil {
		t.Fatal(err)
	}
	if err := old.Update(t.Context(), "b", func(l *escrow.Ledger) (bool, error) { return l.RaisePaid(700) }); err != nil {
		t.Fatal(err)
	}
	k.mu.Lock()
	k.objects, k.era = map[string]object.Object{}, 1
	k.mu.Unlock()
	started := NewShards(k.store(), 1)
	started.RecoveryTime = old.RecoveryTime
	if err := started.EnsurePaid(t.Context(), "b", 100); !errors.Is(err, object.ErrRefused) {
		t.Errorf("just after the loss: got error %v, want the ledger to be refused", err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); old.Run(ctx) }()
	defer func() { cancel(); <-done }()
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		err := started.EnsurePaid(t.Context(), "b", 100)
		if err == nil {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("5 s after the loss: %v", err)
		}
	}
	if l, _, err := started.Read(t.Context(), "b"); err != nil || l.Paid() != 700 {
		t.Errorf("got the ledger %+v, error %v, want the one that the other process remembers", l, err)
	}
}
