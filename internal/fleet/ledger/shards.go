package ledger

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"jacinthladder.dev/coord/escrow"
	"jacinthladder.dev/internal/fleet/pause"
	"jacinthladder.dev/internal/plat/object"
)

const (
	// ShardKind is the kind of the platform objects that hold many ledgers.
	ShardKind = "budgets"
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

// Shards stores ledgers in a number of platform objects, the shards, on which all instances agree. Each shard
// holds the ledgers of many budgets, so that one call to the platform reads or writes
// many ledgers. Concurrent reads of a shard share a call, and so do concurrent writes.
// Each ledger has a version of its own, so that a write conflicts only with another
// write of the same budget. Use NewShards to create one.
type Shards struct {
	// RecoveryTime is how long no ledger of a shard is changed after this instance has
	// learned that the platform came back from an older copy. All instances that reach the
	// platform must learn of it and write back what they know in that time. NewShards sets
	// a default.
	RecoveryTime time.Duration
	// Record, if set, is called with the ledgers that a write has changed, before the
	// result of the write is used. It makes another instance remember them (see Keep), so
	// that they are not lost if the platform loses them while this process ends.
	Record func(ctx context.Context, r Record)
	// Recovered, if set, is called when this instance has written a shard after the
	// platform came back from an older copy: with the name of the shard, the number of
	// ledgers that were newer at this instance, and whether the shard is complete now.
	// RecoveryFailed, if set, is called with the error of a write that failed.
	Recovered      func(shard string, newer int, complete bool)
	RecoveryFailed func(shard string, err error)

	store     *object.Store
	preferred int        // number of shards if the platform has no layout
	fixed     bool       // there is no layout
	agreeing  sync.Mutex // held while the layout is read or created
	agreed    atomic.Pointer[[]*shard]
	layoutEra atomic.Int64 // era of the platform in which the layout was last known to be stored

	early        sync.Mutex
	earlyRecords []Record // see Keep, until the number of shards is agreed
}

// NewShards returns a store with the number of shards in the platform's layout. If there is none, the
// store creates it, with the given number unless ledgers are spread by another one.
func NewShards(store *object.Store, preferred int) *Shards {
	return &Shards{store: store, RecoveryTime: defaultRecoveryTime, preferred: min(max(preferred, 1), maxShards)}
}

// NewFixedShards returns a store with count shards, at least one, whatever the platform's layout.
func NewFixedShards(store *object.Store, count int) *Shards {
	s := NewShards(store, count)
	s.fixed = true
	s.setCount(s.preferred)
	return s
}

// Store returns an escrow store whose functions are the methods Read, Write and Update of
// s.
func (s *Shards) Store() escrow.Store {
	return escrow.Store{Read: s.Read, Write: s.Write, Update: s.Update}
}

// shardFor returns the shard that holds a budget's ledger, chosen by the hash of the
// budget's name.
func (s *Shards) shardFor(ctx context.Context, budget string) (*shard, error) {
	shards, err := s.agree(ctx)
	if err != nil {
		return nil, err
	}
	return shards[indexOf(budget, len(shards))], nil
}

// ShardName returns the name of the platform object that holds a budget's ledger. Until the number of
// shards is agreed, that is the name by the preferred number.
func (s *Shards) ShardName(budget string) string {
	count := s.preferred
	if shards := s.agreed.Load(); shards != nil {
		count = len(*shards)
	}
	return shardName(indexOf(budget, count))
}

// Read returns the ledger of a budget and the version of this ledger, not of its shard. It
// fails with escrow.ErrNotFound if the budget has no ledger.
func (s *Shards) Read(ctx context.Context, budget string) (*escrow.Ledger, int64, error) {
	sh, err := s.shardFor(ctx, budget)
	if err != nil {
		return nil, 0, err
	}
	content, err := sh.read(ctx)
	if err != nil {
		return nil, 0, err
	}
	if !sh.complete(content) {
		return nil, 0, errIncomplete
	}
	e, ok := content.Ledgers[budget]
	if !ok {
		return nil, 0, errors.Wrap(escrow.ErrNotFound, budget)
	}
	l := &escrow.Ledger{}
	if err := json.Unmarshal(e.Ledger, l); err != nil {
		return nil, 0, errors.Wrapf(err, "ledger: decode the ledger of budget %s", budget)
	}
	return l, e.Version, nil
}

// Write replaces the ledger of a budget by l if its version is still the given one, as
// returned by Read. Version 0 creates the ledger if there is none. Write fails with
// escrow.ErrConflict if the ledger has another version.
func (s *Shards) Write(ctx context.Context, budget string, version int64, l *escrow.Ledger) error {
	return s.write(ctx, &change{budget: budget, edit: func(stored int64, ledger *escrow.Ledger) (bool, error) {
		if stored != version {
			return false, errors.Wrap(escrow.ErrConflict, budget)
		}
		*ledger = *l
		return true, nil
	}})
}

// write makes one change in the shard of its budget.
func (s *Shards) write(ctx context.Context, c *change) error {
	sh, err := s.shardFor(ctx, c.budget)
	if err != nil {
		return err
	}
	return sh.write(ctx, c)
}

// Update applies edit to the stored ledger of a budget and writes the result if edit
// returns true. After a conflict with another write, it applies edit again to the new
// content, so edit may run several times. If edit returns an error, or the budget has no
// ledger, Update writes nothing and returns the error.
func (s *Shards) Update(ctx context.Context, budget string, edit func(l *escrow.Ledger) (bool, error)) error {
	return s.write(ctx, &change{budget: budget, edit: func(stored int64, l *escrow.Ledger) (bool, error) {
		if stored == 0 {
			return false, errors.Wrap(escrow.ErrNotFound, budget)
		}
		return edit(l)
	}})
}

// EnsurePaid raises the total amount paid into a budget to at least total. If the budget
// has no ledger, EnsurePaid creates it, with the budget's name as the name of its client
// account.
func (s *Shards) EnsurePaid(ctx context.Context, budget string, total int64) error {
	return s.write(ctx, &change{budget: budget, edit: func(stored int64, l *escrow.Ledger) (bool, error) {
		if stored == 0 {
			*l = *escrow.NewLedger(budget)
		}
		changed, err := l.RaisePaid(total)
		return changed || stored == 0, err
	}})
}

// shardJSON is the stored form of a shard: its ledgers by the name of their budget, and
// the last era of the platform in which the content was complete (see recovery).
type shardJSON struct {
	Ledgers map[string]entryJSON `json:"books"`
	Era     int64                `json:"era,omitempty"`
}

// clone returns a copy of the content with a map of its own.
func (c shardJSON) clone() shardJSON { return shardJSON{Ledgers: maps.Clone(c.Ledgers), Era: c.Era} }

// entryJSON is one stored ledger with its version, which starts at 1 and increases by 1
// with each write of this ledger.
type entryJSON struct {
	Version int64           `json:"version"`
	Ledger  json.RawMessage `json:"book"`
}

// change is a pending change of one budget's ledger. The function edit changes the
// ledger l in place. It receives the ledger's stored version, 0 if there is none yet, and
// reports whether l must be written.
type change struct {
	budget string
	edit   func(version int64, l *escrow.Ledger) (bool, error)
	edited bool  // the last run of edit has changed the ledger
	err    error // why the change was not written, nil if it succeeded; set before its batch is done
}

// apply runs c.edit on the budget's ledger in the content of a shard and reports whether
// it has changed the content. It stores the error of the edit in c.err, nil if there is
// none. After an error it leaves the content as it is.
func (c *change) apply(content shardJSON) bool {
	c.edited = false
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
		c.err = errors.Wrapf(err, "ledger: encode the ledger of budget %s", c.budget)
		return false
	}
	content.Ledgers[c.budget] = entryJSON{Version: e.Version + 1, Ledger: data}
	c.edited = true
	return true
}

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

// applyAll runs the edits of all changes on the content of a shard and reports whether
// any of them has changed the content.
func applyAll(changes []*change, content shardJSON) bool {
	changed := false
	for _, c := range changes {
		changed = c.apply(content) || changed
	}
	return changed
}

// anyFailed reports whether the edit of any change failed. An edit may fail because the
// cached content that it saw was out of date.
func anyFailed(changes []*change) bool {
	return slices.ContainsFunc(changes, func(c *change) bool { return c.err != nil })
}

// setCached caches content, which was just read or written, as the content of the shard.
// Version is the version of the platform object with this content.
func (s *shard) setCached(content shardJSON, version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recovery.note(s.cached, s.cachedVersion, content, version)
	s.cached, s.cachedVersion, s.cachedAt = content, version, time.Now()
}

// failAll sets err as the result of each change that has no error yet.
func failAll(changes []*change, err error) {
	for _, c := range changes {
		if c.err == nil {
			c.err = err
		}
	}
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
