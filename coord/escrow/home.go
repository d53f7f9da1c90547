package escrow

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"jacinthladder.dev/coord/subset"
)

// Where many holders stand in one zone, a row of each would cost the platform a
// write for each, and small budgets would lie in crumbs that pay for no request.
// So one of them, the home of the budget, draws for the zone, and the others ask
// it: for whole amounts when a request is short, ahead of need where the demand is
// high. They give back what they don't need. Each budget has its own home, so the
// work is spread. A home that does not answer is passed over for a while; the next
// one draws for itself, and nothing worse comes of two.

const (
	// MinZoneMembers is the number of holders in a zone from which one draws for all.
	MinZoneMembers = 3
	// homeTimeout is how long a home is asked to wait at a time, for calls to the
	// platform that others' writes get in the way of.
	homeTimeout = 300 * time.Millisecond
	// maxReadAge is how old a reading may be to tell others that nothing is left.
	maxReadAge = 2 * time.Second
)

// zoneMembers returns the processes among which each budget has a home, none if each
// holder draws for itself.
func (h *Holder) zoneMembers() []string {
	if h.peers.ZoneMembers == nil || h.peers.Request == nil {
		return nil
	}
	mates := h.peers.ZoneMembers()
	if len(mates) < MinZoneMembers {
		return nil
	}
	return mates
}

// home returns the process that draws a budget for these mates, this one if there
// is no other but those not wanted.
func (h *Holder) home(budget string, mates []string, now time.Time, not ...string) string {
	return h.topRanked(budget, slices.DeleteFunc(slices.Clone(mates), func(p string) bool {
		return slices.Contains(not, p) || p != h.process && h.unresponsive.has(p, now)
	}))
}

// topRanked returns the process that ranks first for a budget, this one if there is none.
func (h *Holder) topRanked(budget string, processes []string) string {
	best, top := h.process, uint64(0)
	for _, p := range processes {
		if score := h.score(budget, p); score > top {
			best, top = p, score
		}
	}
	return best
}

// Home returns the process that draws a budget for this one, this one itself if it
// draws.
func (h *Holder) Home(budget string) string { return h.home(budget, h.zoneMembers(), time.Now()) }

// Draws reports whether this process draws a budget on the platform.
func (h *Holder) Draws(budget string) bool { return h.Home(budget) == h.process }

// markUnresponsive leaves a process that gave no answer alone for a while.
func (h *Holder) markUnresponsive(process string, now time.Time) {
	if h.unresponsive.add(process, now) && h.HomeUnresponsive != nil {
		h.HomeUnresponsive(process)
	}
}

// score ranks a process for a budget, the same for all budgets that are drawn
// together.
func (h *Holder) score(budget, process string) uint64 {
	if h.peers.HomeKey != nil {
		budget = h.peers.HomeKey(budget)
	}
	return subset.Score(budget, process)
}

// errSelfHome means that this holder draws for itself.
var errSelfHome = errors.New("escrow: no home but this one")

// reserveViaHome gets what a reservation lacks from the home of its budget. Should that
// be cut off from the platform, the next one may not be; more are not asked, since
// an outage would have each holder try in vain, and all at once when it ends. It
// fails with errOwn where this holder has to go its own ways.
func (h *Holder) reserveViaHome(ctx context.Context, s *Share, n ReserveRequest, deadline time.Time) (hold Hold, open bool, err error) {
	mates := h.zoneMembers()
	now := time.Now()
	process := h.home(s.budget, mates, now)
	s.setHome(process != h.process, len(mates))
	if n.forPeer {
		return Hold{}, false, errSelfHome
	}
	for process != h.process {
		hold, open, err = h.delegate(ctx, s, process, n, deadline, homeTimeout)
		switch {
		case isAny(err, errNoAnswer):
			h.markUnresponsive(process, now)
			process = h.home(s.budget, mates, now)
		case isAny(err, ErrUnreachable):
			return h.reserveViaNextHome(ctx, s, n, deadline, h.home(s.budget, mates, now, process))
		default:
			return hold, open, err
		}
		if ctx.Err() != nil {
			return Hold{}, false, ErrUnreachable
		}
	}
	s.setHome(false, len(mates))
	return Hold{}, false, errSelfHome
}

// reserveViaNextHome asks the home after one that is cut off from the platform.
func (h *Holder) reserveViaNextHome(ctx context.Context, s *Share, n ReserveRequest, deadline time.Time, process string) (Hold, bool, error) {
	if process == h.process {
		return Hold{}, false, errSelfHome
	}
	hold, open, err := h.delegate(ctx, s, process, n, deadline, homeTimeout)
	if isAny(err, errNoAnswer) {
		h.markUnresponsive(process, time.Now())
		err = ErrUnreachable
	}
	return hold, open, err
}

// shareForPeer opens the share of a budget that a peer asks this process, its home, for.
// It returns nil if this holder has not been told of the budget.
func (h *Holder) shareForPeer(budget string) *Share {
	h.mu.RLock()
	policy, ok := h.policies[budget]
	h.mu.RUnlock()
	if !ok || h.zoneMembers() == nil {
		return nil
	}
	return h.Share(budget, policy)
}

// peerRequest returns the need of a peer that asks this process to gather.
func (h *Holder) peerRequest(plea TransferRequest) ReserveRequest {
	return ReserveRequest{
		Amount: plea.Need, Priority: plea.Priority, Wait: plea.Wait,
		forPeer: true, sameZone: slices.Contains(h.zoneMembers(), ProcessOf(plea.From)),
	}
}

// mayDelegate reports whether a request may be handed on to the gatherer of what
// is left, process. A request of this holder may, and one of a mate if the gatherer
// stands in another zone, so that nothing goes round in a circle.
func (h *Holder) mayDelegate(n ReserveRequest, process string) bool {
	if process == h.process {
		return false
	}
	return !n.forPeer || n.sameZone && !slices.Contains(h.zoneMembers(), process)
}
