package feed

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"jacinthladder.dev/internal/plat/object"
)

// fleet is a group of feeds of one store. Feed 0 leads and the others follow it, as long as
// they exchange heartbeats.
type fleet struct {
	store *fakeStore
	feeds []*Feed
	calls []*atomic.Int64 // of each feed
	fault []fault         // of each feed
	mu    sync.Mutex      // held for fault
}

// fault is what is wrong with one feed's instance.
type fault int

const (
	sound     fault = iota
	mute            // exchanges no heartbeats
	storeless       // calls to the store get no response
	frozen          // neither
)

const (
	followTimeout     = 4 * time.Second // WatchTimeout of the feeds of a fleet
	heartbeatInterval = 500 * time.Millisecond
)

// startFleet starts the given number of feeds.
func startFleet(t *testing.T, count int) *fleet {
	f := &fleet{store: &fakeStore{objects: map[string]object.Object{}, version: 5}, fault: make([]fault, count)}
	f.store.set(object.New("thing", "main", 6, nil))
	ctx, cancel := context.WithCancel(t.Context())
	var loops sync.WaitGroup
	t.Cleanup(func() { cancel(); loops.Wait() })
	for i := range count {
		calls := &atomic.Int64{}
		store := &object.Store{Watch: func(ctx context.Context, kind string, after int64, wait time.Duration) (object.Page, error) {
			calls.Add(1)
			if fault := f.faultOf(i); fault == storeless || fault == frozen {
				<-ctx.Done()
				return object.Page{}, object.ErrUnknownOutcome
			}
			page, err := f.store.watch(ctx, kind, after, wait)
			if fault := f.faultOf(i); fault == storeless || fault == frozen {
				<-ctx.Done() // the response is lost
				return object.Page{}, object.ErrUnknownOutcome
			}
			return page, err
		}}
		feed := New("thing", store, &log.Logger{Handler: discard.New()})
		feed.Apply, feed.WatchTimeout = func(string, object.Object) {}, followTimeout
		feed.Role = func() Role {
			if i == 0 {
				return Leader
			}
			return Follower
		}
		f.feeds, f.calls = append(f.feeds, feed), append(f.calls, calls)
		loops.Go(func() { feed.Run(ctx) })
	}
	for i := 1; i < count; i++ {
		loops.Go(func() { f.heartbeats(ctx, i) })
	}
	return f
}

func (f *fleet) faultOf(i int) fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fault[i]
}

func (f *fleet) setFault(i int, fault fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault[i] = fault
}

// heartbeats exchanges heartbeats between feed i and its leader.
func (f *fleet) heartbeats(ctx context.Context, i int) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatInterval):
		}
		if lead := f.faultOf(0); lead == mute || lead == frozen {
			continue
		}
		leader, follower := f.feeds[0], f.feeds[i]
		known, ok := leader.Known(time.Now())
		newest := leader.Version()
		objects, complete := leader.Since(follower.Version())
		follower.MergePeer("leader", objects, complete)
		if ok && follower.Version() >= newest {
			follower.Confirm(known, time.Now())
		}
	}
}

// callsOf returns the number of calls of all followers.
func (f *fleet) callsOfFollowers() (calls int64) {
	for _, c := range f.calls[1:] {
		calls += c.Load()
	}
	return calls
}

func TestFollowersCallThePlatformOnlyToStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const count = 13
		f := startFleet(t, count)
		for i := range 100 {
			time.Sleep(time.Second)
			f.store.set(object.New("thing", fmt.Sprint("e-", i), 7+int64(i), nil))
		}
		time.Sleep(2 * heartbeatInterval)
		if calls := f.callsOfFollowers(); calls > 2*count {
			t.Errorf("%d followers made %d calls in 100 s, want at most 2 each", count-1, calls)
		}
		for i, feed := range f.feeds {
			if feed.Version() != f.store.version {
				t.Errorf("feed %d has version %d, want %d", i, feed.Version(), f.store.version)
			}
		}
	})
}

// Whatever happens to the leader, a follower that reaches the store knows each change within
// WatchTimeout. The faults begin at all moments between two calls of the leader.
func TestFollowersKnowChangesInTimeWithoutTheirLeader(t *testing.T) {
	for _, fault := range []fault{mute, storeless, frozen} {
		for begin := time.Duration(0); begin < followTimeout; begin += 200 * time.Millisecond {
			synctest.Test(t, func(t *testing.T) {
				f := startFleet(t, 4)
				time.Sleep(20*time.Second + begin)
				f.setFault(0, fault)
				for version := int64(10); version < 15; version++ {
					f.store.set(object.New("thing", "main", version, nil))
					time.Sleep(followTimeout)
					for i, feed := range f.feeds[1:] {
						if feed.Version() != version {
							t.Errorf("fault %d of the leader at %s: follower %d has version %d, %s after the change to %d", fault, begin, i, feed.Version(), followTimeout, version)
						}
					}
				}
			})
		}
	}
}

// A follower that has a change which its leader lacks, or knows less than the leader's list
// covers, does not take what the leader knows for what it knows itself.
func TestConfirmationNeedsAllChangesBetween(t *testing.T) {
	for _, tc := range []struct {
		name          string
		watched       int64
		peer          Known
		want          int64
		wantConfirmed bool
	}{
		{"peer listed before", 20, Known{From: 10, To: 30}, 30, true},
		{"peer listed at the same version", 20, Known{From: 20, To: 30}, 30, true},
		{"peer listed afterwards", 20, Known{From: 21, To: 30}, 20, false},
		{"peer knows less", 20, Known{From: 10, To: 15}, 20, true},
		{"peer of a later era", 20, Known{From: 10, To: object.VersionIn(1, 5)}, 20, false},
		{"nothing listed", 0, Known{From: 0, To: 30}, 0, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := New("thing", nil, &log.Logger{Handler: discard.New()})
			f.watched, f.listed = tc.watched, true
			now := time.Now()
			f.Confirm(tc.peer, now)
			if f.watched != tc.want || f.heardAt.Equal(now) != tc.wantConfirmed {
				t.Errorf("the feed knows the changes to %d, confirmed %t, want %d, %t", f.watched, f.heardAt.Equal(now), tc.want, tc.wantConfirmed)
			}
		})
	}
}

// An object that was deleted while a feed heard nothing must not stay, when its next leader
// has only listed the objects since.
func TestDeletionIsNotMissedWithANewLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 2)
		f.feeds[1].DeleteGrace = time.Second
		f.store.set(object.New("thing", "gone", 7, nil))
		time.Sleep(10 * time.Second)
		f.setFault(0, frozen)
		f.store.drop("gone")
		next := New("thing", &object.Store{Watch: f.store.watch}, &log.Logger{Handler: discard.New()})
		next.Apply = func(string, object.Object) {}
		if _, err := next.fetch(t.Context(), 0); err != nil {
			t.Fatal(err)
		}
		known, _ := next.Known(time.Now())
		f.feeds[1].Confirm(known, time.Now())
		time.Sleep(2 * followTimeout)
		f.feeds[1].mu.Lock()
		defer f.feeds[1].mu.Unlock()
		if !f.feeds[1].objects["gone"].Deleted() {
			t.Error("the follower still has the object that was deleted before its next leader listed the objects")
		}
	})
}
