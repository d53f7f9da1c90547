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
	// defaultWatchTimeout is the default of Feed.WatchTimeout.
	defaultWatchTimeout = 20 * time.Second
	// probeTimeout is how long a watch waits after a failure. It is short, so that a
	// connection that stalls does not delay the next update.
	probeTimeout = 500 * time.Millisecond
	// responseTimeout is how long a response of the platform may take beyond the
	// time that the watch waits.
	responseTimeout = 900 * time.Millisecond
	// minBatchDelay is the delay after a response, so that one call fetches changes
	// that are close together. The delay doubles up to maxBatchDelay while each
	// response has updates. Otherwise, when a fleet starts or is updated instance by
	// instance, each instance would make a call for each object that changes.
	minBatchDelay = 120 * time.Millisecond
	maxBatchDelay = 800 * time.Millisecond
	// minBackoff and maxBackoff bound the backoff after a failed call.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
)

// Feed follows the objects of one kind. Make one with New.
type Feed struct {
	kind   string
	store  *object.Store
	logger log.Interface

	// DeleteGrace is how long an object must be missing from the platform's lists
	// before it counts as deleted; 0 means that it counts as deleted at once.
	DeleteGrace time.Duration
	// WatchTimeout is how long a watch may return no update before the feed makes a
	// new call.
	WatchTimeout time.Duration
	// Apply is called for each update, one object at a time, for the objects of one
	// response in order of version. MergePeer can call it while Run does.
	Apply func(source string, o object.Object)

	mu          sync.Mutex
	objects     map[string]object.Object // includes deleted objects
	missing     map[string]time.Time     // when an object was first missing from a list
	watched     int64                    // version up to which the kind was watched; 0 makes the next fetch list it
	listed      bool
	changed     chan struct{}
	unavailable bool
}

// New returns a feed without objects.
func New(kind string, store *object.Store, logger log.Interface) *Feed {
	return &Feed{
		kind: kind, store: store, logger: logger, WatchTimeout: defaultWatchTimeout,
		objects: map[string]object.Object{}, missing: map[string]time.Time{}, changed: make(chan struct{}),
	}
}

// Listed reports whether the kind has been listed at least once.
func (f *Feed) Listed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listed
}

// Version returns the highest version of the known objects.
func (f *Feed) Version() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	var newest int64
	for _, o := range f.objects {
		newest = max(newest, o.Version())
	}
	return newest
}

// Changed returns a channel that is closed at the next change.
func (f *Feed) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Since returns the objects with a version above after, in order of version, and the
// highest known version.
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

// MergePeer merges the objects that a peer sent.
func (f *Feed) MergePeer(peer string, objects []object.Object, _ int64) { f.merge(peer, objects) }

func byVersion(a, b object.Object) int {
	switch {
	case a.Version() < b.Version():
		return -1
	case a.Version() > b.Version():
		return 1
	}
	return 0
}

// merge stores and applies the objects that are newer than the known ones.
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

// newer reports whether o is newer than old. A deletion may have the version of the
// object's last change.
func newer(o, old object.Object) bool {
	if o.Deleted() && !old.Deleted() {
		return o.Version() >= old.Version()
	}
	return o.Version() > old.Version()
}

// Run follows the kind until ctx ends.
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

// nextTimeout returns how long the next watch may wait. It is short while an object is
// missing, so that the end of DeleteGrace is noticed.
func (f *Feed) nextTimeout() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.missing) > 0 {
		return f.DeleteGrace / 4
	}
	return f.WatchTimeout
}

func (f *Feed) relist() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.watched = 0
}

// fetch lists the kind if the watched version is 0, and otherwise watches it. It
// reports whether the platform returned updates.
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
	return len(page.Objects()) > 0, nil
}

// logState logs when the platform becomes unavailable and when it is available again.
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

// noteMissing records the known objects that are missing from a list.
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
		}
	}
}

// deleteMissing deletes the objects that have been missing for DeleteGrace.
func (f *Feed) deleteMissing(now time.Time) {
	var deleted []object.Object
	f.mu.Lock()
	for name, since := range f.missing {
		if now.Sub(since) >= f.DeleteGrace {
			deleted = append(deleted, object.Tombstone(f.kind, name, f.objects[name].Version()))
		}
	}
	f.mu.Unlock()
	f.merge("platform", deleted)
}
