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

// platform is a store of one kind whose watches can fall silent.
type platform struct {
	mu      sync.Mutex
	objects map[string]object.Object
	version int64
	silent  bool  // watches that wait hear nothing, not even their time-out
	gone    int64 // history up to this version is gone
	calls   int
}

func (p *platform) set(o object.Object) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects[o.Name()] = o
	p.version = max(p.version, o.Version())
}

func (p *platform) drop(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.objects, name)
	p.version++
	p.gone = p.version
}

func (p *platform) watch(ctx context.Context, _ string, after int64, wait time.Duration) (object.Page, error) {
	p.mu.Lock()
	p.calls++
	silent := p.silent
	p.mu.Unlock()
	if silent && wait > 0 {
		<-ctx.Done()
		return object.Page{}, object.ErrUnknownOutcome
	}
	end := time.Now().Add(wait)
	for {
		p.mu.Lock()
		if after > 0 && after < p.gone {
			p.mu.Unlock()
			return object.Page{}, object.ErrExpired
		}
		var fresh []object.Object
		for _, o := range p.objects {
			if o.Version() > after {
				fresh = append(fresh, o)
			}
		}
		version := p.version
		p.mu.Unlock()
		if len(fresh) > 0 || !time.Now().Before(end) {
			return object.NewPage(fresh, version), nil
		}
		select {
		case <-ctx.Done():
			return object.Page{}, object.ErrUnknownOutcome
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// follow starts a feed and returns what it has applied, by name.
func follow(t *testing.T, p *platform, tune func(*Feed)) (f *Feed, applied func(name string) (object.Object, bool)) {
	f = New("thing", &object.Store{Watch: p.watch}, &log.Logger{Handler: discard.New()})
	var mu sync.Mutex
	seen := map[string]object.Object{}
	f.Apply = func(_ string, o object.Object) {
		mu.Lock()
		defer mu.Unlock()
		if old, ok := seen[o.Name()]; ok && old.Version() > o.Version() {
			t.Errorf("%s stepped back from %d to %d", o.Name(), old.Version(), o.Version())
		}
		seen[o.Name()] = o
	}
	tune(f)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); f.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return f, func(name string) (object.Object, bool) {
		mu.Lock()
		defer mu.Unlock()
		o, ok := seen[name]
		return o, ok
	}
}

// A watch whose connection has fallen silent is made anew in time for what its
// object says to be in force.
func TestSilentWatchIsMadeAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &platform{objects: map[string]object.Object{}, version: 5}
		p.set(object.New("thing", "main", 6, nil))
		_, applied := follow(t, p, func(f *Feed) { f.WatchTimeout = 2 * time.Second })
		time.Sleep(time.Second)
		p.mu.Lock()
		p.silent = true
		p.mu.Unlock()
		time.Sleep(2 * time.Second) // the watch that waits has ended, the next is silent
		p.set(object.New("thing", "main", 9, nil))
		p.mu.Lock()
		p.silent = false
		p.mu.Unlock()
		time.Sleep(3 * time.Second)
		if o, _ := applied("main"); o.Version() != 9 {
			t.Errorf("version %d after 3 s, want 9", o.Version())
		}
	})
}

// An object that is missing from a list counts as deleted after its time, not
// before: entries that lapsed in an outage come back.
func TestMissingObjectIsGoneAfterItsTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &platform{objects: map[string]object.Object{}, version: 5}
		p.set(object.New("thing", "a", 6, nil))
		p.set(object.New("thing", "b", 7, nil))
		_, applied := follow(t, p, func(f *Feed) { f.WatchTimeout, f.DeleteGrace = time.Second, 2500*time.Millisecond })
		time.Sleep(500 * time.Millisecond)
		p.drop("a")
		p.drop("b")
		time.Sleep(2 * time.Second)
		p.set(object.New("thing", "b", 20, nil)) // it is back
		if o, _ := applied("a"); o.Deleted() {
			t.Error("a is gone before its time")
		}
		time.Sleep(4 * time.Second)
		if o, _ := applied("a"); !o.Deleted() {
			t.Error("a is still there")
		}
		if o, _ := applied("b"); o.Deleted() || o.Version() != 20 {
			t.Errorf("b: version %d, deleted %t", o.Version(), o.Deleted())
		}
	})
}

// What a peer knows counts as heard, and an older word changes nothing.
func TestPeersWordCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &platform{objects: map[string]object.Object{}, version: 5}
		p.set(object.New("thing", "main", 6, nil))
		f, applied := follow(t, p, func(f *Feed) { f.WatchTimeout = time.Second })
		time.Sleep(100 * time.Millisecond)
		f.MergePeer("peer", []object.Object{object.New("thing", "main", 8, nil)}, 8)
		f.MergePeer("peer", []object.Object{object.New("thing", "main", 7, nil)}, 7)
		if o, _ := applied("main"); o.Version() != 8 {
			t.Errorf("version %d, want 8", o.Version())
		}
	})
}

// A fleet that starts enters a hundred objects within ten seconds. Few calls bring
// them all, the last within a second, and the next change after a quiet time comes
// at once.
func TestManyChangesTakeFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &platform{objects: map[string]object.Object{}, version: 1}
		_, applied := follow(t, p, func(f *Feed) { f.WatchTimeout = 3 * time.Second })
		for i := range int64(100) {
			p.set(object.New("thing", fmt.Sprint("e-", i), 2+i, nil))
			time.Sleep(100 * time.Millisecond)
		}
		const mostCalls = 20
		p.mu.Lock()
		calls := p.calls
		p.mu.Unlock()
		if calls > mostCalls {
			t.Errorf("%d calls for 100 changes in 10 s, want at most %d", calls, mostCalls)
		}
		time.Sleep(time.Second)
		if _, ok := applied("e-99"); !ok {
			t.Error("the last of them is not known after a second")
		}
		time.Sleep(5 * time.Second)
		p.set(object.New("thing", "late", 200, nil))
		time.Sleep(50 * time.Millisecond)
		if _, ok := applied("late"); !ok {
			t.Error("a change after a quiet time is not known at once")
		}
	})
}
