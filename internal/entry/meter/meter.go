package meter

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Metrics holds the metrics of one instance. Make one with New.
type Metrics struct{ set *metrics.Set }

// New returns an empty set of metrics.
func New() *Metrics { return &Metrics{set: metrics.NewSet()} }

// Answered counts a complete response of a service and records took, the time since its
// call was accepted.
func (m *Metrics) Answered(service string, took time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf("jacinthladder_answers_total{service=%q}", service)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf("jacinthladder_answer_seconds{service=%q}", service)).Update(took.Seconds())
}

// FirstToken records took, the time from the acceptance of a call of a service to the
// first chunk of its response.
func (m *Metrics) FirstToken(service string, took time.Duration) {
	m.set.GetOrCreateHistogram(fmt.Sprintf("jacinthladder_first_token_seconds{service=%q}", service)).Update(took.Seconds())
}

// Refused counts a refusal under its code and its outcome.
func (m *Metrics) Refused(code, outcome string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("jacinthladder_refusals_total{code=%q,outcome=%q}", code, outcome)).Inc()
}

// CallerGone counts a caller that disconnected before the response of a service to it
// was complete.
func (m *Metrics) CallerGone(service string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("jacinthladder_callers_gone_total{service=%q}", service)).Inc()
}

// Spent adds the cost of a call, in micro-units, to the total of a service.
func (m *Metrics) Spent(service string, cost int64) {
	m.set.GetOrCreateCounter(fmt.Sprintf("jacinthladder_spent_micro_units_total{service=%q}", service)).AddInt64(cost)
}

// PlatformCall counts a call to the platform's Object API under its verb and its result.
func (m *Metrics) PlatformCall(verb, result string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("jacinthladder_platform_calls_total{verb=%q,result=%q}", verb, result)).Inc()
}

// Violation counts a detected violation of an escrow invariant. The count must
// stay 0.
func (m *Metrics) Violation() {
	m.set.GetOrCreateCounter("jacinthladder_broken_rules_total").Inc()
}

// Violations returns how many violations Violation has counted.
func (m *Metrics) Violations() uint64 {
	return m.set.GetOrCreateCounter("jacinthladder_broken_rules_total").Get()
}

// Gauge adds a gauge with a name. Its value is read with the function read each time the
// metrics are written.
func (m *Metrics) Gauge(name string, read func() float64) {
	m.set.GetOrCreateGauge(name, read)
}

// Write writes all metrics in the Prometheus text format.
func (m *Metrics) Write(w io.Writer) { m.set.WritePrometheus(w) }
