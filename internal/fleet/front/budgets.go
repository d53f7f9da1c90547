package front

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"jacinthladder.dev/coord/escrow"
	"jacinthladder.dev/coord/member"
	"jacinthladder.dev/internal/conf/setup"
	"jacinthladder.dev/internal/fleet/ledger"
	"jacinthladder.dev/internal/fleet/node"
	"jacinthladder.dev/internal/fleet/peers"
	"jacinthladder.dev/internal/forward/prepay"
	"jacinthladder.dev/internal/plat/object"
)

// NewHolder returns an escrow holder, which manages this process's shares of budgets. It
// has no shares at first. The ledgers of the budgets are stored in shards. Budgets in the
// same shard have the same home, the instance that draws from their ledgers for the whole
// zone. The holder logs a home that does not respond, each transfer request that it
// denies to a peer, and what a killed process of this instance held. A violation of an
// escrow invariant is counted and logged.
func NewHolder(id node.ProcessID, shards *ledger.Shards, t *member.Table, c *peers.Client, set *metrics.Set, logger log.Interface) *escrow.Holder {
	calls := c.Escrow()
	calls.HomeKey = shards.ShardName
	calls.Request = timeRequests(calls.Request, set)
	h := escrow.NewHolder(string(id), shards.Store(), calls, func(err error) {
		set.GetOrCreateCounter("jacinthladder_broken_rules_total").Inc()
		logger.WithError(err).Error("escrow: a rule would be broken, the share refuses all further reservations and transfers")
	})
	h.HomeUnresponsive = func(process string) {
		logger.WithField("home", process).Warn("budget: the home of a budget did not reply, asking the next instance in the ranking")
	}
	h.RequestDenied = func(r escrow.TransferRequest, reason error, stats escrow.Stats) {
		free, age := stats.Free()
		logger.WithFields(log.Fields{
			"account": r.Budget, "from": escrow.ProcessOf(r.From), "need": r.Need, "reason": reason.Error(),
			"idle": stats.Idle(), "reserved": stats.Reserved(), "free": free, "age": age.Milliseconds(),
		}).Info("budget: denied a peer")
	}
	stranded := set.GetOrCreateCounter("jacinthladder_budget_stranded_tokens_total")
	h.WrittenOff = func(budget string, w escrow.WriteOff) {
		stranded.AddInt64(w.Idle)
		logger.WithFields(log.Fields{
			"account": budget, "share": w.Share, "held": w.Outstanding, "idle": w.Idle,
		}).Warn("budget: counted what a killed process held as spent")
	}
	h.RefillInterval = func() time.Duration { return refillInterval(t.Counts()) }
	return h
}

const (
	// minRefillInterval is the interval, before jitter, between an instance's rounds of
	// refills in a small fleet. In a round, the instance draws from the ledgers for its
	// shares that are low. The interval is much shorter than the time that a share lasts
	// during an outage of the platform, and much longer than a call to the platform.
	minRefillInterval = 900 * time.Millisecond
	// smallFleet is the maximum number of instances that draw a budget from its ledger in a
	// small fleet. With more such instances, the interval between rounds of refills grows
	// in proportion to their number, so that the whole fleet makes no more calls to the
	// platform.
	smallFleet = 6
	// maxRefillInterval is the maximum interval, before jitter, between an instance's
	// rounds of refills. It is well below the time that a share lasts during an outage of
	// the platform.
	maxRefillInterval = 4 * time.Second
)

// timeRequests returns a function that calls request and returns its results. Request sends
// a transfer request to a peer. The returned function also records in set how long each
// request takes and how many requests fail.
func timeRequests(request func(context.Context, string, escrow.TransferRequest) (escrow.TransferReply, error), set *metrics.Set) func(context.Context, string, escrow.TransferRequest) (escrow.TransferReply, error) {
	latency := set.GetOrCreateHistogram("jacinthladder_budget_ask_seconds")
	failures := set.GetOrCreateCounter("jacinthladder_budget_asks_failed_total")
	return func(ctx context.Context, process string, req escrow.TransferRequest) (escrow.TransferReply, error) {
		began := time.Now()
		r, err := request(ctx, process, req)
		latency.UpdateDuration(began)
		if err != nil {
			failures.Inc()
		}
		return r, err
	}
}

// minHomeRefillInterval is the minimum interval, before jitter, between an instance's
// rounds of refills in a zone where each budget has a home. The home of a budget is the
// instance that draws from its ledger for all instances of the zone. One draw serves many
// instances, so fewer calls suffice.
const minHomeRefillInterval = 1600 * time.Millisecond

// refillInterval returns the interval between an instance's rounds of refills, with random
// jitter of up to an eighth of the interval, up or down. The interval grows with the number
// of instances that draw a budget from its ledger.
func refillInterval(c member.Counts) time.Duration {
	drawing, viaHome := countDrawing(c)
	d := min(minRefillInterval*time.Duration(max(drawing, smallFleet))/smallFleet, maxRefillInterval)
	if viaHome {
		d = max(d, minHomeRefillInterval)
	}
	return d - d/8 + rand.N(d/4) // jitter, so that instances started together do not refill at the same moments
}

// countDrawing returns the number of instances that draw a budget from its ledger, and
// whether in this instance's zone one instance, the home of the budget, draws for the whole
// zone. In a zone with fewer than escrow.MinZoneMembers instances, each instance draws its
// own share, and the number is that of all instances of the fleet. In a larger zone the
// number is that of the zones.
func countDrawing(c member.Counts) (drawing int, viaHome bool) {
	if c.SameZone >= escrow.MinZoneMembers {
		return max(c.Zones, 1), true
	}
	return c.Others + 1, false
}

// writesPerShard determines the number of shards, the platform objects that hold the
// ledgers: one shard for each writesPerShard writes per second that the platform accepts.
// Concurrent writes of one shard by several instances conflict, so a platform for a
// larger fleet has more shards. All instances must use the same number of shards.
const writesPerShard = 300

// minShards is the minimum number of shards, the platform objects that hold the ledgers. It
// applies on a platform that accepts few writes.
const minShards = 4

// writeBackTime is how long an instance may take to write back the ledgers that the
// platform has lost, after the watches of its feeds have shown it the loss.
const writeBackTime = 1500 * time.Millisecond

// NewShards returns the store of ledgers on the platform. The number of its shards follows
// from the setting for the platform's write rate. A peer remembers each write, in case that
// the platform comes back from an older copy. If no peer does so, the write is counted, and
// counts all the same: an instance that is alone has nobody to ask.
func NewShards(s *setup.Settings, store *object.Store, c *peers.Client, set *metrics.Set, logger log.Interface) *ledger.Shards {
	shards := ledger.NewShards(store, max(s.Forward().WriteRate/writesPerShard, minShards))
	shards.RecoveryTime = time.Duration(s.Forward().WatchTimeout) + writeBackTime
	unrecorded := set.GetOrCreateCounter("jacinthladder_budget_writes_unrecorded_total")
	shards.Record = func(ctx context.Context, r ledger.Record) {
		if !c.Keep(ctx, r) {
			unrecorded.Inc()
		}
	}
	shards.Recovered = func(shard string, newer int, complete bool) {
		set.GetOrCreateCounter("jacinthladder_budget_ledgers_written_back_total").Add(newer)
		logger.WithFields(log.Fields{"shard": shard, "newer": newer, "complete": complete}).Warn("ledger: wrote back what the platform has lost")
	}
	shards.RecoveryFailed = func(shard string, err error) {
		logger.WithError(err).WithField("shard", shard).Warn("ledger: could not write back what the platform has lost")
	}
	return shards
}

// NewReserver returns the reserver, which reserves prepaid tokens for requests. After a
// ledger was read and had no free tokens, the ledger is not read again for refills until
// the interval between rounds of refills has passed.
func NewReserver(s *setup.Settings, h *escrow.Holder, shards *ledger.Shards, t *member.Table) *prepay.Reserver {
	r := &prepay.Reserver{
		Holder: h, EmptyTTL: func() time.Duration { return refillInterval(t.Counts()) },
		Drawing: func() int {
			drawing, _ := countDrawing(t.Counts())
			return drawing
		},
		EnsurePaid: shards.EnsurePaid,
	}
	r.SetOutageTolerance(time.Duration(s.Forward().OutageTolerance))
	return r
}
