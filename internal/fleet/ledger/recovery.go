package ledger

import (
	"bytes"
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"jacinthladder.dev/internal/fleet/pause"
	"jacinthladder.dev/internal/plat/object"
)

const (
	// defaultRecoveryTime is the value of Shards.RecoveryTime that NewShards sets.
	defaultRecoveryTime = 3 * time.Second
	// recoverySpread is the time over which the instances are spread that note the era in
	// a shard. All but the first find it noted.
	recoverySpread = 500 * time.Millisecond
	// recoveryInterval is how often Run looks whether the platform came back from an
	// older copy, and the time between two attempts to write back.
	recoveryInterval = 200 * time.Millisecond
)

// errIncomplete means that the platform came back from an older copy of a shard, and that
// not all instances had the time to write back what they know of it.
var errIncomplete = errors.Wrap(object.ErrRefused, "ledger: the platform came back from an older copy of the ledgers")

// recovery is what this instance knows of the content of a shard that the platform may
// have lost.
//
// The platform can come back from a copy of its content that is some seconds old, in a
// new era. What was written to a shard since is gone: a ledger then shows as free what
// has been granted and spent. Until then the ledger had one history, in which its version
// rose by one with each write. So of all contents that the instances have seen, the one
// with the highest version has everything.
//
// In a new era no ledger is changed until each instance that reaches the platform had
// the time to write back the ledgers of which it knows a higher version. Then one of the
// instances notes the era in the shard, which is complete from there on. What no instance
// remembers is lost. Shards.Record makes a second instance remember each write.
type recovery struct {
	era   int64                // the last era in which the known ledgers were complete
	known map[string]entryJSON // highest versions seen, by budget, other than in the cached content

	pending   int64         // era for which the shard is being completed, 0 if none
	since     time.Time     // when this instance learned of that era
	delay     time.Duration // time from since until this instance notes the era
	wroteBack bool          // this instance has written back what it knows
}

// note keeps the ledgers of the cached content if the content now, which replaces it, does
// not continue it because the platform has lost changes in between. Both come with their
// versions, which are 0 if there is no object.
func (r *recovery) note(cached shardJSON, cachedVersion int64, now shardJSON, version int64) {
	if cachedVersion == 0 || version != 0 && object.EraOf(version) <= object.EraOf(cachedVersion) && now.Era >= cached.Era {
		return
	}
	r.keep(cached.Era, cached.Ledgers)
}

// keep adds ledgers that were last complete in an era to the known ones. Those of a later
// era replace all known ones, because they continue them.
func (r *recovery) keep(era int64, ledgers map[string]entryJSON) {
	if era < r.era {
		return
	}
	if era > r.era || r.known == nil {
		r.era, r.known = era, map[string]entryJSON{}
	}
	merge(r.known, ledgers, newer)
}

// merge puts those of the given ledgers into the map into that supersede the one there. It
// returns their number.
func merge(into, ledgers map[string]entryJSON, supersedes func(e, stored entryJSON) bool) int {
	count := 0
	for budget, e := range ledgers {
		if supersedes(e, into[budget]) {
			into[budget] = e
			count++
		}
	}
	return count
}

// newer reports whether e has a higher version than the stored ledger.
func newer(e, stored entryJSON) bool { return e.Version > stored.Version }

// newerOrAcknowledged reports whether e, which was acknowledged in the era that the
// platform has lost, supersedes the stored ledger. It does so also if both have the same
// version and differ. The stored one was then written by an instance that did not know yet
// that the platform has lost changes, on the version that the copy has, and that write was
// not acknowledged.
func newerOrAcknowledged(e, stored entryJSON) bool {
	return newer(e, stored) || e.Version == stored.Version && !bytes.Equal(e.Ledger, stored.Ledger)
}

// begin notes that the shard is to be completed for an era, after the time d at the
// earliest, unless that has begun.
func (r *recovery) begin(era int64, d time.Duration) {
	if r.pending != era {
		r.pending, r.since, r.wroteBack = era, time.Now(), false
		r.delay = d + rand.N(recoverySpread)
	}
}

// addKnown adds the known ledgers that the content lacks, and returns their number.
func (r *recovery) addKnown(content *shardJSON) int {
	switch {
	case r.era < content.Era:
		return 0 // the content continues them
	case r.era > content.Era:
		content.Era = r.era
		maps.Copy(content.Ledgers, r.known)
		return len(r.known)
	default:
		return merge(content.Ledgers, r.known, newerOrAcknowledged)
	}
}

// era returns the platform's era, and whether the platform has eras.
func (s *shard) era() (era int64, stated bool) {
	if s.owner.store.Era == nil {
		return 0, false
	}
	return s.owner.store.Era()
}

// complete reports whether the content of the shard has all changes of eras before the
// present one that the instances remember.
func (s *shard) complete(content shardJSON) bool {
	era, _ := s.era()
	return content.Era >= era
}

// recover completes content, which was read at the given version, after the platform came
// back from an older copy. It writes back the ledgers of which this instance knows a
// higher version and, once Shards.RecoveryTime has passed, notes the era. It returns the
// complete content and its version. It fails with errIncomplete while the other
// instances have time to write, and with object.ErrConflict if another one has written.
func (s *shard) recover(ctx context.Context, content shardJSON, version int64) (shardJSON, int64, error) {
	if s.complete(content) {
		return content, version, nil
	}
	era, _ := s.era()
	content = content.clone()
	s.mu.Lock()
	s.recovery.begin(era, s.owner.RecoveryTime)
	added := s.recovery.addKnown(&content)
	done := time.Since(s.recovery.since) >= s.recovery.delay
	s.mu.Unlock()
	if added == 0 && !done {
		s.noteWrittenBack()
		return content, version, errIncomplete
	}
	if done {
		content.Era = era
	}
	written, err := s.put(ctx, content, version)
	if err != nil {
		return content, version, err
	}
	s.noteWrittenBack()
	if s.owner.Recovered != nil {
		s.owner.Recovered(s.name, added, done)
	}
	if !done {
		return content, written, errIncomplete
	}
	return content.clone(), written, nil
}

// noteWrittenBack notes that the platform has all that this instance knows of the shard.
func (s *shard) noteWrittenBack() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recovery.wroteBack = true
}

// Run completes the shards that this instance knows each time that the platform has come
// back from an older copy of its content, until ctx ends.
func (s *Shards) Run(ctx context.Context) {
	pause.Every(ctx, recoveryInterval, func(time.Time) {
		shards, err := s.agree(ctx)
		if err != nil {
			s.failed(ctx, err)
			return
		}
		s.restoreLayout(ctx, len(shards))
		var work sync.WaitGroup
		for _, sh := range shards {
			if sh.recoveryDue() {
				work.Go(func() { sh.tryRecover(ctx) })
			}
		}
		work.Wait()
	})
}

// recoveryDue reports whether this instance should now write back what it knows of the
// shard, or note the era in it.
func (s *shard) recoveryDue() bool {
	era, _ := s.era()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.cachedVersion != 0 && s.cached.Era >= era:
		return false
	case s.cachedVersion == 0 && (len(s.recovery.known) == 0 || s.recovery.era >= era):
		return false // nothing is known that the platform may have lost
	}
	s.recovery.begin(era, s.owner.RecoveryTime)
	return !s.recovery.wroteBack || time.Since(s.recovery.since) >= s.recovery.delay
}

// tryRecover makes one attempt to complete the shard. Run tries again if it fails.
func (s *shard) tryRecover(ctx context.Context) {
	s.writing <- struct{}{}
	defer func() { <-s.writing }()
	ctx, cancel := context.WithTimeout(ctx, batchTimeout)
	defer cancel()
	content, version, err := s.readForWrite(ctx, false)
	if err == nil {
		_, _, err = s.recover(ctx, content, version)
	}
	if err != nil && !errors.IsAny(err, errIncomplete, object.ErrConflict) && s.owner.RecoveryFailed != nil {
		s.owner.RecoveryFailed(s.name, err)
	}
}

// Record holds the ledgers of one shard that a write has changed.
type Record struct {
	Shard   string
	Era     int64 // the last era in which the content of the shard was complete
	Ledgers []RecordedLedger
}

// RecordedLedger is one ledger of a Record.
type RecordedLedger struct {
	Budget  string
	Version int64
	Data    []byte // stored form of the ledger
}

// Keep remembers the ledgers that a peer has written, in case that the platform loses
// them. A record of an unknown shard is ignored.
func (s *Shards) Keep(r Record) {
	s.early.Lock()
	defer s.early.Unlock()
	if shards := s.agreed.Load(); shards != nil {
		keepIn(*shards, r)
		return
	}
	s.earlyRecords = append(s.earlyRecords, r)
}

// keepIn remembers a record in its shard.
func keepIn(shards []*shard, r Record) {
	ledgers := map[string]entryJSON{}
	for _, l := range r.Ledgers {
		ledgers[l.Budget] = entryJSON{Version: l.Version, Ledger: l.Data}
	}
	for _, sh := range shards {
		if sh.name == r.Shard {
			sh.mu.Lock()
			sh.recovery.keep(r.Era, ledgers)
			sh.mu.Unlock()
		}
	}
}

// recordAtPeer passes the ledgers that changes have changed in the written content to
// Shards.Record, if the platform can lose them.
func (s *shard) recordAtPeer(ctx context.Context, changes []*change, content shardJSON) {
	if _, stated := s.era(); s.owner.Record == nil || !stated {
		return
	}
	r := Record{Shard: s.name, Era: content.Era}
	for _, c := range changes {
		if e := content.Ledgers[c.budget]; c.edited {
			r.Ledgers = append(r.Ledgers, RecordedLedger{Budget: c.budget, Version: e.Version, Data: e.Ledger})
		}
	}
	if len(r.Ledgers) > 0 {
		s.owner.Record(ctx, r)
	}
}
