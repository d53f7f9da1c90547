package caller

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"jacinthladder.dev/internal/fleet/memory"
)

// reportInterval is the least time between two log lines of a reporter.
const reportInterval = time.Second

// reporter counts what happens when the bound is full, and logs it at most once in reportInterval.
type reporter struct {
	bound  *memory.Bound
	logger log.Interface

	mu             sync.Mutex
	ended, refused int // since the last line
	loggedAt       time.Time
}

// Report makes a bound count in set, and log, which reservations it ends and for which there is no room. It also adds a
// gauge of what callers make the process hold.
func Report(b *memory.Bound, set *metrics.Set, logger log.Interface) {
	r := &reporter{bound: b, logger: logger}
	ended := set.GetOrCreateCounter(`jacinthladder_callers_full_total{what="ended"}`)
	refused := set.GetOrCreateCounter(`jacinthladder_callers_full_total{what="refused"}`)
	b.Ended = func() { ended.Inc(); r.note(1, 0) }
	b.Refused = func() { refused.Inc(); r.note(0, 1) }
	set.GetOrCreateGauge("jacinthladder_callers_held_bytes", func() float64 { return float64(b.Held()) })
}

// note counts and logs.
func (r *reporter) note(ended, refused int) {
	held, bytes := r.bound.Held(), r.bound.Bytes()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended, r.refused = r.ended+ended, r.refused+refused
	if now := time.Now(); now.Sub(r.loggedAt) >= reportInterval {
		r.logger.WithFields(log.Fields{"ended": r.ended, "refused": r.refused, "held": held, "bytes": bytes}).Warn("callers: no room, connections that wait for their callers are ended and new ones refused")
		r.ended, r.refused, r.loggedAt = 0, 0, now
	}
}
