package feed

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"jacinthladder.dev/internal/plat/object"
)

// fakeStore is a store of one kind whose watches can be stalled.
type fakeStore struct {
	mu        sync.Mutex
	objects   map[string]object.Object
	version   int64
	stalled   bool  // watches that wait return nothing, not even at their timeout
	compacted int64 // history up to this version is not available
	calls     int
}

func (p *fakeStore) set(o object.Object) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects[o.Name()] = o
	p.version = max(p.version, o.Version())
}

func (p *fakeStore) drop(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.objects, name)
	p.version++
	p.compacted = p.version
}

func (p *fakeStore) watch(ctx context.Context, _ string, after int64, wait time.Duration) (object.Page, error) {
	p.mu.Lock()
	p.calls++
	stalled := p.stalled
	p.mu.Unlock()
	if stalled && wait > 0 {
		<-ctx.Done()
		return object.Page{}, object.ErrUnknownOutcome
	}
	end := time.Now().Add(wait)
	for {
		p.mu.Lock()
		if after > 0 && after < p.compacted {
			p.mu.Unlock()
			return object.Page{}, object.ErrExpired
		}
		var updates []object.Object
		for _, o := range p.objects {
			if o.Version() > after {
				updates = append(updates, o)
			}
		}
		version := p.version
		p.mu.Unlock()
		if len(updates) > 0 || !time.Now().Before(end) {
			return object.NewPage(updates, version), nil
		}
		select {
		case <-ctx.Done():
			return object.Page{}, object.ErrUnknownOutcome
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// startFeed starts a feed and returns it with a function that returns the last applied
// object by name.
func startFeed(t *testing.T, p *fakeStore, configure func(*Feed)) (f *Feed, applied func(name string) (object.Object, bool)) {
	f = New("thing", &object.Store{Watch: p.watch}, &log.Logger{Handler: discard.New()})
	var mu sync.Mutex
	latest := map[string]object.Object{}
	f.Apply = func(_ string, o object.Object) {
		mu.Lock()
		defer mu.Unlock()
		if old, ok := latest[o.Name()]; ok && old.Version() > o.Version() {
			t.Errorf("%s reverted from version %d to %d", o.Name(), old.Version(), o.Version())
		}
		latest[o.Name()] = o
	}
	configure(f)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); f.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return f, func(name string) (object.Object, bool) {
		mu.Lock()
		defer mu.Unlock()
		o, ok := latest[name]
		return o, ok
	}
}

// TestStalledWatchTimesOut stalls the connection of a watch. The feed must watch again
// early enough that an update of the object takes effect within 3 s.
func TestStalledWatchTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakeStore{objects: map[string]object.Object{}, version: 5}
		p.set(object.New("thing", "main", 6, nil))
		_, applied := startFeed(t, p, func(f *Feed) { f.WatchTimeout = 2 * time.Second })
		time.Sleep(time.Second)
		p.mu.Lock()
		p.stalled = true
		p.mu.Unlock()
		time.Sleep(2 * time.Second) // the waiting watch has ended; the next one is stalled
		p.set(object.New("thing", "main", 9, nil))
		p.mu.Lock()
		p.stalled = false
		p.mu.Unlock()
		time.Sleep(3 * time.Second)
		if o, _ := applied("main"); o.Version() != 9 {
			t.Errorf("version %d after 3 s, want 9", o.Version())
		}
	})
}

// TestMissingObjectIsDeletedAfterGrace checks that an object missing from a list counts
// as deleted after DeleteGrace and not before: entries that expired during an outage are
// registered again.
func TestMissingObjectIsDeletedAfterGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakeStore{objects: map[string]object.Object{}, version: 5}
		p.set(object.New("thing", "a", 6, nil))
		p.set(object.New("thing", "b", 7, nil))
		_, applied := startFeed(t, p, func(f *Feed) { f.WatchTimeout, f.DeleteGrace = time.Second, 2500*time.Millisecond })
		time.Sleep(500 * time.Millisecond)
		p.drop("a")
		p.drop("b")
		time.Sleep(2 * time.Second)
		p.set(object.New("thing", "b", 20, nil)) // registered again
		if o, _ := applied("a"); o.Deleted() {
			t.Error("a was deleted before the end of its grace")
		}
		time.Sleep(4 * time.Second)
		if o, _ := applied("a"); !o.Deleted() {
			t.Error("a is not deleted")
		}
		if o, _ := applied("b"); o.Deleted() || o.Version() != 20 {
			t.Errorf("b: version %d, deleted %t", o.Version(), o.Deleted())
		}
	})
}

// TestPeerObjectsAreMerged checks that an object from a peer is applied and that an older
// version from a peer changes nothing.
func TestPeerObjectsAreMerged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakeStore{objects: map[string]object.Object{}, version: 5}
		p.set(object.New("thing", "main", 6, nil))
		f, applied := startFeed(t, p, func(f *Feed) { f.WatchTimeout = time.Second })
		time.Sleep(100 * time.Millisecond)
		f.MergePeer("peer", []object.Object{object.New("thing", "main", 8, nil)}, 8)
		f.MergePeer("peer", []object.Object{object.New("thing", "main", 7, nil)}, 7)
		if o, _ := applied("main"); o.Version() != 8 {
			t.Errorf("version %d, want 8", o.Version())
		}
	})
}

// TestManyChangesTakeFewCalls writes a hundred objects within ten seconds, as a fleet that
// starts does. A few calls must fetch them all, the last within a second. The next
// change after a time without changes must be fetched at once.
func TestManyChangesTakeFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakeStore{objects: map[string]object.Object{}, version: 1}
		_, applied := startFeed(t, p, func(f *Feed) { f.WatchTimeout = 3 * time.Second })
		for i := range int64(100) {
			p.set(object.New("thing", fmt.Sprint("e-", i), 2+i, nil))
			time.Sleep(100 * time.Millisecond)
		}
		const maxCalls = 20
		p.mu.Lock()
		calls := p.calls
		p.mu.Unlock()
		if calls > maxCalls {
			t.Errorf("%d calls for 100 changes in 10 s, want at most %d", calls, maxCalls)
		}
		time.Sleep(time.Second)
		if _, ok := applied("e-99"); !ok {
			t.Error("the last object is not known after a second")
		}
		time.Sleep(5 * time.Second)
		p.set(object.New("thing", "late", 200, nil))
		time.Sleep(50 * time.Millisecond)
		if _, ok := applied("late"); !ok {
			t.Error("a change after a time without changes is not known within 50 ms")
		}
	})
}
