package member

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// digestSize is the largest number of pulses in one digest.
const digestSize = 256

// Pulse is the heartbeat counter of one process, in short form.
type Pulse struct {
	Key       uint64 // hash of the process ID
	Heartbeat uint64
	Leaving   bool
}

// Digest holds the pulses of the live members whose keys are in a range, in order of key. A
// member with a key in that range that the digest lacks is not live for its sender.
type Digest struct {
	From, To uint64 // first and last key of the range
	Pulses   []Pulse
}

// keyOf returns the key of a process.
func keyOf(process string) uint64 { return xxhash.Sum64String(process) }

// Digest returns the pulses of the live members to include in a gossip message, at most
// digestSize. This process is not among them. If there are more live members, the ranges of
// successive digests rotate through them.
func (t *Table) Digest(now time.Time) Digest {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := Digest{To: math.MaxUint64}
	for _, r := range t.known {
		if !t.suspect(r, now) {
			d.Pulses = append(d.Pulses, Pulse{Key: r.key, Heartbeat: r.Heartbeat, Leaving: r.Leaving})
		}
	}
	slices.SortFunc(d.Pulses, func(a, b Pulse) int { return cmp.Compare(a.Key, b.Key) })
	if len(d.Pulses) <= digestSize {
		return d
	}
	return t.nextRange(d.Pulses)
}

// nextRange returns the digest of the range that follows that of the last call. The caller
// holds the lock.
func (t *Table) nextRange(pulses []Pulse) Digest {
	first, _ := slices.BinarySearchFunc(pulses, t.nextKey, func(p Pulse, key uint64) int { return cmp.Compare(p.Key, key) })
	d := Digest{From: t.nextKey, To: math.MaxUint64, Pulses: pulses[first:]}
	t.nextKey = 0
	if len(d.Pulses) > digestSize {
		d.Pulses = d.Pulses[:digestSize]
		d.To = d.Pulses[digestSize-1].Key
		t.nextKey = d.To + 1
	}
	return d
}

// MergeDigest stores the heartbeat counters of a received digest that are higher than the
// known ones. The time now is recorded as the time of their arrival. It ignores processes that
// are not known, and this one.
func (t *Table) MergeDigest(now time.Time, d Digest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range d.Pulses {
		if r := t.byKey[p.Key]; r != nil && p.Heartbeat > r.Heartbeat {
			r.Heartbeat, r.Leaving, r.heardAt = p.Heartbeat, p.Leaving, now
		}
	}
}

// Lacking returns the live members in the range of a received digest that are not in it, at
// most sampleSize.
func (t *Table) Lacking(now time.Time, d Digest) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	present := make(map[uint64]bool, len(d.Pulses))
	for _, p := range d.Pulses {
		present[p.Key] = true
	}
	var lacking []Member
	for _, r := range t.known {
		if len(lacking) < sampleSize && r.key >= d.From && r.key <= d.To && !present[r.key] && !t.suspect(r, now) {
			lacking = append(lacking, r.Member)
		}
	}
	return lacking
}
