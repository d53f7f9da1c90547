package feed

import (
	"slices"
	"time"

	"github.com/apex/log"

	"jacinthladder.dev/internal/plat/object"
)

// Version returns the highest version of the known objects, including deleted ones, and 0
// if no object is known.
func (f *Feed) Version() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	var newest int64
	for _, o := range f.objects {
		newest = max(newest, o.Version())
	}
	return newest
}

// Since returns the known objects with a version above after, including deleted ones, in
// order of version. The second result is the result of Version.
func (f *Feed) Since(after int64) ([]object.Object, int64) {
	newest := f.Version()
	f.mu.Lock()
	defer f.mu.Unlock()
	var updates []object.Object
	for _, o := range f.objects {
		if o.Version() > after {
			updates = append(updates, o)
		}
	}
	slices.SortFunc(updates, byVersion)
	return updates, newest
}

// MergePeer stores and applies those objects from a peer that are newer than the objects
// that the feed knows. The peer is named as the source in calls of Apply. The last
// argument, the version up to which the peer's objects are complete, is not used: the
// feed watches the platform itself.
func (f *Feed) MergePeer(peer string, objects []object.Object, _ int64) {
	f.merge(peer, objects, copied)
}

// byVersion compares two objects by version, for sorting.
func byVersion(a, b object.Object) int {
	switch {
	case a.Version() < b.Version():
		return -1
	case a.Version() > b.Version():
		return 1
	}
	return 0
}

// evidence says what the version of an object proves about the time at which the object
// was written.
type evidence int

const (
	// written means that the object was written at its version: it comes from the events of
	// a watch, or the feed has concluded it.
	written evidence = iota
	// copied means that the object may have been written before its version, if that is the
	// first of an era: the platform came back from an older copy of its content, which has
	// what was deleted since.
	copied
)

// merge stores those of the given objects that are newer than the objects that the feed
// knows, and calls Apply with each of them, in order of version. If there are any, it then
// closes the channel that Changed returned. Source says where the objects come from:
// "platform" or a peer's name.
func (f *Feed) merge(source string, objects []object.Object, e evidence) {
	slices.SortFunc(objects, byVersion)
	f.applying.Lock()
	defer f.applying.Unlock()
	updates := f.store(objects, e)
	for _, o := range updates {
		f.Apply(source, o)
	}
	if len(updates) > 0 {
		f.mu.Lock()
		close(f.changed)
		f.changed = make(chan struct{})
		f.mu.Unlock()
	}
}

// store stores those of the given objects that are newer than the known ones, and returns
// them. They are no longer missing. It puts aside those that may have come back only with
// an older copy of the platform's content.
func (f *Feed) store(objects []object.Object, e evidence) []object.Object {
	f.mu.Lock()
	defer f.mu.Unlock()
	var updates []object.Object
	for _, o := range objects {
		old, ok := f.objects[o.Name()]
		if ok && !newer(o, old) {
			continue
		}
		if e == copied && old.Deleted() && !o.Deleted() && object.EraOf(o.Version()) > object.EraOf(old.Version()) {
			f.putAside(o, time.Now())
			continue
		}
		delete(f.missing, o.Name())
		delete(f.restored, o.Name())
		f.objects[o.Name()] = o
		updates = append(updates, o)
	}
	return updates
}

// lastStates returns the last state of each object in a page. An object that is deleted
// counts as deleted at the version of the page, up to which it was not written again.
func lastStates(page object.Page) []object.Object {
	last := map[string]object.Object{}
	for _, o := range page.Objects() {
		if old, ok := last[o.Name()]; !ok || newer(o, old) {
			last[o.Name()] = o
		}
	}
	states := make([]object.Object, 0, len(last))
	for _, o := range last {
		if o.Deleted() {
			o = object.Tombstone(o.Kind(), o.Name(), max(o.Version(), page.Version()))
		}
		states = append(states, o)
	}
	return states
}

// newer reports whether o, a received state of an object, is newer than its known state
// old. A deletion may have the version of the object's last change, so at the same
// version it is newer than that change.
func newer(o, old object.Object) bool {
	if o.Deleted() && !old.Deleted() {
		return o.Version() >= old.Version()
	}
	return o.Version() > old.Version()
}

// noteMissing records now as the time since which known objects have been missing from the
// platform, and forgets it of those that are back. Page is a list of all objects of the
// kind. noteMissing skips known objects that are newer than the list or were recorded
// before.
func (f *Feed) noteMissing(page object.Page, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	present := map[string]bool{}
	for _, o := range page.Objects() {
		present[o.Name()] = true
		delete(f.missing, o.Name())
	}
	for name, o := range f.objects {
		if _, known := f.missing[name]; !known && !present[name] && !o.Deleted() && o.Version() <= page.Version() {
			f.missing[name] = now
			f.logger.WithFields(log.Fields{"kind": f.kind, "name": name, "version": page.Version()}).Info("feed: an object is missing from the platform's list, kept for a while")
		}
	}
}

// deleteMissing applies a deletion of each known object that has been missing from the
// platform's lists for DeleteGrace. Version is that of the platform's last response.
func (f *Feed) deleteMissing(version int64, now time.Time) {
	var deleted []object.Object
	f.mu.Lock()
	for name, since := range f.missing {
		if now.Sub(since) >= f.DeleteGrace {
			delete(f.missing, name)
			deleted = append(deleted, object.Tombstone(f.kind, name, version))
			f.logger.WithFields(log.Fields{"kind": f.kind, "name": name, "ms": now.Sub(since).Milliseconds()}).Info("feed: an object stayed missing, it counts as deleted")
		}
	}
	f.mu.Unlock()
	f.merge(Platform, deleted, written)
}

// restoredObject is an object that was deleted and came back with an older copy of the
// platform's content.
type restoredObject struct {
	object object.Object
	since  time.Time
}

// putAside keeps o, which came back with an older copy of the platform's content, for
// acceptRestored. The caller holds f.mu.
func (f *Feed) putAside(o object.Object, now time.Time) {
	r, ok := f.restored[o.Name()]
	if !ok {
		r.since = now
		f.logger.WithFields(log.Fields{"kind": f.kind, "name": o.Name(), "version": o.Version()}).Info("feed: a deleted object came back with an older copy of the platform's content, put aside for a while")
	}
	r.object = o
	f.restored[o.Name()] = r
}

// acceptRestored applies the objects that were put aside restoreGrace ago. Page is the
// platform's last response: if it is a list, those that are missing from it are dropped.
func (f *Feed) acceptRestored(page object.Page, list bool, now time.Time) {
	var accepted []object.Object
	f.mu.Lock()
	for name, r := range f.restored {
		switch {
		case list && !slices.ContainsFunc(page.Objects(), func(o object.Object) bool { return o.Name() == name }):
			delete(f.restored, name)
		case now.Sub(r.since) >= restoreGrace:
			delete(f.restored, name)
			accepted = append(accepted, r.object)
		}
	}
	f.mu.Unlock()
	f.merge(Platform, accepted, written)
}
