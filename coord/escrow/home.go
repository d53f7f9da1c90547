package escrow

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"jacinthladder.dev/coord/subset"
)

// If each of many holders in a zone had a row in a ledger, each would cost the
// store a write, and a small budget would be split into parts too small to pay
// for any request. So one holder, the home of the budget, draws from the ledger
// for the zone, and the others request from it. They request whole amounts when
// a share can't pay for a reservation, and some ahead of need where the demand is
// high. They return what they don't need. The homes of different budgets are
// spread over the holders by rendezvous hashing, and with them the work. A home
// that does not reply is skipped for unresponsiveTTL; the next process in the
// ranking draws in its place, with its own row. Two homes of one budget in a zone
// do no harm.

const (
	// MinZoneMembers is the least number of holders in a zone for which one of
	// them draws each budget for all. In a smaller zone, each holder draws from
	// the ledger.
	MinZoneMembers = 3
	// homeTimeout is how long a home may take to collect the amount of one
	// transfer request. It covers store updates that are delayed by conflicts
	// with other writers.
	homeTimeout = 300 * time.Millisecond
	// maxReadAge is the age up to which a reading of the ledger suffices to
	// tell a peer that the budget is exhausted.
	maxReadAge = 2 * time.Second
)

// zoneMembers returns the processes of this zone, one of which is the home of
// each budget. It returns nil if each holder draws from the ledger.
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

// home returns the process among members that draws a budget for them, skipping
// excluded and unresponsive ones. If none is left it returns this process.
func (h *Holder) home(budget string, members []string, now time.Time, exclude ...string) string {
	return h.topRanked(budget, slices.DeleteFunc(slices.Clone(members), func(p string) bool {
		return slices.Contains(exclude, p) || p != h.process && h.unresponsive.has(p, now)
	}))
}

// topRanked returns the process with the highest score for a budget, this
// process if there are none in the list.
func (h *Holder) topRanked(budget string, processes []string) string {
	best, top := h.process, uint64(0)
	for _, p := range processes {
		if score := h.score(budget, p); score > top {
			best, top = p, score
		}
	}
	return best
}

// Home returns the process from which this one gets its share of a budget. If
// it is this process itself, it draws from the ledger.
func (h *Holder) Home(budget string) string { return h.home(budget, h.zoneMembers(), time.Now()) }

// Draws reports whether this process draws a budget from its ledger, as the
// home of the budget or because its zone has no homes.
func (h *Holder) Draws(budget string) bool { return h.Home(budget) == h.process }

// markUnresponsive records that a home did not reply, so that it is skipped for
// unresponsiveTTL.
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

// errSelfHome means that this holder is to draw the budget from the ledger
// itself.
var errSelfHome = errors.New("escrow: this process draws the budget itself")

// reserveViaHome gets what a reservation lacks from the home of its budget and
// reserves. After a failure, mayFree reports whether open reservations could
// free enough. If the home can't reach the store, reserveViaHome asks the next
// home. It asks no further ones, since in an outage every holder would keep
// calling the store without success, and all of them at once when the outage
// ends. It fails with errSelfHome if this holder has to use its other sources.
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

// reserveViaNextHome gets what a reservation lacks from process, the home that
// follows one that can't reach the store, and reserves. After a failure, the
// returned bool reports whether open reservations could free enough.
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

// shareForPeer returns this holder's share of a budget that a peer requests
// from it as the home, and creates the share if necessary. It returns nil if
// this holder has no configured policy for the budget or its zone has no homes.
func (h *Holder) shareForPeer(budget string) *Share {
	h.mu.RLock()
	policy, ok := h.policies[budget]
	h.mu.RUnlock()
	if !ok || h.zoneMembers() == nil {
		return nil
	}
	return h.Share(budget, policy)
}

// peerRequest returns the reservation that this holder makes to serve a peer's
// transfer request.
func (h *Holder) peerRequest(req TransferRequest) ReserveRequest {
	return ReserveRequest{
		Amount: req.Need, Priority: req.Priority, Wait: req.Wait,
		forPeer: true, sameZone: slices.Contains(h.zoneMembers(), ProcessOf(req.From)),
	}
}

// mayDelegate reports whether a reservation may be delegated to process, the
// collector, if that is not this one. A reservation of this holder's own may
// be. One for a peer of the same zone may be if the collector is in another
// zone, so that requests never go in a circle.
func (h *Holder) mayDelegate(req ReserveRequest, process string) bool {
	if process == h.process {
		return false
	}
	return !req.forPeer || req.sameZone && !slices.Contains(h.zoneMembers(), process)
}
