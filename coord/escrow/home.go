package escrow

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"jacinthladder.dev/coord/subset"
)

// If each of many holders in a zone had a row, each would cost the store a
// write, and small budgets would be split into parts too small to pay for any
// request. So one holder, the home of the budget, draws for the zone, and the
// others request from it: whole amounts when a share can't pay for a
// reservation, and ahead of need where the demand is high. They return what they
// don't need. Each budget has its own home, which spreads the work. A home that
// does not reply is skipped for unresponsiveTTL; the next in the ranking draws in
// its place, with its own row. Two homes of one budget do no harm.

const (
	// MinZoneMembers is the least number of holders in a zone for which one of
	// them draws for all.
	MinZoneMembers = 3
	// homeTimeout is how long a home may take for one transfer request. It
	// covers store updates that are delayed by conflicts with other writers.
	homeTimeout = 300 * time.Millisecond
	// maxReadAge is the age up to which a reading of the ledger may be used to
	// tell others that nothing is left.
	maxReadAge = 2 * time.Second
)

// zoneMembers returns the processes among which each budget has a home, nil if
// each holder draws for itself.
func (h *Holder) zoneMembers() []string {
	if h.peers.ZoneMembers == nil || h.peers.Request == nil {
		return nil
	}
	members := h.peers.ZoneMembers()
	if len(members) < MinZoneMembers {
		return nil
	}
	return members
}

// home returns the process that draws a budget for these members, skipping
// excluded and unresponsive ones. If none is left it is this process.
func (h *Holder) home(budget string, members []string, now time.Time, exclude ...string) string {
	return h.topRanked(budget, slices.DeleteFunc(slices.Clone(members), func(p string) bool {
		return slices.Contains(exclude, p) || p != h.process && h.unresponsive.has(p, now)
	}))
}

// topRanked returns the process with the highest score for a budget, this one
// if the list is empty.
func (h *Holder) topRanked(budget string, processes []string) string {
	best, top := h.process, uint64(0)
	for _, p := range processes {
		if score := h.score(budget, p); score > top {
			best, top = p, score
		}
	}
	return best
}

// Home returns the process that draws a budget for this one, which may be this
// process itself.
func (h *Holder) Home(budget string) string { return h.home(budget, h.zoneMembers(), time.Now()) }

// Draws reports whether this process draws a budget from its ledger.
func (h *Holder) Draws(budget string) bool { return h.Home(budget) == h.process }

// markUnresponsive records that a process did not reply, so that it is skipped
// for a while.
func (h *Holder) markUnresponsive(process string, now time.Time) {
	if h.unresponsive.add(process, now) && h.HomeUnresponsive != nil {
		h.HomeUnresponsive(process)
	}
}

// score ranks a process for a budget by rendezvous hashing. It is the same for
// all budgets with the same home key.
func (h *Holder) score(budget, process string) uint64 {
	if h.peers.HomeKey != nil {
		budget = h.peers.HomeKey(budget)
	}
	return subset.Score(budget, process)
}

// errSelfHome means that this holder draws for itself.
var errSelfHome = errors.New("escrow: this process draws the budget itself")

// reserveViaHome gets what a reservation lacks from the home of its budget and
// reserves. If the home can't reach the store, the next home may; no further
// ones are asked, since in an outage every holder would keep calling the store
// without success, and all of them at once when it ends. It fails with
// errSelfHome if this holder has to use its other sources.
func (h *Holder) reserveViaHome(ctx context.Context, s *Share, req ReserveRequest, deadline time.Time) (hold Hold, mayFree bool, err error) {
	members := h.zoneMembers()
	now := time.Now()
	process := h.home(s.budget, members, now)
	s.setHome(process != h.process, len(members))
	if req.forPeer {
		return Hold{}, false, errSelfHome
	}
	for process != h.process {
		hold, mayFree, err = h.delegate(ctx, s, process, req, deadline, homeTimeout)
		switch {
		case isAny(err, errNoAnswer):
			h.markUnresponsive(process, now)
			process = h.home(s.budget, members, now)
		case isAny(err, ErrUnreachable):
			return h.reserveViaNextHome(ctx, s, req, deadline, h.home(s.budget, members, now, process))
		default:
			return hold, mayFree, err
		}
		if ctx.Err() != nil {
			return Hold{}, false, ErrUnreachable
		}
	}
	s.setHome(false, len(members))
	return Hold{}, false, errSelfHome
}

// reserveViaNextHome asks process, the home after one that can't reach the
// store.
func (h *Holder) reserveViaNextHome(ctx context.Context, s *Share, req ReserveRequest, deadline time.Time, process string) (Hold, bool, error) {
	if process == h.process {
		return Hold{}, false, errSelfHome
	}
	hold, mayFree, err := h.delegate(ctx, s, process, req, deadline, homeTimeout)
	if isAny(err, errNoAnswer) {
		h.markUnresponsive(process, time.Now())
		err = ErrUnreachable
	}
	return hold, mayFree, err
}

// shareForPeer returns the share of a budget for which a peer asks this process
// as its home, created if necessary. It returns nil if this holder has no
// policy for the budget or its zone has no homes.
func (h *Holder) shareForPeer(budget string) *Share {
	h.mu.RLock()
	policy, ok := h.policies[budget]
	h.mu.RUnlock()
	if !ok || h.zoneMembers() == nil {
		return nil
	}
	return h.Share(budget, policy)
}

// peerRequest returns the reservation that serves a peer's transfer request.
func (h *Holder) peerRequest(req TransferRequest) ReserveRequest {
	return ReserveRequest{
		Amount: req.Need, Priority: req.Priority, Wait: req.Wait,
		forPeer: true, sameZone: slices.Contains(h.zoneMembers(), ProcessOf(req.From)),
	}
}

// mayDelegate reports whether a reservation may be delegated to process, the
// collector. One of this holder's own may, and one for a peer of the same zone
// may if the collector is in another zone, so that requests never go in a
// circle.
func (h *Holder) mayDelegate(req ReserveRequest, process string) bool {
	if process == h.process {
		return false
	}
	return !req.forPeer || req.sameZone && !slices.Contains(h.zoneMembers(), process)
}
