package ledger

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"jacinthladder.dev/coord/escrow"
	"jacinthladder.dev/internal/fleet/pause"
	"jacinthladder.dev/internal/plat/object"
)

// lossyStore is a fake of an object store that can come back from an older copy of its
// content. Each call takes 4 ms.
type lossyStore struct {
	mu       sync.Mutex
	objects  map[string]object.Object
	era, rev int64
	older    map[string]object.Object // content at the last call of copy
	olderRev int64
}

// copy remembers the present content as the one to which lose returns.
func (s *lossyStore) copy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.older, s.olderRev = maps.Clone(s.objects), s.rev
}

// lose returns to the content of the last copy, in a new era.
func (s *lossyStore) lose() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects, s.rev = maps.Clone(s.older), s.olderRev
	s.era++
}

// client returns a client of the store that learns of a new era from its own calls.
func (s *lossyStore) client() *object.Store {
	seen := int64(0)
	return &object.Store{
		Era: func() (int64, bool) {
			s.mu.Lock()
			defer s.mu.Unlock()
			return seen, true
		},
		Get: func(_ context.Context, kind, name string) (object.Object, error) {
			time.Sleep(4 * time.Millisecond)
			s.mu.Lock()
			defer s.mu.Unlock()
			seen = s.era
			o, ok := s.objects[name]
			if !ok {
				return object.Object{}, object.ErrNotFound
			}
			return object.New(kind, name, object.VersionIn(s.era, o.Version()), o.Value()), nil
		},
		Put: func(_ context.Context, kind, name string, version int64, value []byte) (int64, error) {
			s.mu.Lock()
			if version != 0 && object.EraOf(version) != seen {
				s.mu.Unlock()
				return 0, object.ErrConflict
			}
			s.mu.Unlock()
			time.Sleep(4 * time.Millisecond)
			s.mu.Lock()
			defer s.mu.Unlock()
			seen = s.era
			if object.RevisionOf(version) != s.objects[name].Version() {
				return 0, object.ErrConflict
			}
			s.rev++
			s.objects[name] = object.New(kind, name, s.rev, value)
			if version != 0 && object.EraOf(version) != s.era {
				return 0, object.ErrUnknownOutcome
			}
			return object.VersionIn(s.era, s.rev), nil
		},
	}
}

// testFleet is a set of processes that spend one budget of a lossyStore.
type testFleet struct {
	store     *lossyStore
	processes []atomic.Pointer[testProcess]
	started   int // number of processes started so far
	spent     int64
}

type testProcess struct {
	shards *Shards
	holder *escrow.Holder
	stop   context.CancelFunc
	work   sync.WaitGroup
}

const (
	testBudget = "field"
	testPaid   = 10_000
	testAmount = 100 // of each request
)

// start starts process i anew. Each of its writes is recorded at another process, if
// record is set and one runs.
func (f *testFleet) start(t *testing.T, i int, record bool) {
	f.started++
	client := f.store.client()
	p := &testProcess{shards: NewFixedShards(client, 1)}
	if record {
		p.shards.Record = func(_ context.Context, r Record) {
			if other := f.processes[(i+1)%len(f.processes)].Load(); other != nil {
				other.shards.Keep(r)
			}
		}
	}
	p.holder = escrow.NewHolder(fmt.Sprintf("entry-%d/%d", i, f.started), p.shards.Store(), escrow.Peers{}, nil)
	ctx, cancel := context.WithCancel(t.Context())
	p.stop = cancel
	p.work.Go(func() { p.shards.Run(ctx) })
	p.work.Go(func() { p.holder.Run(ctx) })
	p.work.Go(func() { // as a feed's watch does, it learns of a new era in 2 s
		for ctx.Err() == nil {
			client.Get(ctx, ShardKind, "other")
			pause.For(ctx, 2*time.Second)
		}
	})
	f.processes[i].Store(p)
}

// kill ends process i at once.
func (f *testFleet) kill(i int) {
	p := f.processes[i].Swap(nil)
	p.stop()
	p.work.Wait()
}

// spend makes one request at process i, which is settled at its whole amount.
func (f *testFleet) spend(ctx context.Context, i int) {
	policy := escrow.Policy{OutageTolerance: 2 * time.Second, MinTarget: 5 * testAmount, Floor: testAmount, Fraction: 0.5}
	h, err := f.processes[i].Load().holder.Reserve(ctx, testBudget, policy, escrow.ReserveRequest{Amount: testAmount, Wait: 20 * time.Millisecond})
	if err == nil {
		f.spent += h.Settle(testAmount)
	}
}

// TestLossOfTheStoreOverspendsNothing plays random sequences of requests, copies, losses
// of the store and a kill of one process in each loss.
func TestLossOfTheStoreOverspendsNothing(t *testing.T) {
	for seed := range uint64(200) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 0))
			f := &testFleet{store: &lossyStore{objects: map[string]object.Object{}}, processes: make([]atomic.Pointer[testProcess], 3)}
			for i := range f.processes {
				f.start(t, i, true)
			}
			if err := f.processes[0].Load().shards.EnsurePaid(t.Context(), testBudget, testPaid); err != nil {
				t.Fatal(err)
			}
			f.store.copy()
			for range 1 + random.IntN(3) {
				f.spendFor(t, random, time.Duration(random.IntN(3000))*time.Millisecond)
				f.store.copy()
				f.spendFor(t, random, time.Duration(random.IntN(3000))*time.Millisecond)
				killed := random.IntN(len(f.processes))
				switch random.IntN(3) {
				case 0: // before the loss
					f.kill(killed)
					f.store.lose()
				case 1: // after the loss
					f.store.lose()
					f.kill(killed)
				case 2:
					f.store.lose()
					killed = -1
				}
				f.spendFor(t, random, time.Duration(random.IntN(1000))*time.Millisecond)
				if killed >= 0 {
					f.start(t, killed, true)
				}
				f.spendFor(t, random, 2*defaultRecoveryTime)
			}
			if f.spent > testPaid {
				t.Errorf("seed %d: %d was spent, want at most the %d paid", seed, f.spent, testPaid)
			}
			if f.spent < testPaid/2 {
				t.Errorf("seed %d: %d of %d was spent, want at least half: the budget must serve again after a loss", seed, f.spent, testPaid)
			}
			for i := range f.processes {
				f.kill(i)
			}
		})
	}
}

// spendFor makes requests at random processes for some time.
func (f *testFleet) spendFor(t *testing.T, random *rand.Rand, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Duration(20+random.IntN(100)) * time.Millisecond) {
		if i := random.IntN(len(f.processes)); f.processes[i].Load() != nil {
			f.spend(t.Context(), i)
		}
	}
}
