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

// fakeStore is a store for objects of one kind. A test can stall its watches and remove
// objects together with the history.
type fakeStore struct {
	mu        sync.Mutex
	objects   map[string]object.Object
	version   int64
	stalled   bool // each watch with a wait above 0 returns only when its context ends, with an error
	failing   outage
	compacted int64 // a watch from a lower version fails, because the history before this version is not available
	calls     int   // number of watches so far
}

// outage is the way in which a store fails each call.
type outage int

const (
	noOutage outage = iota
	refusing        // an error comes at once
	silent          // no response comes
)

// set stores an object, at the version that the object gives.
func (p *fakeStore) set(o object.Object) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects[o.Name()] = o
	p.version = max(p.version, o.Version())
}

// drop removes an object and makes the history unavailable, so that a feed must list the
// kind again.
func (p *fakeStore) drop(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.objects, name)
	p.version++
	p.compacted = p.version
}

// restore puts the store back to an older copy of its content, which begins an era and has
// the named objects.
func (p *fakeStore) restore(era int64, names []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, name := range names {
		p.objects[name] = object.New("thing", name, object.VersionIn(era, 6+int64(i)), nil)
	}
	p.version = object.VersionIn(era, 10)
	p.compacted = p.version
}

// fail makes each further call fail in the given way.
func (p *fakeStore) fail(o outage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failing = o
}

// watch implements object.Store.Watch.
func (p *fakeStore) watch(ctx context.Context, _ string, after int64, wait time.Duration) (object.Page, error) {
	p.mu.Lock()
	p.calls++
	stalled := p.stalled && wait > 0 || p.failing == silent
	refused := p.failing == refusing
	p.mu.Unlock()
	if refused {
		return object.Page{}, object.ErrRefused
	}
	if stalled {
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

// startFeed starts a feed on p after configure has set its fields. The function applied
// returns the last state of an object that the feed has applied. Its second result is
// false if the feed has applied none. The feed stops at the end of the test.
func startFeed(t *testing.T, p *fakeStore, configure func(*Feed)) (f *Feed, applied func(name string) (object.Object, bool)) {
	f = New("thing", &object.Store{Watch: p.watch}, &log.Logger{Handler: discard.New()})
	var mu sync.Mutex
	latest := map[string]object.Object{}
	f.Apply = func(_ string, o object.Object) {
		mu.Lock()
		defer mu.Unlock()
		if old, ok := latest[o.Name()]; ok && old.Version() > o.Version() {
			t.Errorf("the feed applied object %s at version %d and then at the older version %d", o.Name(), old.Version(), o.Version())
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

// TestStalledWatchTimesOut stalls one watch, which then returns nothing. The feed must
// watch again early enough that an update made in the meantime is applied within 3 s.
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
			t.Errorf("3 s after the update of an object during a stalled watch, the feed has applied its version %d, want 9", o.Version())
		}
	})
}

// TestMissingObjectIsDeletedAfterGrace removes two objects, of which one is registered
// again within DeleteGrace, as entries that expired during an outage are. The other
// object must count as deleted after DeleteGrace and not before.
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
			t.Error("the feed deleted object a before DeleteGrace had passed since its removal, want it deleted only afterwards")
		}
		time.Sleep(4 * time.Second)
		if o, _ := applied("a"); !o.Deleted() {
			t.Error("the feed has not deleted object a although DeleteGrace has passed since its removal, want it deleted")
		}
		if o, _ := applied("b"); o.Deleted() || o.Version() != 20 {
			t.Errorf("object b, which was registered again as version 20, has version %d and deleted %t, want version 20, not deleted", o.Version(), o.Deleted())
		}
	})
}

// TestObjectRemovedInAnOutageIsDeletedWithinThreeSecondsOfItsEnd checks it for ends at all
// moments between two calls of the feed.
func TestObjectRemovedInAnOutageIsDeletedWithinThreeSecondsOfItsEnd(t *testing.T) {
	for _, failing := range []outage{refusing, silent} {
		for end := time.Duration(0); end < 3*time.Second; end += 100 * time.Millisecond {
			synctest.Test(t, func(t *testing.T) {
				p := &fakeStore{objects: map[string]object.Object{}, version: 5}
				p.set(object.New("thing", "a", 6, nil))
				p.set(object.New("thing", "b", 7, nil))
				_, applied := startFeed(t, p, func(f *Feed) { f.WatchTimeout, f.DeleteGrace = 2*time.Second, 2*time.Second })
				time.Sleep(500 * time.Millisecond)
				p.fail(failing)
				time.Sleep(4*time.Second + end)
				p.drop("a")
				p.fail(noOutage)
				time.Sleep(3 * time.Second)
				if o, _ := applied("a"); !o.Deleted() {
					t.Errorf("outage %d that ended after %s: 3 s later the feed has not deleted the object removed in it, want it deleted", failing, 4*time.Second+end)
				}
			})
		}
	}
}

// TestPeerObjectsAreMerged checks that MergePeer applies a newer version of an object, and
// that an older version passed to it afterwards changes nothing.
func TestPeerObjectsAreMerged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakeStore{objects: map[string]object.Object{}, version: 5}
		p.set(object.New("thing", "main", 6, nil))
		f, applied := startFeed(t, p, func(f *Feed) { f.WatchTimeout = time.Second })
		time.Sleep(100 * time.Millisecond)
		f.MergePeer("peer", []object.Object{object.New("thing", "main", 8, nil)}, 8)
		f.MergePeer("peer", []object.Object{object.New("thing", "main", 7, nil)}, 7)
		if o, _ := applied("main"); o.Version() != 8 {
			t.Errorf("after MergePeer with version 8 and then version 7 of an object, the feed has applied version %d, want 8", o.Version())
		}
	})
}

// TestManyChangesTakeFewCalls writes a hundred objects within ten seconds, as a fleet that
// starts does. At most 20 calls may fetch them, and the last object must be applied within
// a second. A change after 5 s without changes must be applied within 50 ms.
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
			t.Errorf("the feed made %d calls for 100 changes in 10 s, want at most %d", calls, maxCalls)
		}
		time.Sleep(time.Second)
		if _, ok := applied("e-99"); !ok {
			t.Error("the feed has not applied the last of 100 changed objects a second after its change, want it applied")
		}
		time.Sleep(5 * time.Second)
		p.set(object.New("thing", "late", 200, nil))
		time.Sleep(50 * time.Millisecond)
		if _, ok := applied("late"); !ok {
			t.Error("the feed has not applied a change within 50 ms, after 5 s without changes, want it applied")
		}
	})
}

// TestDeletionReachesFeedThatOnlyHearsFromPeer checks it for an object whose event gives the
// version of its last change, and for one that was written again before the same response.
func TestDeletionReachesFeedThatOnlyHearsFromPeer(t *testing.T) {
	newFeed := func() *Feed {
		f := New("thing", nil, &log.Logger{Handler: discard.New()})
		f.Apply = func(string, object.Object) {}
		return f
	}
	hears, away := newFeed(), newFeed()
	both := func() object.Page {
		return object.NewPage([]object.Object{object.New("thing", "a", 6, nil), object.New("thing", "b", 7, nil)}, 7)
	}
	hears.merge("platform", lastStates(both()), copied)
	away.merge("platform", lastStates(both()), copied)
	hears.merge("platform", lastStates(object.NewPage([]object.Object{
		object.Tombstone("thing", "a", 6), object.Tombstone("thing", "b", 7), object.New("thing", "b", 9, nil),
	}, 10)), written)
	objects, complete := hears.Since(away.Version())
	away.MergePeer("peer", objects, complete)
	if o := away.objects["a"]; !o.Deleted() {
		t.Errorf("the feed has object a at version %d, not deleted, want it deleted as at the peer", o.Version())
	}
	if o := away.objects["b"]; o.Deleted() || o.Version() != 9 {
		t.Errorf("object b has version %d and deleted %t, want the version 9 of the peer", o.Version(), o.Deleted())
	}
	if away.Version() != hears.Version() {
		t.Errorf("after the merge the feed has version %d, want %d, that of the peer", away.Version(), hears.Version())
	}
}

// TestDeletedObjectIsNotReadyAgainWithAnOlderCopy deletes two objects, then replaces the
// content by an older copy, which has both. One is deleted again, the other one is not.
func TestDeletedObjectIsNotReadyAgainWithAnOlderCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakeStore{objects: map[string]object.Object{}, version: 5}
		names := []string{"again", "stays", "anew"}
		for i, name := range names {
			p.set(object.New("thing", name, 6+int64(i), nil))
		}
		_, applied := startFeed(t, p, func(f *Feed) { f.WatchTimeout = time.Second })
		time.Sleep(500 * time.Millisecond)
		for _, name := range names {
			p.drop(name)
		}
		time.Sleep(2 * time.Second)
		p.restore(1, names)
		requireDeleted := func(after time.Duration, want map[string]bool) {
			t.Helper()
			time.Sleep(after)
			for name, deleted := range want {
				if o, _ := applied(name); o.Deleted() != deleted {
					t.Errorf("object %s at version %d: deleted is %t, want %t", name, o.Version(), o.Deleted(), deleted)
				}
			}
		}
		requireDeleted(2*time.Second, map[string]bool{"again": true, "stays": true, "anew": true})
		p.set(object.New("thing", "anew", object.VersionIn(1, 20), nil))
		requireDeleted(1500*time.Millisecond, map[string]bool{"again": true, "stays": true, "anew": false})
		p.drop("again")
		requireDeleted(3*time.Second, map[string]bool{"again": true, "stays": false, "anew": false})
	})
}
