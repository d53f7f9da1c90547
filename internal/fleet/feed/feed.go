package feed

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"jacinthladder.dev/internal/plat/object"
)

const (
	// defaultWatchTimeout is the value of Feed.WatchTimeout that New sets.
	defaultWatchTimeout = 20 * time.Second
	// probeInterval is the interval between calls to a platform that does not respond. It
	// is shorter than responseTimeout, so that the feed soon learns that the platform is
	// back: what is missing from its list is kept for DeleteGrace from then on.
	probeInterval = 600 * time.Millisecond
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
	// restoreGrace is how long a deleted object that came back with an older copy of the
	// platform's content is put aside. What was written since the copy is written again
	// before, and entries without a writer expire.
	restoreGrace = 5 * time.Second
	// minBackoff and maxBackoff are the first and the longest delay, before jitter,
	// between a failed call and the next one.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
)

// Platform is the source of objects that come from the platform itself, in calls of Feed.Apply.
const Platform = "platform"

// Feed follows the changes of the objects of one kind. Make one with New, and set Apply
// before use.
type Feed struct {
	kind     string
	platform *object.Store
	logger   log.Interface

	// DeleteGrace is how long an object must be missing from the platform's lists
	// before it counts as deleted; 0 means that it counts as deleted at once.
	DeleteGrace time.Duration
	// WatchTimeout is how long a watch waits for an update before the feed makes a new
	// call. New sets a default.
	WatchTimeout time.Duration
	// Role, if set, returns the present role of the feed. It is called often, and must not
	// call the feed.
	Role func() Role
	// Apply is called with each received object that is newer than the version of this
	// object that the feed knows. Source says where it comes from: "platform" or a peer's
	// name. The objects of one response are passed in order of version, and there is one call
	// at a time.
	Apply func(source string, o object.Object)

	applying    sync.Mutex // held while objects are stored and applied, so that both have the same order
	mu          sync.Mutex
	objects     map[string]object.Object  // known objects by name, including deleted ones
	missing     map[string]time.Time      // when a known object was first missing from a list of the platform, by name
	restored    map[string]restoredObject // objects put aside, by name
	watched     int64                     // platform version up to which the feed has all changes; 0 makes the next fetch list all objects
	listedTo    int64                     // version of the last list; later changes are known one by one
	listed      bool                      // all objects of the kind were listed at least once
	changed     chan struct{}             // closed and replaced after each change
	unavailable bool                      // the last call to the platform failed, other than with object.ErrExpired
	heardAt     time.Time                 // when the platform last responded, zero before the first response
	lostAt      time.Time                 // when calls to the platform last began to fail
	backAt      time.Time                 // when the platform was last back after an outage or a loss, zero if it never was away
	confirmedAt time.Time                 // see ConfirmedAt
	askedAt     time.Time                 // when the last call began to which the platform has responded
	endCall     context.CancelFunc        // ends the call to the platform in progress, nil if there is none
	renew       bool                      // Renew was called since the last response
	wake        chan struct{}             // holds a token after Renew, to end a pause between calls
}

// New returns a feed without objects for the given kind. The caller must set Apply.
func New(kind string, platform *object.Store, logger log.Interface) *Feed {
	return &Feed{
		kind: kind, platform: platform, logger: logger, WatchTimeout: defaultWatchTimeout,
		objects: map[string]object.Object{}, missing: map[string]time.Time{}, restored: map[string]restoredObject{}, changed: make(chan struct{}),
		wake: make(chan struct{}, 1),
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

// confirm records that the platform has confirmed at a time what the feed knows. Just after an outage it
// may not have been told yet what has changed meanwhile. The caller holds the lock.
func (f *Feed) confirm(at, now time.Time) {
	if at.After(f.confirmedAt) && f.complete(now) {
		f.confirmedAt = at
	}
}

// complete reports whether the platform has been back for DeleteGrace, in which others write there what
// it has missed. The caller holds the lock.
func (f *Feed) complete(now time.Time) bool {
	return f.backAt.IsZero() || now.Sub(f.backAt) >= f.DeleteGrace
}

// ConfirmedAt returns the time up to which the feed knows all changes, zero before the first response.
func (f *Feed) ConfirmedAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmedAt
}

// Live reports whether the feed hears of changes as they are made, from the platform or from peers that
// the platform has answered since it last answered this feed.
func (f *Feed) Live(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unavailable && !f.heardAt.After(f.lostAt) {
		return false
	}
	return now.Sub(f.heardAt) < f.WatchTimeout+maxBatchDelay+responseTimeout && f.complete(now)
}

// AskedAt returns when the last call began to which the platform has responded. What the feed knows
// is not older.
func (f *Feed) AskedAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.askedAt
}

// Changed returns a channel that is closed after the feed has applied the next change of
// any object.
func (f *Feed) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Run lists all objects of the kind on the platform and then watches the kind for changes,
// until ctx ends. It calls Apply with each update. A follower makes no calls while its peers
// confirm what it knows. Between calls to the platform Run waits for minBatchDelay to
// maxBatchDelay, and after failed calls it backs off.
func (f *Feed) Run(ctx context.Context) {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = minBackoff, maxBackoff
	wait, delay := time.Duration(0), minBatchDelay
	for ctx.Err() == nil {
		if rest := f.restTime(time.Now()); rest > 0 {
			f.pause(ctx, rest)
			wait = 0
			continue
		}
		changed, err := f.fetch(ctx, wait)
		switch {
		case errors.Is(err, errRenewed):
			wait = 0
			continue
		case err == nil:
			b.Reset()
			f.pause(ctx, min(delay, f.nextTimeout(time.Now())))
			wait = f.watchTime(delay, time.Now())
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
		wait = 0
		f.pause(ctx, b.NextBackOff())
	}
}

// pause waits for the time d between two calls to the platform, or until Renew is called.
func (f *Feed) pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-f.wake:
	case <-time.After(d):
	}
}

// errRenewed means that Renew has ended a call to the platform.
var errRenewed = errors.New("feed: the call to the platform is made anew")

// Renew ends the call to the platform in progress, and makes the feed call again at once, whatever
// its role.
func (f *Feed) Renew() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.renew = true
	if f.endCall != nil {
		f.endCall()
		return
	}
	select {
	case f.wake <- struct{}{}:
	default: // there is a token already
	}
}

// setCall sets how the call in progress is ended.
func (f *Feed) setCall(end context.CancelFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endCall = end
}

// nextTimeout returns how long the next watch may wait for an update. That is WatchTimeout,
// or less if before that an object that is missing from the platform's list will count as
// deleted, or one that was put aside will be applied.
func (f *Feed) nextTimeout(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	timeout := f.WatchTimeout
	for _, since := range f.missing {
		timeout = min(timeout, max(f.DeleteGrace-now.Sub(since), 0))
	}
	for _, r := range f.restored {
		timeout = min(timeout, max(restoreGrace-now.Sub(r.since), 0))
	}
	return timeout
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
	after, unavailable, renew := f.watched, f.unavailable, f.renew
	f.mu.Unlock()
	if after == 0 || renew {
		wait = 0
	}
	call := f.call
	if unavailable {
		call = f.probe
	}
	began := time.Now()
	callCtx, end := context.WithCancel(ctx)
	defer end()
	f.setCall(end)
	page, err := call(callCtx, after, wait)
	f.setCall(nil)
	if err != nil && callCtx.Err() != nil && ctx.Err() == nil {
		return false, errRenewed
	}
	f.logState(err, ctx.Err() != nil)
	if err != nil {
		return false, err
	}
	now, list := time.Now(), after == 0
	if list {
		f.merge(Platform, lastStates(page), copied)
		f.noteMissing(page, now)
	} else {
		f.merge(Platform, lastStates(page), written)
	}
	f.deleteMissing(page.Version(), now)
	f.acceptRestored(page, list, now)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.listed && object.EraOf(page.Version()) != object.EraOf(f.listedTo) {
		f.backAt = now
	}
	f.watched = max(f.watched, page.Version())
	if list {
		f.listedTo = page.Version()
	}
	f.listed, f.renew = true, false
	f.heardAt, f.askedAt = now, began
	f.confirm(now, now)
	return len(page.Objects()) > 0, nil
}

// call watches the kind on the platform from a version, 0 to list it. The platform waits up
// to wait for an update.
func (f *Feed) call(ctx context.Context, after int64, wait time.Duration) (object.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+responseTimeout)
	defer cancel()
	return f.platform.Watch(ctx, f.kind, after, wait)
}

// probe makes a call every probeInterval, without ending the earlier ones, until one gets a
// response, and returns that.
func (f *Feed) probe(ctx context.Context, after int64, wait time.Duration) (object.Page, error) {
	type response struct {
		page object.Page
		err  error
	}
	responses := make(chan response)
	var calls sync.WaitGroup
	defer calls.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t := time.NewTicker(probeInterval)
	defer t.Stop()
	for {
		calls.Go(func() {
			page, err := f.call(ctx, after, wait)
			if errors.Is(err, object.ErrUnknownOutcome) {
				return
			}
			select {
			case responses <- response{page, err}:
			case <-ctx.Done():
			}
		})
		select {
		case r := <-responses:
			return r.page, r.err
		case <-t.C:
		case <-ctx.Done():
			return object.Page{}, ctx.Err()
		}
	}
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
	switch {
	case err != nil && !wasUnavailable:
		f.lostAt = time.Now()
	case err == nil && wasUnavailable:
		f.backAt = time.Now()
	}
	version := f.watched
	f.mu.Unlock()
	switch {
	case err != nil && !wasUnavailable:
		f.logger.WithError(err).WithField("kind", f.kind).WithField("version", version).Warn("feed: platform lost")
	case err == nil && wasUnavailable:
		f.logger.WithField("kind", f.kind).WithField("version", version).Info("feed: platform is back")
	}
}
