package front

import (
	"slices"
	"sync"
	"time"

	"jacinthladder.dev/coord/escrow"
	"jacinthladder.dev/coord/member"
	"jacinthladder.dev/coord/subset"
	"jacinthladder.dev/internal/fleet/feed"
)

const (
	// followersPerLeader is the number of instances of a zone for each of its leaders.
	followersPerLeader = 16
	// rolesTTL is how long roles are kept before they are computed again.
	rolesTTL = 200 * time.Millisecond
	// leaderKey is the key of the ranking of instances as leaders.
	leaderKey = "feeds"
)

// Roles says which instances of a zone watch the platform for the others. It follows from
// the membership alone: the leaders are the first ones of a ranking, and each other instance
// follows one of them. Instances that know different members may disagree, which costs calls
// to the platform and nothing else.
type Roles struct {
	members *member.Table

	mu         sync.Mutex
	computedAt time.Time
	role       feed.Role
	leader     string   // address of the leader of this instance, empty if it follows none
	followers  []string // addresses of the instances that follow this one
}

// NewRoles returns the roles of the members in a table.
func NewRoles(t *member.Table) *Roles { return &Roles{members: t} }

// Role returns the role of this instance.
func (r *Roles) Role() feed.Role {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refresh(time.Now())
	return r.role
}

// Leader returns the address of the peer that this instance follows, empty if there is none.
func (r *Roles) Leader() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refresh(time.Now())
	return r.leader
}

// Followers returns the addresses of the peers that follow this instance.
func (r *Roles) Followers() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refresh(time.Now())
	return r.followers
}

// refresh computes the roles again if they are older than rolesTTL. The caller holds the lock.
func (r *Roles) refresh(now time.Time) {
	if !r.computedAt.IsZero() && now.Sub(r.computedAt) < rolesTTL {
		return
	}
	r.computedAt, r.role, r.leader, r.followers = now, feed.Alone, "", nil
	self := r.members.Self()
	addresses := map[string]string{} // of the members of the zone that stay, by process
	var processes []string
	for _, m := range r.members.ZoneMembers(now) {
		addresses[m.Process] = m.Address
		processes = append(processes, m.Process)
	}
	if self.Leaving || len(processes) < escrow.MinZoneMembers {
		return
	}
	leaders := subset.Pick(leaderKey, processes, 1+(len(processes)-1)/followersPerLeader)
	if !slices.Contains(leaders, self.Process) {
		r.role, r.leader = feed.Follower, addresses[leaderOf(self.Process, leaders)]
		return
	}
	r.role = feed.Leader
	for _, p := range processes {
		if !slices.Contains(leaders, p) && leaderOf(p, leaders) == self.Process {
			r.followers = append(r.followers, addresses[p])
		}
	}
}

// leaderOf returns the one of the leaders that a process follows.
func leaderOf(process string, leaders []string) string { return subset.Pick(process, leaders, 1)[0] }
