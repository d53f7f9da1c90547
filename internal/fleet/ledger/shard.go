package ledger

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"jacinthladder.dev/coord/escrow"
	"jacinthladder.dev/internal/fleet/pause"
	"jacinthladder.dev/internal/plat/object"
)

const (
	// batchDelay is how long a batch of reads or writes waits for further reads or
	// writes of the same shard to join it.
	batchDelay = 8 * time.Millisecond
	// writeCacheAge is the maximum age of a shard's cached content that a write may be
	// based on. A write on older content reads the shard first.
	writeCacheAge = 100 * time.Millisecond
	// noopCacheAge is the maximum age of a shard's cached content that is enough to
	// decide that an update writes nothing. Escrow holders often check exhausted
	// budgets with such updates. The checks of many budgets then share one read.
	noopCacheAge = 500 * time.Millisecond
	// batchTimeout bounds the total time of the calls to the platform for one batch.
	batchTimeout = 1500 * time.Millisecond
	// conflictBackoff is the upper bound of the random delay after the first conflict
	// of a batch with another writer. The bound doubles with each further conflict, at
	// most maxBackoffShifts times, to spread out many writers.
	conflictBackoff  = 20 * time.Millisecond
	maxBackoffShifts = 4
	// maxWriteAttempts is the maximum number of attempts to write a batch. If all of them
	// end in a conflict, the batch fails with escrow.ErrConflict.
	maxWriteAttempts = 10
)

// shard is one platform object that holds ledgers, with its pending reads and writes. All
// pending reads share the next read call, and all pending writes the next write call.
type shard struct {
	owner *Shards
	name  string // name of the platform object

	mu        sync.Mutex
	nextRead  *pendingRead  // read that further calls can still join, nil if there is none
	nextBatch *writeBatch   // batch that further changes can still join, nil if there is none
	writing   chan struct{} // semaphore, held while a batch is written

	cached        shardJSON // content as last read or written; its map is never modified
	cachedVersion int64     // version of the platform object, 0 if nothing is cached
	cachedAt      time.Time // when the content was read or written
	recovery      recovery  // what is known of content that the platform has lost
}

// pendingRead is a read of a shard that several callers wait for.
type pendingRead struct {
	done    chan struct{} // closed when content and err are set
	content shardJSON
	err     error
}

// writeBatch is a group of changes that one call writes, at most one of each budget.
type writeBatch struct {
	done    chan struct{} // closed when each change has its result in err
	changes []*change
}

// read returns the content of the shard. The content is read by a call to the platform
// that starts after read was called, so it is at least as recent as the call of read.
func (s *shard) read(ctx context.Context) (shardJSON, error) {
	s.mu.Lock()
	r := s.nextRead
	if r == nil {
		r = &pendingRead{done: make(chan struct{})}
		s.nextRead = r
		s.mu.Unlock()
		awaitBatch(ctx)
		s.mu.Lock()
		s.nextRead = nil // reads requested after this point need another call
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

// write writes a change, in a batch with other pending changes, and returns the result of
// the change. A batch holds at most one change of each budget, because an edit must see
// only stored content, not the result of another edit whose batch may fail. So write
// waits while the pending batch has another change of the same budget.
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

// join adds a change to the pending batch, or to a new batch if none is pending. It
// returns that batch. The result leader reports whether the caller must write the batch.
// The result joined is false if the batch already has a change of the same budget; the
// change is then not added.
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

// runBatch waits for further changes to join a batch and for the previous batch to be
// written. Then it writes the batch.
func (s *shard) runBatch(ctx context.Context, w *writeBatch) {
	awaitBatch(ctx)
	s.writing <- struct{}{}
	defer func() { <-s.writing }()
	s.mu.Lock()
	s.nextBatch = nil
	s.mu.Unlock()
	s.commit(ctx, w.changes)
	close(w.done)
}

// commit applies changes to the content of the shard and writes the shard if any of them
// changed the content. After a conflict it applies all changes to the new content and
// writes again. It stores the result of each change in the change's err. It makes no call
// to the platform if the content cached within noopCacheAge shows that no change changes
// the content and none fails.
func (s *shard) commit(ctx context.Context, changes []*change) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), batchTimeout)
	defer cancel()
	if content, _, ok := s.cachedWithin(noopCacheAge); ok && !applyAll(changes, content) && !anyFailed(changes) {
		return
	}
	for try := range maxWriteAttempts {
		err := s.tryCommit(ctx, changes, try == 0)
		if err == nil {
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

// tryCommit makes one attempt of commit. It fails with object.ErrConflict if another
// instance has written the shard. The argument allowCached is that of readForWrite.
func (s *shard) tryCommit(ctx context.Context, changes []*change, allowCached bool) error {
	content, version, err := s.readForWrite(ctx, allowCached)
	if err != nil {
		return err
	}
	if content, version, err = s.recover(ctx, content, version); err != nil {
		return err
	}
	if !applyAll(changes, content) {
		return nil
	}
	if _, err := s.put(ctx, content, version); err != nil {
		return err
	}
	s.recordAtPeer(ctx, changes, content)
	return nil
}

// put writes content in place of the given version of the platform object, caches it and
// returns its version.
func (s *shard) put(ctx context.Context, content shardJSON, version int64) (written int64, err error) {
	data, err := json.Marshal(content)
	if err != nil {
		return 0, errors.Wrapf(err, "ledger: encode shard %s", s.name)
	}
	if written, err = s.owner.store.Put(ctx, ShardKind, s.name, version, data); err != nil {
		return 0, err
	}
	s.setCached(content, written)
	return written, nil
}

// setCached caches content, which was just read or written, as the content of the shard.
// Version is the version of the platform object with this content.
func (s *shard) setCached(content shardJSON, version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recovery.note(s.cached, s.cachedVersion, content, version)
	s.cached, s.cachedVersion, s.cachedAt = content, version, time.Now()
}

// readForWrite returns the content that a write is based on, and the version of the
// platform object. It returns the cached content if allowCached is true and the content
// is younger than writeCacheAge. Otherwise it reads the shard. A write that is based on
// outdated content ends in a conflict. For the next attempt the caller sets allowCached
// to false, because the conflict shows that the cached content is out of date.
func (s *shard) readForWrite(ctx context.Context, allowCached bool) (shardJSON, int64, error) {
	if content, version, ok := s.cachedWithin(writeCacheAge); ok && allowCached {
		return content, version, nil
	}
	content, version, err := s.fetch(ctx)
	if err == nil {
		s.setCached(content.clone(), version)
	}
	return content, version, err
}

// cachedWithin returns a copy of the shard's cached content and the version of its platform
// object. The third result is false if the content is older than age or not complete, or
// nothing is cached.
func (s *shard) cachedWithin(age time.Duration) (shardJSON, int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cachedVersion == 0 || time.Since(s.cachedAt) >= age || !s.complete(s.cached) {
		return shardJSON{}, 0, false
	}
	return s.cached.clone(), s.cachedVersion, true
}

// fetch reads the shard from the platform and returns its content and version. A shard
// that does not exist has empty content and version 0. In a later era than the first that is not
// complete: the platform may have lost the shard, which another instance remembers.
func (s *shard) fetch(ctx context.Context) (shardJSON, int64, error) {
	content := shardJSON{}
	o, err := s.owner.store.Get(ctx, ShardKind, s.name)
	switch {
	case errors.Is(err, object.ErrNotFound):
	case err != nil:
		return content, 0, err
	default:
		if err := json.Unmarshal(o.Value(), &content); err != nil {
			return content, 0, errors.Wrapf(err, "ledger: decode shard %s", s.name)
		}
	}
	if content.Ledgers == nil {
		content.Ledgers = map[string]entryJSON{}
	}
	return content, o.Version(), nil
}

// awaitBatch waits for batchDelay, or until ctx ends, so that further reads or writes of
// the shard can join the pending batch.
func awaitBatch(ctx context.Context) { pause.For(ctx, batchDelay) }
