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
	// watchTime is how long one watch waits at the platform unless Silent says
	// otherwise.
	watchTime = 20 * time.Second
	// probeTime is how long a watch waits after a failure: short, so that a
	// connection that fell silent does not hold up the next news.
	probeTime = 500 * time.Millisecond
	// answerTime bounds an answer of the platform beyond the wait.
	answerTime = 900 * time.Millisecond
	// gatherTime is the pause after an answer, so that changes which come close
	// together take one call. It doubles up to gatherMost while each answer brings
	// news: when a fleet starts or rolls, each instance would else call for each
	// object that changes.
	gatherTime = 120 * time.Millisecond
	gatherMost = 800 * time.Millisecond
	// firstPause and lastPause bound the pause between two tries.
	firstPause = 50 * time.Millisecond
	lastPause  = 400 * time.Millisecond
)

// Feed follows one kind. Make one with New.
type Feed struct {
	kind   string
	store  *object.Store
	logger log.Interface

	// DeleteGrace is how long an object must be missing from the platform's lists
	// before it counts as deleted; 0 means at once.
	DeleteGrace time.Duration
	// WatchTimeout is the longest that a watch may bring nothing before the feed asks
	// again on a new call.
	WatchTimeout time.Duration
	// Apply takes in news, one object at a time, in order of version.
	Apply func(source string, o object.Object)

	mu          sync.Mutex
	objects     map[string]object.Object // also those deleted
	missing     map[string]time.Time     // since when lists lack an object
	seen        int64                    // watched up to this version
	listed      bool
	changed     chan struct{}
	unavailable bool
}

// New returns a feed that knows nothing.
func New(kind string, store *object.Store, logger log.Interface) *Feed {
	return &Feed{
		kind: kind, store: store, logger: logger, WatchTimeout: watchTime,
		objects: map[string]object.Object{}, missing: map[string]time.Time{}, changed: make(chan struct{}),
	}
}

// Listed reports whether the kind has been listed at least once.
func (f *Feed) Listed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listed
}

// Version returns the highest version of an object known.
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

// Since returns the objects above a version, in order, and the highest version
// known.
func (f *Feed) Since(after int64) ([]object.Object, int64) {
	newest := f.Version()
	f.mu.Lock()
	defer f.mu.Unlock()
	var fresh []object.Object
	for _, o := range f.objects {
		if o.Version() > after && !o.Deleted() {
			fresh = append(fresh, o)
		}
	}
	slices.SortFunc(fresh, byVersion)
	return fresh, newest
}

// MergePeer takes in what a peer knows.
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

// merge takes in what is newer than known.
func (f *Feed) merge(source string, objects []object.Object) {
	objects = slices.Clone(objects)
	slices.SortFunc(objects, byVersion)
	f.mu.Lock()
	var fresh []object.Object
	for _, o := range objects {
		delete(f.missing, o.Name())
		if old, ok := f.objects[o.Name()]; ok && !newer(o, old) {
			continue
		}
		f.objects[o.Name()] = o
		fresh = append(fresh, o)
	}
	f.mu.Unlock()
	for _, o := range fresh {
		f.Apply(source, o)
	}
	if len(fresh) > 0 {
		f.mu.Lock()
		close(f.changed)
		f.changed = make(chan struct{})
		f.mu.Unlock()
	}
}

// newer reports whether o is news after old. A deletion may bear the version of
// the object's last change.
func newer(o, old object.Object) bool {
	if o.Deleted() && !old.Deleted() {
		return o.Version() >= old.Version()
	}
	return o.Version() > old.Version()
}

// Run follows the kind until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = firstPause, lastPause
	wait, gather := time.Duration(0), gatherTime
	for ctx.Err() == nil {
		fresh, err := f.pull(ctx, wait)
		switch {
		case err == nil:
			b.Reset()
			wait = f.wait()
			pause.For(ctx, gather)
			gather = min(2*gather, gatherMost)
			if !fresh {
				gather = gatherTime
			}
			continue
		case errors.Is(err, object.ErrExpired):
			f.relist()
			wait = 0
			continue
		}
		wait = min(wait, probeTime)
		pause.For(ctx, b.NextBackOff())
	}
}

// wait returns how long the next watch may take: short while an object is
// missing, so that its time is noticed.
func (f *Feed) wait() time.Duration {
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
	f.seen = 0
}

// pull lists the kind if it is to be listed, and watches it otherwise. It reports
// whether the platform had news since the last time.
func (f *Feed) pull(ctx context.Context, wait time.Duration) (bool, error) {
	f.mu.Lock()
	after := f.seen
	f.mu.Unlock()
	if after == 0 {
		wait = 0
	}
	call, cancel := context.WithTimeout(ctx, wait+answerTime)
	defer cancel()
	page, err := f.store.Watch(call, f.kind, after, wait)
	f.logState(err, ctx.Err() != nil)
	if err != nil {
		return false, err
	}
	f.merge("platform", page.Objects())
	if after == 0 {
		f.compare(page, time.Now())
	}
	f.expire(time.Now())
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seen = page.Version()
	f.listed = true
	return len(page.Objects()) > 0, nil
}

// logState logs when the platform is lost and when it is back.
func (f *Feed) logState(err error, ending bool) {
	if errors.Is(err, object.ErrExpired) || ending {
		return
	}
	f.mu.Lock()
	was := f.unavailable
	f.unavailable = err != nil
	seen := f.seen
	f.mu.Unlock()
	switch {
	case err != nil && !was:
		f.logger.WithError(err).WithField("kind", f.kind).WithField("version", seen).Warn("feed: platform lost")
	case err == nil && was:
		f.logger.WithField("kind", f.kind).WithField("version", seen).Info("feed: platform is back")
	}
}

// compare notes the objects that a list lacks.
func (f *Feed) compare(page object.Page, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	there := map[string]bool{}
	for _, o := range page.Objects() {
		there[o.Name()] = true
	}
	for name, o := range f.objects {
		if _, noted := f.missing[name]; !noted && !there[name] && !o.Deleted() && o.Version() <= page.Version() {
			f.missing[name] = now
		}
	}
}

// expire deletes what has been missing for long enough.
func (f *Feed) expire(now time.Time) {
	var gone []object.Object
	f.mu.Lock()
	for name, since := range f.missing {
		if now.Sub(since) >= f.DeleteGrace {
			gone = append(gone, object.Tombstone(f.kind, name, f.objects[name].Version()))
		}
	}
	f.mu.Unlock()
	f.merge("platform", gone)
}
