package config

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cenkalti/backoff/v5"

	"jacinthladder.dev/internal/fleet/pause"
	"jacinthladder.dev/internal/plat/object"
)

const (
	// watchTimeout is how long the platform waits for a change before it responds to a
	// watch with no change.
	watchTimeout = 10 * time.Second
	// responseTimeout is how long a response of the platform may take beyond the time
	// that the watch waits for a change.
	responseTimeout = 3 * time.Second
	// roleCheckInterval is how often an instance that does not watch the platform checks
	// whether it has become one of the few instances that should.
	roleCheckInterval = 500 * time.Millisecond
)

// kinds are the kinds of the platform objects that make up the configuration.
var kinds = []string{ServiceKind, AccountKind}

// objectID identifies an object on the platform.
type objectID struct{ kind, name string }

// Cache holds the configuration in force on one instance and keeps it up to date. Make
// one with NewCache.
type Cache struct {
	store    *object.Store
	logger   log.Interface
	snapshot atomic.Pointer[Snapshot]

	mu       sync.Mutex
	entries  map[objectID]entry // objects in force
	rejected map[objectID]int64 // highest version of each object that could not be parsed
	versions map[string]int64   // platform version up to which the cache has all objects of each kind
	changed  chan struct{}      // closed and replaced at each change of the configuration
}

// NewCache returns a cache with an empty configuration. Load and Run fill it from store.
func NewCache(store *object.Store, logger log.Interface) *Cache {
	c := &Cache{
		store:    store,
		logger:   logger,
		entries:  map[objectID]entry{},
		rejected: map[objectID]int64{},
		versions: map[string]int64{},
		changed:  make(chan struct{}),
	}
	c.snapshot.Store(newSnapshot(nil))
	return c
}

// Snapshot returns the configuration in force. Later changes do not affect the returned
// snapshot.
func (c *Cache) Snapshot() *Snapshot { return c.snapshot.Load() }

// Changed returns a channel that is closed at the next change of the configuration.
func (c *Cache) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// Merge applies each object whose version is above the version in force of that object.
// An object that can't be parsed is logged and ignored, and the version in force stays.
// Source says in the log where the objects come from: "platform" or a peer's name.
// Merge reports whether the configuration changed.
func (c *Cache) Merge(source string, objects []object.Object) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	changed := false
	for _, o := range objects {
		id := objectID{o.Kind(), o.Name()}
		if o.Version() <= max(c.entries[id].object.Version(), c.rejected[id]) {
			continue
		}
		e, err := parse(o)
		if err != nil {
			c.rejected[id] = o.Version()
			c.logger.WithError(err).Errorf("config: rejected %s %s version %d from %s", o.Kind(), o.Name(), o.Version(), source)
			continue
		}
		c.entries[id] = e
		changed = true
		c.logger.Infof("config: applied %s %s version %d from %s", o.Kind(), o.Name(), o.Version(), source)
	}
	if changed {
		c.snapshot.Store(newSnapshot(c.entries))
		close(c.changed)
		c.changed = make(chan struct{})
	}
	return changed
}

// CompleteVersion returns the platform version up to which the cache has received all
// changes of the configuration, and 0 before the first complete configuration.
func (c *Cache) CompleteVersion() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return min(c.versions[ServiceKind], c.versions[AccountKind])
}

// Since returns the objects in force with a version above after, in order of version.
// The second result is the platform version up to which these objects are complete, the
// same as CompleteVersion.
func (c *Cache) Since(after int64) ([]object.Object, int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var objects []object.Object
	for _, e := range c.entries {
		if e.object.Version() > after {
			objects = append(objects, e.object)
		}
	}
	slices.SortFunc(objects, func(a, b object.Object) int { return int(a.Version() - b.Version()) })
	return objects, min(c.versions[ServiceKind], c.versions[AccountKind])
}

// MergePeer merges the objects that a peer returned from its method Since. Complete is the
// platform version up to which these objects are complete. The caller must have requested
// the objects above a version that is at most this cache's CompleteVersion. Otherwise the
// cache would lack the objects between the two versions.
func (c *Cache) MergePeer(peer string, objects []object.Object, complete int64) {
	c.Merge(peer, objects)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, kind := range kinds {
		c.versions[kind] = max(c.versions[kind], complete)
	}
}

// Load reads all configuration from the platform once and merges it. It stops at the
// first error of a call to the platform and returns that error.
func (c *Cache) Load(ctx context.Context) error {
	for _, kind := range kinds {
		if _, err := c.fetch(ctx, kind, 0); err != nil {
			return err
		}
	}
	return nil
}

// Run keeps the configuration up to date from the platform until ctx ends. The function
// shouldWatch reports whether this instance is one of the few that watch the platform.
// While it returns false, Run does not call the platform.
func (c *Cache) Run(ctx context.Context, shouldWatch func() bool) {
	var g sync.WaitGroup
	for _, kind := range kinds {
		g.Go(func() { c.watch(ctx, kind, shouldWatch) })
	}
	g.Wait()
}

// watch watches the objects of one kind on the platform until ctx ends. While shouldWatch
// returns false, it makes no calls. After an error it backs off.
func (c *Cache) watch(ctx context.Context, kind string, shouldWatch func() bool) {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = 100 * time.Millisecond
	b.MaxInterval = 2 * time.Second
	for ctx.Err() == nil {
		if !shouldWatch() {
			pause.For(ctx, roleCheckInterval)
			continue
		}
		if err := c.follow(ctx, kind); err != nil {
			pause.For(ctx, b.NextBackOff())
			continue
		}
		b.Reset()
	}
}

// follow waits up to watchTimeout for a change of an object of the given kind and merges
// the change. Peers learn of a version only when this instance has the changes of all
// kinds up to that version. So after a change, follow fetches the objects of the other
// kinds at once. The watches of these kinds might otherwise wait for the whole
// watchTimeout.
func (c *Cache) follow(ctx context.Context, kind string) error {
	changed, err := c.fetch(ctx, kind, watchTimeout)
	if err != nil || !changed {
		return err
	}
	for _, other := range kinds {
		if other == kind {
			continue
		}
		if _, err := c.fetch(ctx, other, 0); err != nil {
			return err
		}
	}
	return nil
}

// fetch gets the objects of a kind that changed since the last fetch from the platform
// and merges them. If none has changed, the platform waits for a change, at most for wait.
// The returned bool reports whether the configuration changed.
func (c *Cache) fetch(ctx context.Context, kind string, wait time.Duration) (bool, error) {
	c.mu.Lock()
	after := c.versions[kind]
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, wait+responseTimeout)
	defer cancel()
	page, err := c.store.Watch(ctx, kind, after, wait)
	if err != nil {
		return false, err
	}
	changed := c.Merge("platform", page.Objects())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.versions[kind] = max(c.versions[kind], page.Version())
	return changed, nil
}
