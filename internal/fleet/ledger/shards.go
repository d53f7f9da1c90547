package ledger

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"jacinthladder.dev/coord/escrow"
	"jacinthladder.dev/internal/fleet/pause"
	"jacinthladder.dev/internal/plat/object"
)

const (
	// ShardKind is the kind of the platform objects that hold many ledgers.
	ShardKind = "budgets"
	// batchDelay is how long a batch of reads or writes waits for others to join.
	batchDelay = 8 * time.Millisecond
	// writeCacheAge is the greatest age of the cached content that a write may be
	// based on.
	writeCacheAge = 100 * time.Millisecond
	// noopCacheAge is the greatest age of the cached content that may show that a
	// change writes nothing. Holders check exhausted budgets often; with the cache,
	// the checks of many such budgets share one read.
	noopCacheAge = 500 * time.Millisecond
	// batchTimeout bounds all calls to the platform for one batch.
	batchTimeout = 1500 * time.Millisecond
	// conflictBackoff is the upper bound of the random delay after the first
	// conflict of a batch. It doubles with each further conflict, at most
	// maxBackoffShifts times, to spread out many writers.
	conflictBackoff  = 20 * time.Millisecond
	maxBackoffShifts = 4
	// maxWriteAttempts is how often a batch is written before it fails with a conflict.
	maxWriteAttempts = 10
)

// Shards keeps the ledgers of many budgets in each platform object, so that one
// call reads or writes them all. Concurrent calls are batched. Each ledger has a
// version of its own: a write conflicts only with another write of the same
// budget. Use NewShards to create one.
type Shards struct {
	store  *object.Store
	shards []*shard
}

// NewShards returns count shards. All instances must use the same count.
func NewShards(store *object.Store, count int) *Shards {
	s := &Shards{store: store}
	for i := range max(count, 1) {
		s.shards = append(s.shards, &shard{store: store, name: fmt.Sprintf("group-%d", i)})
	}
	return s
}

// Store returns the shards as an escrow store.
func (s *Shards) Store() escrow.Store {
	return escrow.Store{Read: s.Read, Write: s.Write, Update: s.Update}
}

func (s *Shards) shardFor(budget string) *shard {
	return s.shards[xxhash.Sum64String(budget)%uint64(len(s.shards))]
}

// ShardName returns the name of the object that holds a budget's ledger.
func (s *Shards) ShardName(budget string) string { return s.shardFor(budget).name }

// Read returns the ledger of a budget and its version.
func (s *Shards) Read(ctx context.Context, budget string) (*escrow.Ledger, int64, error) {
	content, err := s.shardFor(budget).read(ctx)
	if err != nil {
		return nil, 0, err
	}
	e, ok := content.Ledgers[budget]
	if !ok {
		return nil, 0, errors.Wrap(escrow.ErrNotFound, budget)
	}
	l := &escrow.Ledger{}
	if err := json.Unmarshal(e.Ledger, l); err != nil {
		return nil, 0, errors.Wrapf(err, "decode ledger of budget %s", budget)
	}
	return l, e.Version, nil
}

// Write replaces the ledger of a budget if its version is still the given one;
// version 0 creates it.
func (s *Shards) Write(ctx context.Context, budget string, version int64, l *escrow.Ledger) error {
	return s.shardFor(budget).write(ctx, &change{budget: budget, edit: func(stored int64, ledger *escrow.Ledger) (bool, error) {
		if stored != version {
			return false, errors.Wrap(escrow.ErrConflict, budget)
		}
		*ledger = *l
		return true, nil
	}})
}

// Update applies edit to the stored ledger of a budget and writes the result if
// edit returns true. After a conflict it applies edit again to the new content.
func (s *Shards) Update(ctx context.Context, budget string, edit func(l *escrow.Ledger) (bool, error)) error {
	return s.shardFor(budget).write(ctx, &change{budget: budget, edit: func(stored int64, l *escrow.Ledger) (bool, error) {
		if stored == 0 {
			return false, errors.Wrap(escrow.ErrNotFound, budget)
		}
		return edit(l)
	}})
}

// EnsurePaid raises the amount paid into a budget to at least total. It creates
// the budget, named after its account, if it does not exist.
func (s *Shards) EnsurePaid(ctx context.Context, budget string, total int64) error {
	return s.shardFor(budget).write(ctx, &change{budget: budget, edit: func(stored int64, l *escrow.Ledger) (bool, error) {
		if stored == 0 {
			*l = *escrow.NewLedger(budget)
		}
		changed, err := l.RaisePaid(total)
		return changed || stored == 0, err
	}})
}

// shardJSON is the stored form of a shard.
type shardJSON struct {
	Ledgers map[string]entryJSON `json:"books"`
}

type entryJSON struct {
	Version int64           `json:"version"`
	Ledger  json.RawMessage `json:"book"`
}

// change is an edit of one ledger. The edit receives the stored version of the
// ledger, 0 if it does not exist.
type change struct {
	budget string
	edit   func(version int64, l *escrow.Ledger) (bool, error)
	err    error
}

// apply runs the edit on the content of a shard and reports whether it has changed
// the content.
func (c *change) apply(content shardJSON) bool {
	e := content.Ledgers[c.budget]
	l := &escrow.Ledger{}
	if e.Version > 0 {
		if c.err = json.Unmarshal(e.Ledger, l); c.err != nil {
			return false
		}
	}
	var changed bool
	if changed, c.err = c.edit(e.Version, l); c.err != nil || !changed {
		return false
	}
	data, err := json.Marshal(l)
	if err != nil {
		c.err = errors.Wrapf(err, "encode ledger of budget %s", c.budget)
		return false
	}
	content.Ledgers[c.budget] = entryJSON{Version: e.Version + 1, Ledger: data}
	return true
}

// shard is one platform object. Waiting reads share the next call, and so do
// waiting writes.
type shard struct {
	store *object.Store
	name  string

	mu        sync.Mutex
	nextRead  *pendingRead
	nextBatch *writeBatch
	writeLock sync.Mutex // held while a batch is written

	cached        shardJSON // as last read or written; the map is never modified
	cachedVersion int64
	cachedAt      time.Time
}

type pendingRead struct {
	done    chan struct{}
	content shardJSON
	err     error
}

type writeBatch struct {
	done    chan struct{}
	changes []*change
}

// read returns the content of the shard, read by a call that starts after read was
// called.
func (s *shard) read(ctx context.Context) (shardJSON, error) {
	s.mu.Lock()
	r := s.nextRead
	if r == nil {
		r = &pendingRead{done: make(chan struct{})}
		s.nextRead = r
		s.mu.Unlock()
		awaitBatch(ctx)
		s.mu.Lock()
		s.nextRead = nil // later reads need a call that starts after them
		s.mu.Unlock()
		callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), batchTimeout)
		defer cancel()
		var version int64
		r.content, version, r.err = s.fetch(callCtx)
		if r.err == nil {
			s.setCached(r.content, version)
		}
		close(r.done)
		return r.content, r.err
	}
	s.mu.Unlock()
	select {
	case <-r.done:
		return r.content, r.err
	case <-ctx.Done():
		return shardJSON{}, ctx.Err()
	}
}

// write writes a change in a batch with others and returns its result. A batch
// holds at most one change of each budget: an edit must see only stored content,
// not the result of another edit whose batch may fail.
func (s *shard) write(ctx context.Context, c *change) error {
	for {
		w, leader, joined := s.join(c)
		if leader {
			s.runBatch(ctx, w)
		}
		select {
		case <-w.done:
		case <-ctx.Done():
			return ctx.Err()
		}
		if joined {
			return c.err
		}
	}
}

// join adds a change to the waiting batch and starts a new batch if there is none.
// It reports whether the caller must write the batch (leader), and whether the
// change is part of it (joined).
func (s *shard) join(c *change) (w *writeBatch, leader, joined bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.nextBatch == nil {
		s.nextBatch = &writeBatch{done: make(chan struct{})}
		leader = true
	}
	w = s.nextBatch
	if slices.ContainsFunc(w.changes, func(o *change) bool { return o.budget == c.budget }) {
		return w, false, false
	}
	w.changes = append(w.changes, c)
	return w, leader, true
}

// runBatch waits for others to join a batch, then writes it.
func (s *shard) runBatch(ctx context.Context, w *writeBatch) {
	awaitBatch(ctx)
	s.writeLock.Lock()
	defer s.writeLock.Unlock()
	s.mu.Lock()
	s.nextBatch = nil
	s.mu.Unlock()
	s.commit(ctx, w.changes)
	close(w.done)
}

// commit applies changes to the shard and writes it, with retries after conflicts.
// It stores the result of each change in its err.
func (s *shard) commit(ctx context.Context, changes []*change) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), batchTimeout)
	defer cancel()
	if content, _, ok := s.cachedWithin(noopCacheAge); ok && !applyAll(changes, content) && !anyFailed(changes) {
		return
	}
	for try := range maxWriteAttempts {
		content, version, err := s.readForWrite(ctx, try == 0)
		if err != nil {
			failAll(changes, err)
			return
		}
		if !applyAll(changes, content) {
			return
		}
		data, err := json.Marshal(content)
		if err != nil {
			failAll(changes, err)
			return
		}
		written, err := s.store.Put(ctx, ShardKind, s.name, version, data)
		if err == nil {
			s.setCached(content, written)
			return
		}
		if !errors.Is(err, object.ErrConflict) {
			failAll(changes, err)
			return
		}
		pause.For(ctx, rand.N(conflictBackoff<<min(try, maxBackoffShifts)))
	}
	failAll(changes, escrow.ErrConflict)
}

// applyAll runs the edits on the content of a shard and reports whether any has
// changed it.
func applyAll(changes []*change, content shardJSON) bool {
	changed := false
	for _, c := range changes {
		changed = c.apply(content) || changed
	}
	return changed
}

// anyFailed reports whether an edit failed, which may be because the content that it
// saw was out of date.
func anyFailed(changes []*change) bool {
	return slices.ContainsFunc(changes, func(c *change) bool { return c.err != nil })
}

// setCached caches the current content of the shard.
func (s *shard) setCached(content shardJSON, version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cached, s.cachedVersion, s.cachedAt = content, version, time.Now()
}

// failAll sets err on the changes that have no error yet.
func failAll(changes []*change, err error) {
	for _, c := range changes {
		if c.err == nil {
			c.err = err
		}
	}
}

// readForWrite returns the content that a write is based on: the cached content if
// that is allowed and recent enough, else the result of a new read. A write that is
// based on stale content conflicts. The caller then no longer allows the cached
// content, because the conflict shows that it is out of date.
func (s *shard) readForWrite(ctx context.Context, allowCached bool) (shardJSON, int64, error) {
	if content, version, ok := s.cachedWithin(writeCacheAge); ok && allowCached {
		return content, version, nil
	}
	content, version, err := s.fetch(ctx)
	if err == nil && version > 0 {
		s.setCached(shardJSON{Ledgers: maps.Clone(content.Ledgers)}, version)
	}
	return content, version, err
}

// cachedWithin returns a copy of the cached content if it was read or written less
// than age ago.
func (s *shard) cachedWithin(age time.Duration) (shardJSON, int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cachedVersion == 0 || time.Since(s.cachedAt) >= age {
		return shardJSON{}, 0, false
	}
	return shardJSON{Ledgers: maps.Clone(s.cached.Ledgers)}, s.cachedVersion, true
}

func (s *shard) fetch(ctx context.Context) (shardJSON, int64, error) {
	content := shardJSON{}
	o, err := s.store.Get(ctx, ShardKind, s.name)
	switch {
	case errors.Is(err, object.ErrNotFound):
	case err != nil:
		return content, 0, err
	default:
		if err := json.Unmarshal(o.Value(), &content); err != nil {
			return content, 0, errors.Wrapf(err, "decode shard %s", s.name)
		}
	}
	if content.Ledgers == nil {
		content.Ledgers = map[string]entryJSON{}
	}
	return content, o.Version(), nil
}

// awaitBatch waits for others to join a batch.
func awaitBatch(ctx context.Context) { pause.For(ctx, batchDelay) }
