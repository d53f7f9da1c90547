package origin

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"jacinthladder.dev/internal/plat/object"
)

// Guards against streams that go on at another version after the store has come back from a copy that
// is older than the list of versions.
func TestListedVersionsSurviveALossOfTheStore(t *testing.T) {
	f := newFleet(t)
	a, b := f.start("a"), f.start("b")
	f.setVersions(t, a, "v1")
	older := f.copyObjects()
	f.setVersions(t, a, "v1", "v2")
	f.waitFor(t, "the other instance knows it too", func() bool { return b.Listed("s", "v2") })
	a.Began("q2", Origin{"s", "v2"}, time.Now().Add(time.Second))
	f.restore(older)
	f.kill("a")
	for _, name := range []string{"b", "c"} { // c has not seen the list before the loss
		r := b
		if name == "c" {
			r = f.start("c")
		}
		for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
			if v, err := find(r, "q2"); err == nil && v != "v2" {
				t.Fatalf("instance %s: the stream began at v2 and is to go on at %q", name, v)
			}
		}
	}
	if got := f.listing(); !slices.Equal(got, []string{"v1", "v2"}) {
		t.Errorf("the platform lists %v, want v1 and v2 again", got)
	}
}

// Guards against take-ups that are refused for long after a loss of the store, when all instances that
// knew the list have ended with it.
func TestTakeUpsGoOnAfterALossOfTheStoreAndAKillOfAll(t *testing.T) {
	f := newFleet(t)
	a := f.start("a")
	f.setVersions(t, a, "v1")
	f.restore(f.copyObjects())
	f.kill("a")
	b := f.start("b")
	if _, err := find(b, "lost"); !errors.Is(err, ErrUnreachable) {
		t.Errorf("just after the loss: got error %v, want ErrUnreachable", err)
	}
	f.waitFor(t, "take-ups go on at the one version", func() bool {
		v, err := find(b, "lost")
		return err == nil && v == "v1"
	})
}

// Guards against stored origins that stay lost after the store has come back from an older copy.
func TestStoredOriginsAreWrittenAgainAfterALossOfTheStore(t *testing.T) {
	f := newFleet(t)
	a := f.start("a")
	f.setVersions(t, a, "v1", "v2")
	older := f.copyObjects()
	a.Began("q2", Origin{"s", "v2"}, time.Now().Add(time.Minute))
	stored := func() bool { return len(f.copyObjects()[StreamsKind+"/a"].Value()) > 0 }
	f.waitFor(t, "the origin is stored", stored)
	f.restore(older)
	f.waitFor(t, "the origin is stored again", stored)
	f.kill("a")
	b := f.start("b")
	f.waitFor(t, "the stream goes on at its version", func() bool {
		v, err := find(b, "q2")
		return err == nil && v == "v2"
	})
}

// The build before writes the list without the era. What it adds must not keep take-ups from going on,
// and what it finds must be readable for it.
func TestListWithoutEraOfTheBuildBefore(t *testing.T) {
	f := newFleet(t)
	f.era = 3
	before := func(services string) {
		f.platform.mu.Lock()
		defer f.platform.mu.Unlock()
		f.version++
		f.objects[VersionsKind+"/"+versionsName] = object.New(VersionsKind, versionsName, f.version, []byte(`{"services":`+services+`}`))
	}
	before(`{"s":["v1"]}`)
	a := f.start("a")
	goesOn := func() bool {
		v, err := find(a, "lost")
		return err == nil && v == "v1"
	}
	f.waitFor(t, "take-ups go on at the one version", goesOn)
	before(`{"s":["v1"],"other":["v9"]}`)
	f.waitFor(t, "take-ups go on after the build before has written the list", goesOn)
}

// Guards against streams of a split route that are lost with the instance that relayed them.
func TestServiceOfASplitRouteIsFoundAfterTheStopOfAnInstance(t *testing.T) {
	f := newFleet(t)
	a, b := f.start("a"), f.start("b")
	f.setVersions(t, a, "v1")
	a.Began("q0", Origin{"s", "v1"}, time.Now().Add(time.Minute)) // before the route is split
	time.Sleep(2 * minStoreInterval)
	f.mu.Lock()
	f.versions = map[string][]string{"s": {"v1"}, "other": {"v1"}}
	f.split = map[string]bool{"s": true, "other": true}
	f.mu.Unlock()
	f.waitFor(t, "the other service is listed", func() bool { return b.Listed("other", "v1") })
	a.Began("q1", Origin{"other", "v1"}, time.Now().Add(time.Minute))
	a.Began("q2", Origin{"s", "v1"}, time.Now().Add(time.Minute))
	time.Sleep(2 * minStoreInterval)
	f.kill("a")
	for id, want := range map[string]Origin{"q0": {"s", "v1"}, "q1": {"other", "v1"}, "q2": {"s", "v1"}} {
		if o, err := b.Find(context.Background(), id, []string{"s", "other"}); o != want || err != nil {
			t.Errorf("stream %s: got origin %v, error %v, want %v", id, o, err, want)
		}
	}
	if o, err := b.Find(context.Background(), "lost", []string{"s", "other"}); !errors.Is(err, ErrUnknown) {
		t.Errorf("a stream that nobody relayed: got origin %v, error %v, want ErrUnknown", o, err)
	}
}

// Guards against origins that die with an instance which the platform turns away:
// peers know them, and store them with their own.
func TestPeersStoreOriginsOfAnInstanceThatIsTurnedAway(t *testing.T) {
	f := newFleet(t)
	a, b := f.start("a"), f.start("b")
	f.setVersions(t, a, "v1", "v2")
	f.setVersions(t, b, "v1", "v2")
	a.Store.Put = func(context.Context, string, string, int64, []byte) (int64, error) { return 0, object.ErrRefused }
	if len(a.Unstored()) > 0 {
		t.Error("origins are handed to peers by an instance that can store them")
	}
	a.Began("q1", Origin{"s", "v1"}, time.Now().Add(time.Minute))
	a.Began("q2", Origin{"s", "v2"}, time.Now().Add(time.Minute))
	f.waitFor(t, "the origins count as not stored", func() bool { return len(a.Unstored()) == 2 })
	b.Keep(a.Unstored())
	if len(b.Unstored()) > 0 {
		t.Error("a peer hands on what was handed to it")
	}
	f.kill("a")
	check := func(r *Register) {
		t.Helper()
		for id, want := range map[string]string{"q1": "v1", "q2": "v2"} {
			if v, err := find(r, id); v != want || err != nil {
				t.Errorf("stream %s: got version %q, error %v, want %s", id, v, err, want)
			}
		}
	}
	check(b)
	f.waitFor(t, "the peer has stored them", func() bool { return len(f.copyObjects()[StreamsKind+"/b"].Value()) > 0 })
	f.kill("b")
	check(f.start("c"))
}
