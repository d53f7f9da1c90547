package origin

import (
	"context"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cockroachdb/errors"

	"jacinthladder.dev/internal/plat/object"
)

// platform is a store in memory for the objects of registers.
type platform struct {
	mu      sync.Mutex
	objects map[string]object.Object // by kind and name
	version int64
	era     int64
	down    bool
}

// copyObjects returns the objects as they are now.
func (p *platform) copyObjects() map[string]object.Object {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.objects)
}

// restore puts the platform back to older objects, in a new era.
func (p *platform) restore(objects map[string]object.Object) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects = objects
	p.era++
}

// listing returns the versions of service s that the platform has listed.
func (p *platform) listing() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, err := decodeListing(p.objects[VersionsKind+"/"+versionsName].Value())
	if err != nil {
		return nil
	}
	return l.listing["s"]
}

func (p *platform) store() *object.Store {
	return &object.Store{
		Get: func(_ context.Context, kind, name string) (object.Object, error) {
			p.mu.Lock()
			defer p.mu.Unlock()
			o, ok := p.objects[kind+"/"+name]
			switch {
			case p.down:
				return o, object.ErrRefused
			case !ok:
				return o, object.ErrNotFound
			}
			return o, nil
		},
		Put: func(_ context.Context, kind, name string, version int64, value []byte) (int64, error) {
			p.mu.Lock()
			defer p.mu.Unlock()
			switch {
			case p.down:
				return 0, object.ErrRefused
			case p.objects[kind+"/"+name].Version() != version:
				return 0, object.ErrConflict
			}
			p.version++
			p.objects[kind+"/"+name] = object.New(kind, name, p.version, value)
			return p.version, nil
		},
		Watch: func(_ context.Context, kind string, _ int64, _ time.Duration) (object.Page, error) {
			p.mu.Lock()
			defer p.mu.Unlock()
			if p.down {
				return object.Page{}, object.ErrRefused
			}
			var objects []object.Object
			for _, o := range p.objects {
				if o.Kind() == kind {
					objects = append(objects, o)
				}
			}
			return object.NewPage(objects, p.version), nil
		},
		Era: func() (int64, bool) {
			p.mu.Lock()
			defer p.mu.Unlock()
			return p.era, true
		},
	}
}

// fleet is a number of registers at one platform, which ask each other.
type fleet struct {
	*platform
	mu       sync.Mutex
	versions map[string][]string
	members  map[string]*Register // that run, by name
	stops    map[string]func()
	partial  bool // a peer does not reply
	split    map[string]bool
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{
		platform: &platform{objects: map[string]object.Object{}}, versions: map[string][]string{},
		members: map[string]*Register{}, stops: map[string]func(){},
	}
	t.Cleanup(func() {
		for name := range f.stops {
			f.kill(name)
		}
	})
	return f
}

// start starts a register under a name.
func (f *fleet) start(name string) *Register {
	r := &Register{
		Instance: name, Store: f.store(), Members: func() int { return 1 }, Logger: &log.Logger{Handler: discard.New()},
		Versions: func() map[string][]string {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.versions
		},
		Split: func() map[string]bool {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.split
		},
		Changed: func() <-chan struct{} { return nil },
		Ask: func(_ context.Context, id string) (Origin, bool, bool) {
			f.mu.Lock()
			defer f.mu.Unlock()
			for other, r := range f.members {
				if o, ok := r.Known(id); ok && other != name {
					return o, true, true
				}
			}
			return Origin{}, false, !f.partial
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.Run(ctx)
	}()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members[name], f.stops[name] = r, func() { cancel(); <-done }
	return r
}

// kill ends a register, which forgets all.
func (f *fleet) kill(name string) {
	f.mu.Lock()
	stop := f.stops[name]
	delete(f.members, name)
	delete(f.stops, name)
	f.mu.Unlock()
	stop()
}

// setVersions sets the versions of the endpoints of service s, and waits until r knows them to be
// listed.
func (f *fleet) setVersions(t *testing.T, r *Register, versions ...string) {
	t.Helper()
	f.mu.Lock()
	f.versions = map[string][]string{"s": versions}
	f.mu.Unlock()
	f.waitFor(t, "the versions are listed", func() bool {
		return !slices.ContainsFunc(versions, func(v string) bool { return !r.Listed("s", v) })
	})
}

func (f *fleet) waitFor(t *testing.T, condition string, met func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !met(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not met within 5 s: %s", condition)
		}
	}
}

// find returns what r finds of a stream, or the error.
func find(r *Register, id string) (string, error) {
	o, err := r.Find(context.Background(), id, []string{"s"})
	return o.Version, err
}

func (f *fleet) setDown(down bool) {
	f.platform.mu.Lock()
	defer f.platform.mu.Unlock()
	f.down = down
}

func TestOriginIsFoundAfterAKillOfAllInstances(t *testing.T) {
	f := newFleet(t)
	a, b := f.start("a"), f.start("b")
	f.setVersions(t, a, "v1")
	f.setVersions(t, b, "v1", "v2")
	a.Began("q1", Origin{"s", "v1"}, time.Now().Add(time.Second))
	b.Began("q2", Origin{"s", "v2"}, time.Now().Add(time.Second))
	if v, err := find(b, "q1"); v != "v1" || err != nil {
		t.Errorf("before the kill: got version %q, error %v, want v1 from the peer", v, err)
	}
	f.waitFor(t, "both instances have stored origins", func() bool {
		f.platform.mu.Lock()
		defer f.platform.mu.Unlock()
		return f.objects[StreamsKind+"/a"].Version() > 0 && f.objects[StreamsKind+"/b"].Version() > 0
	})
	f.kill("a")
	f.kill("b")
	f.versions = map[string][]string{"s": {"v2"}} // v1 has left
	b = f.start("b")
	b.Began("q3", Origin{"s", "v2"}, time.Now().Add(time.Second))
	for id, want := range map[string]string{"q1": "v1", "q2": "v2", "q3": "v2"} {
		if v, err := find(b, id); v != want || err != nil {
			t.Errorf("after the kill: got version %q of %s, error %v, want %s", v, id, err, want)
		}
	}
	time.Sleep(3 * minStoreInterval) // the next write must keep what the earlier process has written
	f.kill("b")
	a = f.start("a")
	if v, err := find(a, "q2"); v != "v2" || err != nil {
		t.Errorf("after a second kill: got version %q, error %v, want v2", v, err)
	}
}

func TestUnknownOriginIsNotDerivedFromPresentEndpoints(t *testing.T) {
	f := newFleet(t)
	a := f.start("a")
	f.setVersions(t, a, "v1")
	if v, err := find(a, "lost"); v != "v1" || err != nil {
		t.Errorf("one version was ever listed: got %q, error %v, want v1", v, err)
	}
	if _, err := a.Find(context.Background(), "lost", []string{"s", "other"}); !errors.Is(err, ErrUnknown) {
		t.Errorf("one of two services: got error %v, want ErrUnknown", err)
	}
	f.setVersions(t, a, "v1", "v2")
	f.setVersions(t, a, "v2")
	if v, err := find(a, "lost"); !errors.Is(err, ErrUnknown) {
		t.Errorf("the other version has left: got %q, error %v, want ErrUnknown", v, err)
	}
	if v, err := find(a, ""); !errors.Is(err, ErrUnknown) {
		t.Errorf("request that names no other: got %q, error %v, want ErrUnknown", v, err)
	}
	f.partial = true
	if v, err := find(a, "lost"); !errors.Is(err, ErrUnreachable) {
		t.Errorf("a peer does not reply: got %q, error %v, want ErrUnreachable", v, err)
	}
	f.partial = false
	f.setDown(true)
	if v, err := find(a, "lost"); !errors.Is(err, ErrUnreachable) {
		t.Errorf("the platform is away: got %q, error %v, want ErrUnreachable", v, err)
	}
}

func TestStreamsBeginOnlyAtListedVersions(t *testing.T) {
	f := newFleet(t)
	a := f.start("a")
	f.setVersions(t, a, "v1")
	f.setDown(true)
	f.mu.Lock()
	f.versions = map[string][]string{"s": {"v1", "v2"}}
	f.mu.Unlock()
	time.Sleep(2 * listInterval)
	if a.Listed("s", "v2") || !a.Listed("s", "v1") {
		t.Error("a version counts as listed that the platform does not have, or one no longer that it has")
	}
	f.setDown(false)
	f.waitFor(t, "the new version is listed", func() bool { return a.Listed("s", "v2") })
}

func TestUnreadableObjectsAreReplaced(t *testing.T) {
	f := newFleet(t)
	for _, o := range []object.Object{
		object.New(VersionsKind, versionsName, 1, []byte("[[[")),
		object.New(StreamsKind, "a", 2, []byte(`{"streams":7}`)),
		object.New(StreamsKind, "other", 3, []byte(`{"streams":[{"service":"s","version":"v9","ids":"AAAA"}]}`)),
	} {
		f.objects[o.Kind()+"/"+o.Name()], f.version = o, o.Version()
	}
	a := f.start("a")
	f.setVersions(t, a, "v1")
	if v, err := find(a, "lost"); !errors.Is(err, ErrUnknown) {
		t.Errorf("the list was unreadable: got %q, error %v, want ErrUnknown", v, err)
	}
	a.Began("q1", Origin{"s", "v1"}, time.Now().Add(time.Second))
	f.waitFor(t, "origins are stored", func() bool {
		f.platform.mu.Lock()
		defer f.platform.mu.Unlock()
		return f.objects[StreamsKind+"/a"].Version() > 3
	})
	f.kill("a")
	if v, err := find(f.start("b"), "q1"); v != "v1" || err != nil {
		t.Errorf("got %q, error %v, want v1", v, err)
	}
}

func TestVersionWithoutEndpointsIsTakenOffTheList(t *testing.T) {
	f := newFleet(t)
	a := f.start("a")
	f.setVersions(t, a, "v1", "v2")
	f.mu.Lock()
	f.versions = map[string][]string{"s": {"v2"}}
	f.mu.Unlock()
	now := time.Now()
	a.noteSeen(now)
	if a.noteSeen(now.Add(forgetTime + time.Second)); a.Listed("s", "v1") || !a.Listed("s", "v2") {
		t.Error("a version without endpoints counts as listed after forgetTime, or one with endpoints does not")
	}
	if err := a.retire(context.Background(), now.Add(retireTime+time.Second)); err != nil {
		t.Fatal(err)
	}
	if v, err := find(a, "lost"); v != "v2" || err != nil {
		t.Errorf("one version is left: got %q, error %v, want v2", v, err)
	}
	a.mu.Lock()
	a.seenAt[Origin{"s", "v1"}] = now.Add(-time.Hour)
	a.mu.Unlock()
	a.Merge(map[string][]string{"s": {"v1"}})
	if a.Listed("s", "v1") {
		t.Error("a version that was taken off the list came back from a peer")
	}
	f.setVersions(t, a, "v1", "v2")
	if v, err := find(a, "lost"); !errors.Is(err, ErrUnknown) {
		t.Errorf("the version is back: got %q, error %v, want ErrUnknown", v, err)
	}
}

func TestTakeUpsAfterAKillShareReadsFromThePlatform(t *testing.T) {
	f := newFleet(t)
	a := f.start("a")
	f.setVersions(t, a, "v1", "v2")
	reads := 0
	store := f.store()
	watch := store.Watch
	store.Watch = func(ctx context.Context, kind string, after int64, wait time.Duration) (object.Page, error) {
		reads++
		return watch(ctx, kind, after, wait)
	}
	a.Store = store
	var takeUps sync.WaitGroup
	for range 500 {
		takeUps.Go(func() {
			if _, err := find(a, "lost"); !errors.Is(err, ErrUnknown) {
				t.Errorf("got error %v, want ErrUnknown", err)
			}
		})
		time.Sleep(time.Millisecond)
	}
	takeUps.Wait()
	if most := int(2 * time.Second / minReadInterval); reads > most {
		t.Errorf("500 take-ups in half a second read from the platform %d times, want at most %d", reads, most)
	}
}
