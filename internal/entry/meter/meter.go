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

// Set returns the set that holds the metrics, for parts that add their own.
func (m *Metrics) Set() *metrics.Set { return m.set }

// Answered counts a complete response of a service. The argument took is the time from
// the acceptance of the call to the end of its response.
func (m *Metrics) Answered(service string, took time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf("jacinthladder_answers_total{service=%q}", service)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf("jacinthladder_answer_seconds{service=%q}", service)).Update(took.Seconds())
}

// FirstToken records the time from the acceptance of a call of a service to the first
// event of its streamed response. The argument took is that time.
func (m *Metrics) FirstToken(service string, took time.Duration) {
	m.set.GetOrCreateHistogram(fmt.Sprintf("jacinthladder_first_token_seconds{service=%q}", service)).Update(took.Seconds())
}

// Refused counts a refused request under the code and the outcome of its refusal.
func (m *Metrics) Refused(code, outcome string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("jacinthladder_refusals_total{code=%q,outcome=%q}", code, outcome)).Inc()
}

// CallerGone counts a caller of a service that disconnected before its response was
// complete.
func (m *Metrics) CallerGone(service string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("jacinthladder_callers_gone_total{service=%q}", service)).Inc()
}

// Spent adds the cost of a call, in micro-units, to the total cost of the calls of its
// service.
func (m *Metrics) Spent(service string, cost int64) {
	m.set.GetOrCreateCounter(fmt.Sprintf("jacinthladder_spent_micro_units_total{service=%q}", service)).AddInt64(cost)
}

// PlatformCall counts a call to the platform's Object API under its verb and its result.
func (m *Metrics) PlatformCall(verb, result string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("jacinthladder_platform_calls_total{verb=%q,result=%q}", verb, result)).Inc()
}

// Violation counts a detected violation of an escrow invariant, such as a share that
// spends more than it received. The count must stay 0.
func (m *Metrics) Violation() {
	m.set.GetOrCreateCounter("jacinthladder_broken_rules_total").Inc()
}

// Violations returns how many violations Violation has counted.
func (m *Metrics) Violations() uint64 {
	return m.set.GetOrCreateCounter("jacinthladder_broken_rules_total").Get()
}

// Gauge registers a gauge under a metric name. The value of the gauge is obtained by
// calling read each time the metrics are written.
func (m *Metrics) Gauge(name string, read func() float64) {
	m.set.GetOrCreateGauge(name, read)
}

// Write writes all metrics to w in the Prometheus text format.
func (m *Metrics) Write(w io.Writer) { m.set.WritePrometheus(w) }
