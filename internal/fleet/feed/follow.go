package feed

import (
	"time"

	"jacinthladder.dev/internal/plat/object"
)

// Role says how a feed learns of changes.
type Role int

const (
	// Alone is the role of a feed that watches the platform for itself.
	Alone Role = iota
	// Leader is the role of a feed that watches the platform for its followers, too.
	Leader
	// Follower is the role of a feed that gets the changes from its peers. It calls the
	// platform only if they have confirmed nothing for confirmTimeout.
	Follower
)

const (
	// A leader hears from the platform at least once in a WatchTimeout divided by
	// leaderDivisor. That and the exchange of heartbeats, twice a second, take less than
	// the confirmTimeout of its followers.
	leaderDivisor = 2
	// checkInterval is how often a follower checks its role.
	checkInterval = 100 * time.Millisecond
)

// Known says which changes of the objects a feed knows: all of them from one version of the
// platform to another.
type Known struct {
	From, To int64
	Age      time.Duration // time since the platform last confirmed To
}

// confirmTimeout returns the time since the last confirmation after which a follower calls
// the platform itself. It leaves a quarter of WatchTimeout for that call.
func (f *Feed) confirmTimeout() time.Duration { return f.WatchTimeout * 3 / 4 }

// role returns the present role of the feed.
func (f *Feed) role() Role {
	if f.Role == nil {
		return Alone
	}
	return f.Role()
}

// restTime returns how long the feed need not call the platform, 0 unless it is a follower
// whose peers have confirmed what it knows. A feed that waits for an object to come back, or to be
// removed again, does not rest.
func (f *Feed) restTime(now time.Time) time.Duration {
	if f.role() != Follower {
		return 0
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.listed || f.watched == 0 || f.renew || len(f.missing) > 0 || len(f.restored) > 0 {
		return 0
	}
	return min(max(f.confirmTimeout()-now.Sub(f.heardAt), 0), checkInterval)
}

// watchTime returns how long the next watch may wait for an update, if it begins after the
// time delay.
func (f *Feed) watchTime(delay time.Duration, now time.Time) time.Duration {
	wait := f.nextTimeout(now)
	switch f.role() {
	case Leader:
		return max(min(wait, f.WatchTimeout/leaderDivisor-delay), 0)
	case Follower:
		return 0
	default:
		return wait
	}
}

// Known returns which changes the feed knows, and whether it knows any. What Since returns
// afterwards includes them.
func (f *Feed) Known(now time.Time) (Known, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.listed || f.watched == 0 {
		return Known{}, false
	}
	return Known{From: f.listedTo, To: f.watched, Age: now.Sub(f.heardAt)}, true
}

// Confirm tells the feed which changes a peer knew at the time now. The caller has merged all
// objects that the peer had. If the peer knows every change since those that this feed
// knows, then this feed knows as much as the peer.
func (f *Feed) Confirm(peer Known, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.listed || f.watched == 0 || f.watched < peer.From || object.EraOf(f.watched) != object.EraOf(peer.To) {
		return
	}
	f.watched = max(f.watched, peer.To)
	if heardAt := now.Add(-max(peer.Age, 0)); heardAt.After(f.heardAt) {
		f.heardAt = heardAt
		f.confirm(heardAt, now)
	}
}
