package feed

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"jacinthladder.dev/internal/fleet/pause"
	"jacinthladder.dev/internal/plat/object"
)

const (
	// defaultWatchTimeout is the value of Feed.WatchTimeout that New sets.
	defaultWatchTimeout = 20 * time.Second
	// probeTimeout is the maximum time that a watch after a failed call waits for an
	// update. It is short, so that another stalled connection does not delay the next
	// update.
	probeTimeout = 500 * time.Millisecond
	// responseTimeout is how long a response of the platform may take beyond the time
	// that the watch waits for an update.
	responseTimeout = 900 * time.Millisecond
	// minBatchDelay is the delay between a response of the platform and the next call, so
	// that one call fetches changes that are close together. While each response has
	// updates, the delay doubles from call to call, up to maxBatchDelay. Without the
	// delay, each instance would make a call for each object that changes when a fleet
	// starts or is updated instance by instance.
	minBatchDelay = 120 * time.Millisecond
	maxBatchDelay = 800 * time.Millisecond
	// minBackoff and maxBackoff are the first and the longest delay, before jitter,
	// between a failed call and the next one.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
)

// Feed follows the changes of the objects of one kind. Make one with New, and set Apply
// before use.
type Feed struct {
	kind   string
	store  *object.Store
	logger log.Interface

	// DeleteGrace is how long an object must be missing from the platform's lists
	// before it counts as deleted; 0 means that it counts as deleted at once.
	DeleteGrace time.Duration
	// WatchTimeout is how long a watch waits for an update before the feed makes a new
	// call. New sets a default.
	WatchTimeout time.Duration
	// Apply is called with each received object that is newer than the version of this
	// object that the feed knows. Source says where it comes from: "platform" or a peer's
	// name. The objects of one response are passed one at a time
	// in order of version. MergePeer and Run can call Apply at the same time.
	Apply func(source string, o object.Object)

	mu          sync.Mutex
	objects     map[string]object.Object // known objects by name, including deleted ones
	missing     map[string]time.Time     // when a known object was first missing from a list of the platform, by name
	watched     int64                    // platform version up to which the feed has all changes; 0 makes the next fetch list all objects
	listed      bool                     // all objects of the kind were listed at least once
	changed     chan struct{}            // closed and replaced after each change
	unavailable bool                     // the last call to the platform failed, other than with object.ErrExpired
	heardAt     time.Time                // when the platform last responded, zero before the first response
}

// New returns a feed without objects for the given kind. The caller must set Apply.
func New(kind string, store *object.Store, logger log.Interface) *Feed {
	return &Feed{
		kind: kind, store: store, logger: logger, WatchTimeout: defaultWatchTimeout,
		objects: map[string]object.Object{}, missing: map[string]time.Time{}, changed: make(chan struct{}),
	}
}

// Listed reports whether the feed has received at least one response of the platform. The
// first response lists all objects of the kind.
func (f *Feed) Listed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listed
}

// Age returns the time since the platform last responded to this feed. Before the first
// response it is 0.
func (f *Feed) Age(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.heardAt.IsZero() {
		return 0
	}
	return now.Sub(f.heardAt)
}

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

// Changed returns a channel that is closed after the feed has applied the next change of
// any object.
func (f *Feed) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Since returns the known objects with a version above after, in order of version. It
// leaves out deleted objects. The second result is the result of Version: the highest
// version of the known objects, including deleted ones.
func (f *Feed) Since(after int64) ([]object.Object, int64) {
	newest := f.Version()
	f.mu.Lock()
	defer f.mu.Unlock()
	var updates []object.Object
	for _, o := range f.objects {
		if o.Version() > after && !o.Deleted() {
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
func (f *Feed) MergePeer(peer string, objects []object.Object, _ int64) { f.merge(peer, objects) }

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

// merge stores those of the given objects that are newer than the objects that the feed
// knows, and calls Apply with each of them, in order of version. If there are any, it then
// closes the channel that Changed returned. Source says where the objects come from:
// "platform" or a peer's name.
func (f *Feed) merge(source string, objects []object.Object) {
	objects = slices.Clone(objects)
	slices.SortFunc(objects, byVersion)
	f.mu.Lock()
	var updates []object.Object
	for _, o := range objects {
		delete(f.missing, o.Name())
		if old, ok := f.objects[o.Name()]; ok && !newer(o, old) {
			continue
		}
		f.objects[o.Name()] = o
		updates = append(updates, o)
	}
	f.mu.Unlock()
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

// newer reports whether o, a received state of an object, is newer than its known state
// old. A deletion may have the version of the object's last change, so at the same
// version it is newer than that change.
func newer(o, old object.Object) bool {
	if o.Deleted() && !old.Deleted() {
		return o.Version() >= old.Version()
	}
	return o.Version() > old.Version()
}

// Run lists all objects of the kind on the platform and then watches the kind for changes,
// until ctx ends. It calls Apply with each update. Between calls to the platform it waits
// for minBatchDelay to maxBatchDelay, and after failed calls it backs off.
func (f *Feed) Run(ctx context.Context) {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = minBackoff, maxBackoff
	wait, delay := time.Duration(0), minBatchDelay
	for ctx.Err() == nil {
		changed, err := f.fetch(ctx, wait)
		switch {
		case err == nil:
			b.Reset()
			wait = f.nextTimeout()
			pause.For(ctx, delay)
			delay = min(2*delay, maxBatchDelay)
			if !changed {
				delay = minBatchDelay
			}
			continue
		case errors.Is(err, object.ErrExpired):
			f.relist()
			wait = 0
			continue
		}
		wait = min(wait, probeTimeout)
		pause.For(ctx, b.NextBackOff())
	}
}

// nextTimeout returns how long the next watch may wait for an update. That is
// WatchTimeout, or a quarter of DeleteGrace while a known object is missing from the
// platform's list, so that the feed deletes the object soon after DeleteGrace ends.
func (f *Feed) nextTimeout() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.missing) > 0 {
		return f.DeleteGrace / 4
	}
	return f.WatchTimeout
}

// relist makes the next call of fetch list all objects of the kind, instead of watching
// the kind for changes.
func (f *Feed) relist() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.watched = 0
}

// fetch lists all objects of the kind on the platform if the field watched is 0. Otherwise
// it watches the kind from that version, and the platform waits up to wait for an update.
// fetch applies the updates. The returned bool reports whether the platform returned any
// objects.
func (f *Feed) fetch(ctx context.Context, wait time.Duration) (bool, error) {
	f.mu.Lock()
	after := f.watched
	f.mu.Unlock()
	if after == 0 {
		wait = 0
	}
	call, cancel := context.WithTimeout(ctx, wait+responseTimeout)
	defer cancel()
	page, err := f.store.Watch(call, f.kind, after, wait)
	f.logState(err, ctx.Err() != nil)
	if err != nil {
		return false, err
	}
	f.merge("platform", page.Objects())
	if after == 0 {
		f.noteMissing(page, time.Now())
	}
	f.deleteMissing(time.Now())
	f.mu.Lock()
	defer f.mu.Unlock()
	f.watched = page.Version()
	f.listed = true
	f.heardAt = time.Now()
	return len(page.Objects()) > 0, nil
}

// logState logs when the platform becomes unavailable and when it is available again. Err
// is the error of a call to the platform, nil if the call succeeded. Stopping reports
// whether the feed is stopping, which makes calls fail. logState ignores a call while the
// feed is stopping, and a call that failed with object.ErrExpired.
func (f *Feed) logState(err error, stopping bool) {
	if errors.Is(err, object.ErrExpired) || stopping {
		return
	}
	f.mu.Lock()
	wasUnavailable := f.unavailable
	f.unavailable = err != nil
	version := f.watched
	f.mu.Unlock()
	switch {
	case err != nil && !wasUnavailable:
		f.logger.WithError(err).WithField("kind", f.kind).WithField("version", version).Warn("feed: platform lost")
	case err == nil && wasUnavailable:
		f.logger.WithField("kind", f.kind).WithField("version", version).Info("feed: platform is back")
	}
}

// noteMissing records now as the time since which known objects have been missing from the
// platform. Page is a list of all objects of the kind. noteMissing skips known objects
// that are newer than the list or were recorded before.
func (f *Feed) noteMissing(page object.Page, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	present := map[string]bool{}
	for _, o := range page.Objects() {
		present[o.Name()] = true
	}
	for name, o := range f.objects {
		if _, known := f.missing[name]; !known && !present[name] && !o.Deleted() && o.Version() <= page.Version() {
			f.missing[name] = now
			f.logger.WithFields(log.Fields{"kind": f.kind, "name": name, "version": page.Version()}).Info("feed: an object is missing from the platform's list, kept for a while")
		}
	}
}

// deleteMissing applies a deletion of each known object that has been missing from the
// platform's lists for DeleteGrace.
func (f *Feed) deleteMissing(now time.Time) {
	var deleted []object.Object
	f.mu.Lock()
	for name, since := range f.missing {
		if now.Sub(since) >= f.DeleteGrace {
			deleted = append(deleted, object.Tombstone(f.kind, name, f.objects[name].Version()))
			f.logger.WithFields(log.Fields{"kind": f.kind, "name": name, "ms": now.Sub(since).Milliseconds()}).Info("feed: an object stayed missing, it counts as deleted")
		}
	}
	f.mu.Unlock()
	f.merge("platform", deleted)
}
