package ledger

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"jacinthladder.dev/coord/escrow"
	"jacinthladder.dev/internal/plat/object"
)

// ShardKind is the kind of the platform objects that hold many ledgers.
const ShardKind = "budgets"

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
