package ledger

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"jacinthladder.dev/internal/plat/object"
)

const (
	// LayoutKind is the kind of the object that says over how many shards the ledgers are spread, and
	// layoutName its name.
	LayoutKind = "layouts"
	layoutName = "budgets"
	// maxShards is the largest number of shards that is taken for one.
	maxShards = 4096
)

// layoutJSON is the value of the layout. It is written once, so that all instances look for a ledger in
// the same shard, whatever their settings and their build.
type layoutJSON struct {
	Shards int `json:"shards"`
}

// agree returns the shards that all instances use. At the first call that succeeds it reads the layout,
// or creates it.
func (s *Shards) agree(ctx context.Context) ([]*shard, error) {
	if shards := s.agreed.Load(); shards != nil {
		return *shards, nil
	}
	s.agreeing.Lock()
	defer s.agreeing.Unlock()
	if shards := s.agreed.Load(); shards != nil {
		return *shards, nil
	}
	ctx, cancel := context.WithTimeout(ctx, batchTimeout)
	defer cancel()
	for range maxWriteAttempts {
		count, err := s.readLayout(ctx)
		if errors.Is(err, object.ErrNotFound) {
			if count, err = s.deriveLayout(ctx); err == nil {
				err = s.writeLayout(ctx, count)
			}
		}
		if errors.Is(err, object.ErrConflict) {
			continue // another instance has created it
		}
		if err != nil {
			return nil, err
		}
		return s.setCount(count), nil
	}
	return nil, errors.Wrap(object.ErrConflict, "ledger: create the layout")
}

// setCount sets the number of shards, and passes on to them what peers have recorded before.
func (s *Shards) setCount(count int) []*shard {
	var shards []*shard
	for i := range count {
		shards = append(shards, &shard{owner: s, name: shardName(i), writing: make(chan struct{}, 1)})
	}
	s.early.Lock()
	defer s.early.Unlock()
	s.agreed.Store(&shards)
	for _, r := range s.earlyRecords {
		keepIn(shards, r)
	}
	s.earlyRecords = nil
	return shards
}

func shardName(i int) string { return fmt.Sprintf("group-%d", i) }

// readLayout returns the number of shards in the layout. It fails with object.ErrNotFound if there is
// none, and with another error if it can't be read: it is never taken for absent then.
func (s *Shards) readLayout(ctx context.Context) (int, error) {
	o, err := s.store.Get(ctx, LayoutKind, layoutName)
	if err != nil {
		return 0, err
	}
	var j layoutJSON
	if err := json.Unmarshal(o.Value(), &j); err != nil || j.Shards < 1 || j.Shards > maxShards {
		return 0, errors.Newf("ledger: object %s/%s, format 1: got %.80q, want the number of shards, from 1 to %d", LayoutKind, layoutName, o.Value(), maxShards)
	}
	return j.Shards, nil
}

// writeLayout creates the layout. It fails with object.ErrConflict if there is one.
func (s *Shards) writeLayout(ctx context.Context, count int) error {
	data, err := json.Marshal(layoutJSON{Shards: count})
	if err != nil {
		return errors.Wrap(err, "ledger: encode the layout")
	}
	_, err = s.store.Put(ctx, LayoutKind, layoutName, 0, data)
	return err
}

// restoreLayout creates the layout again if the platform has lost it with an older copy.
func (s *Shards) restoreLayout(ctx context.Context, count int) {
	if s.fixed || s.store.Era == nil {
		return
	}
	era, stated := s.store.Era()
	if !stated || era == s.layoutEra.Load() {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, batchTimeout)
	defer cancel()
	if err := s.writeLayout(callCtx, count); err != nil && !errors.Is(err, object.ErrConflict) {
		s.failed(ctx, err) // the next call tries again
		return
	}
	s.layoutEra.Store(era)
}

// failed reports an error of the layout, unless ctx has ended.
func (s *Shards) failed(ctx context.Context, err error) {
	if s.RecoveryFailed != nil && ctx.Err() == nil {
		s.RecoveryFailed(layoutName, err)
	}
}

// deriveLayout returns the number of shards by which the stored ledgers were spread, the preferred one if
// it fits them. A build without layouts, or one whose layout the platform has lost, has written them.
func (s *Shards) deriveLayout(ctx context.Context) (int, error) {
	page, err := s.store.Watch(ctx, ShardKind, 0, 0)
	if err != nil {
		return 0, err
	}
	stored := map[string][]string{} // budgets by the name of their shard
	for _, o := range page.Objects() {
		var content shardJSON
		if err := json.Unmarshal(o.Value(), &content); err != nil {
			return 0, errors.Wrapf(err, "ledger: object %s/%s can't be read, so that it is not known how ledgers are spread", ShardKind, o.Name())
		}
		for budget := range content.Ledgers {
			stored[o.Name()] = append(stored[o.Name()], budget)
		}
	}
	if fits(stored, s.preferred) {
		return s.preferred, nil
	}
	for count := range maxShards {
		if fits(stored, count+1) {
			return count + 1, nil
		}
	}
	return 0, errors.New("ledger: no number of shards fits the stored ledgers")
}

// fits reports whether ledgers that are spread over a number of shards are where they are stored.
func fits(stored map[string][]string, count int) bool {
	for name, budgets := range stored {
		for _, b := range budgets {
			if shardName(indexOf(b, count)) != name {
				return false
			}
		}
	}
	return true
}

// indexOf returns the index of the shard that holds a budget's ledger.
func indexOf(budget string, count int) int { return int(xxhash.Sum64String(budget) % uint64(count)) }
