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
	// watchTimeout is how long one watch waits at the platform.
	watchTimeout = 10 * time.Second
	// watchSlack is how long the answer to a watch may take beyond that.
	watchSlack = 3 * time.Second
	// roleCheckInterval is how often an instance looks whether it is to watch.
	roleCheckInterval = 500 * time.Millisecond
)

// kinds are the kinds of object that make up the configuration.
var kinds = []string{ServiceKind, AccountKind}

type key struct{ kind, name string }

// Cache keeps the configuration in force. Make one with NewKeeper.
type Cache struct {
	store  *object.Store
	logger log.Interface
	view   atomic.Pointer[Snapshot]

	mu      sync.Mutex
	entries map[key]entry
	refused map[key]int64 // versions that could not be read
	seen    map[string]int64
	changed chan struct{}
}

// NewCache returns a keeper with nothing in force.
func NewCache(store *object.Store, logger log.Interface) *Cache {
	k := &Cache{
		store:   store,
		logger:  logger,
		entries: map[key]entry{},
		refused: map[key]int64{},
		seen:    map[string]int64{},
		changed: make(chan struct{}),
	}
	k.view.Store(build(nil))
	return k
}

// Snapshot returns the configuration in force.
func (k *Cache) Snapshot() *Snapshot { return k.view.Load() }

// Changed returns a channel that is closed at the next change.
func (k *Cache) Changed() <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.changed
}

// Merge takes in the objects whose version is above the one in force. It
// reports whether anything changed.
func (k *Cache) Merge(source string, objects []object.Object) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	fresh := false
	for _, o := range objects {
		at := key{o.Kind(), o.Name()}
		if o.Version() <= max(k.entries[at].object.Version(), k.refused[at]) {
			continue
		}
		e, err := parse(o)
		if err != nil {
			k.refused[at] = o.Version()
			k.logger.WithError(err).Errorf("config: refused %s %s version %d from %s", o.Kind(), o.Name(), o.Version(), source)
			continue
		}
		k.entries[at] = e
		fresh = true
		k.logger.Infof("config: %s %s version %d is in force, from %s", o.Kind(), o.Name(), o.Version(), source)
	}
	if fresh {
		k.view.Store(build(k.entries))
		close(k.changed)
		k.changed = make(chan struct{})
	}
	return fresh
}

// CompleteVersion returns the platform's version up to which all configuration is in
// force here.
func (k *Cache) CompleteVersion() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return min(k.seen[ServiceKind], k.seen[AccountKind])
}

// Since returns the objects in force above a version, in order, and the version
// up to which that is complete.
func (k *Cache) Since(after int64) ([]object.Object, int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var objects []object.Object
	for _, e := range k.entries {
		if e.object.Version() > after {
			objects = append(objects, e.object)
		}
	}
	slices.SortFunc(objects, func(a, b object.Object) int { return int(a.Version() - b.Version()) })
	return objects, min(k.seen[ServiceKind], k.seen[AccountKind])
}

// MergePeer takes in what a peer sent of its configuration: all that it has above
// what was asked for, complete up to a version.
func (k *Cache) MergePeer(peer string, objects []object.Object, complete int64) {
	k.Merge(peer, objects)
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, kind := range kinds {
		k.seen[kind] = max(k.seen[kind], complete)
	}
}

// Load lists all configuration once.
func (k *Cache) Load(ctx context.Context) error {
	for _, kind := range kinds {
		if _, err := k.pull(ctx, kind, 0); err != nil {
			return err
		}
	}
	return nil
}

// Run watches the platform until ctx ends, as long as duty says that this
// instance is one of the few that watch.
func (k *Cache) Run(ctx context.Context, duty func() bool) {
	var g sync.WaitGroup
	for _, kind := range kinds {
		g.Go(func() { k.watch(ctx, kind, duty) })
	}
	g.Wait()
}

func (k *Cache) watch(ctx context.Context, kind string, duty func() bool) {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = 100 * time.Millisecond
	b.MaxInterval = 2 * time.Second
	for ctx.Err() == nil {
		if !duty() {
			pause.For(ctx, roleCheckInterval)
			continue
		}
		if err := k.follow(ctx, kind); err != nil {
			pause.For(ctx, b.NextBackOff())
			continue
		}
		b.Reset()
	}
}

// follow waits for a change of a kind. Peers are told of a version only when
// it is complete for all kinds, so a change asks for the others at once: their
// own watches may go on for all of watchTime.
func (k *Cache) follow(ctx context.Context, kind string) error {
	fresh, err := k.pull(ctx, kind, watchTimeout)
	if err != nil || !fresh {
		return err
	}
	for _, other := range kinds {
		if other == kind {
			continue
		}
		if _, err := k.pull(ctx, other, 0); err != nil {
			return err
		}
	}
	return nil
}

// pull takes in what changed of a kind since the last pull, and reports whether
// anything is newer than what was in force.
func (k *Cache) pull(ctx context.Context, kind string, wait time.Duration) (bool, error) {
	k.mu.Lock()
	after := k.seen[kind]
	k.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, wait+watchSlack)
	defer cancel()
	page, err := k.store.Watch(ctx, kind, after, wait)
	if err != nil {
		return false, err
	}
	fresh := k.Merge("platform", page.Objects())
	k.mu.Lock()
	defer k.mu.Unlock()
	k.seen[kind] = max(k.seen[kind], page.Version())
	return fresh, nil
}
