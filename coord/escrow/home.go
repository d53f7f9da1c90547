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
// for the zone, and the others request amounts from the home. They request the
// whole missing amount when a share can't pay for a reservation, and some ahead
// of need where the demand is high. They return the excess to the home.
//
// The homes of different budgets are spread over the holders by rendezvous
// hashing, and with them the work. A home that does not reply is skipped for
// unresponsiveTTL; the next process in the ranking draws in its place, with its
// own row. Two homes of one budget in a zone do no harm.

const (
	// MinZoneMembers is the least number of holders in a zone for which each
	// budget has a home, which draws it from the ledger for the zone. In a smaller
	// zone, each holder draws from the ledger.
	MinZoneMembers = 3
	// homeTimeout is how long the home of a budget may take to collect the amount
	// of one transfer request. It covers store updates that are delayed by
	// conflicts with other writers.
	homeTimeout = 300 * time.Millisecond
	// maxReadAge is the age of the last reading of the ledger up to which a holder
	// may tell a peer that the budget is exhausted.
	maxReadAge = 2 * time.Second
)

// zoneMembers returns the process IDs of the live holders of this zone, one of
// which is the home of each budget. It returns nil if the zone has no homes
// because each holder draws from the ledger.
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

// home returns the ID of the process among members that is the home of a
// budget: the one with the highest score, skipping excluded and unresponsive
// processes. If none is left it returns this process.
func (h *Holder) home(budget string, members []string, now time.Time, exclude ...string) string {
	return h.topRanked(budget, slices.DeleteFunc(slices.Clone(members), func(p string) bool {
		return slices.Contains(exclude, p) || p != h.process && h.unresponsive.has(p, now)
	}))
}

// topRanked returns the process with the highest score for a budget, or this
// process if processes is empty.
func (h *Holder) topRanked(budget string, processes []string) string {
	best, top := h.process, uint64(0)
	for _, p := range processes {
		if score := h.score(budget, p); score > top {
			best, top = p, score
		}
	}
	return best
}

// Home returns the ID of the process from which this one gets its share of a
// budget. If the result is this process itself, it draws from the ledger.
func (h *Holder) Home(budget string) string { return h.home(budget, h.zoneMembers(), time.Now()) }

// Draws reports whether this process draws a budget from its ledger, either as
// the home of the budget or because its zone has no homes.
func (h *Holder) Draws(budget string) bool { return h.Home(budget) == h.process }

// markUnresponsive records that a home did not reply at the time now, so that
// it is skipped as a home for unresponsiveTTL. The first record within that
// time is reported to HomeUnresponsive.
func (h *Holder) markUnresponsive(process string, now time.Time) {
	if h.unresponsive.add(process, now) && h.HomeUnresponsive != nil {
		h.HomeUnresponsive(process)
	}
}

// score returns the rank of a process for a budget by rendezvous hashing; the
// process with the highest score is the home or the collector. The score is the
// same for all budgets with the same home key (Peers.HomeKey).
func (h *Holder) score(budget, process string) uint64 {
	if h.peers.HomeKey != nil {
		budget = h.peers.HomeKey(budget)
	}
	return subset.Score(budget, process)
}

// errSelfHome means that no other process is to be asked as the home of the
// budget: this holder draws the amount from the ledger itself.
var errSelfHome = errors.New("escrow: this process draws the budget itself")

// reserveViaHome requests the amount that the share lacks from the home of its
// budget, and then makes the reservation. It fails with errSelfHome if this
// holder has to use its other sources, such as the ledger. After a failure,
// mayFree reports whether open reservations could free enough.
//
// If the home can't reach the store, reserveViaHome asks the next home in the
// ranking. It asks no further ones: in an outage every holder would keep
// calling the store without success, and all of them at once when the outage
// ends.
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

// reserveViaNextHome makes the reservation req when the home can't reach the
// store. It requests the amount that the share lacks from process, the next home
// in the ranking. It then reserves req.Amount from the share. If process is this
// holder, it fails with errSelfHome. After a failure, the returned bool reports
// whether open reservations could free enough for a later attempt.
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

// shareForPeer returns this holder's share of a budget and creates it if
// necessary, for a peer that requests from this holder as the home of the
// budget. It returns nil if this holder has no configured policy for the budget
// or its zone has no homes.
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
// collector. It may not if this process is the collector. A reservation of this
// holder's own may be delegated. A reservation that serves a peer may be
// delegated only if the peer is in this zone and the collector in another, so
// that requests never go in a circle.
func (h *Holder) mayDelegate(req ReserveRequest, process string) bool {
	if process == h.process {
		return false
	}
	return !req.forPeer || req.sameZone && !slices.Contains(h.zoneMembers(), process)
}
