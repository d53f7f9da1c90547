package front

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"jacinthladder.dev/coord/member"
	"jacinthladder.dev/internal/fleet/feed"
)

// members returns the entries of the given number of instances, spread over zones in turn.
func members(count, zones int) []member.Member {
	var all []member.Member
	for i := range count {
		all = append(all, member.Member{
			Process: fmt.Sprintf("entry-%d/1", i), Zone: fmt.Sprint("zone-", i%zones), Address: fmt.Sprint("10.0.0.", i, ":80"), Heartbeat: 1,
		})
	}
	return all
}

// rolesOf returns the roles as each of the members computes them.
func rolesOf(all []member.Member) []*Roles {
	var roles []*Roles
	for _, m := range all {
		table := member.NewTable(m, time.Second)
		table.Merge(time.Now(), all...)
		roles = append(roles, NewRoles(table))
	}
	return roles
}

// Each instance of a large zone follows one leader of its zone, which knows it as its follower,
// and no leader has many more than followersPerLeader of them.
func TestEachInstanceFollowsALeaderOfItsZone(t *testing.T) {
	for _, tc := range []struct{ count, zones, leaders int }{
		{5, 4, 0}, {6, 2, 2}, {24, 6, 6}, {78, 6, 6}, {2_600 / 15, 1, 11},
	} {
		all := members(tc.count, tc.zones)
		following, leaders, alone := map[string]string{}, 0, 0
		roles := rolesOf(all)
		for i, r := range roles {
			switch r.Role() {
			case feed.Alone:
				alone++
			case feed.Follower:
				following[all[i].Address] = r.Leader()
			case feed.Leader:
				leaders++
				if n := len(r.Followers()); n > 2*followersPerLeader {
					t.Errorf("%d instances in %d zones: a leader has %d followers", tc.count, tc.zones, n)
				}
			}
		}
		if leaders != tc.leaders || alone+leaders+len(following) != tc.count || leaders > 0 && alone > 0 {
			t.Errorf("%d instances in %d zones: %d leaders, %d followers, %d alone, want %d leaders", tc.count, tc.zones, leaders, len(following), alone, tc.leaders)
		}
		for i, r := range roles {
			for _, follower := range r.Followers() {
				if following[follower] != all[i].Address {
					t.Errorf("%s counts %s as its follower, which follows %q", all[i].Address, follower, following[follower])
				}
				delete(following, follower)
			}
		}
		if len(following) > 0 {
			t.Errorf("%d instances in %d zones: the leaders of %v do not know them", tc.count, tc.zones, following)
		}
	}
}

// A leader that leaves, or is suspected, is replaced; one that leaves follows nobody.
func TestLeaderIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := members(4, 1)
		roles := rolesOf(all)
		leader := 0
		for roles[leader].Role() != feed.Leader {
			leader++
		}
		roles[leader].members.Leave()
		time.Sleep(2 * rolesTTL)
		if got := roles[leader].Role(); got != feed.Alone {
			t.Errorf("an instance that leaves has role %d, want Alone", got)
		}
		for i, r := range roles {
			if i == leader {
				continue
			}
			r.members.Merge(time.Now(), roles[leader].members.Self())
			time.Sleep(2 * rolesTTL)
			if r.Leader() == all[leader].Address {
				t.Errorf("%s still follows the leader that leaves", all[i].Address)
			}
		}
		time.Sleep(time.Minute)
		if got := roles[(leader+1)%4].Role(); got != feed.Alone {
			t.Errorf("an instance that has heard of no other for a minute has role %d, want Alone", got)
		}
	})
}
