package meter

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Metrics holds the metrics of one instance. Make one with New.
type Metrics struct{ set *metrics.Set }

// New returns a meter that has counted nothing.
func New() *Metrics { return &Metrics{set: metrics.NewSet()} }

// Answered counts a whole answer and the time it took.
func (m *Metrics) Answered(service string, took time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf("jacinthladder_answers_total{service=%q}", service)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf("jacinthladder_answer_seconds{service=%q}", service)).Update(took.Seconds())
}

// FirstToken counts the time from a call's acceptance to the first piece of its
// answer.
func (m *Metrics) FirstToken(service string, took time.Duration) {
	m.set.GetOrCreateHistogram(fmt.Sprintf("jacinthladder_first_token_seconds{service=%q}", service)).Update(took.Seconds())
}

// Refused counts a refusal.
func (m *Metrics) Refused(code, outcome string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("jacinthladder_refusals_total{code=%q,outcome=%q}", code, outcome)).Inc()
}

// CallerGone counts a caller that went before its answer was whole.
func (m *Metrics) CallerGone(service string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("jacinthladder_callers_gone_total{service=%q}", service)).Inc()
}

// Spent counts micro-units.
func (m *Metrics) Spent(service string, cost int64) {
	m.set.GetOrCreateCounter(fmt.Sprintf("jacinthladder_spent_micro_units_total{service=%q}", service)).AddInt64(cost)
}

// PlatformCall counts a call to the Object API and how it ended.
func (m *Metrics) PlatformCall(verb, result string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("jacinthladder_platform_calls_total{verb=%q,result=%q}", verb, result)).Inc()
}

// Violation counts a rule that would have been broken. It must stay 0.
func (m *Metrics) Violation() {
	m.set.GetOrCreateCounter("jacinthladder_broken_rules_total").Inc()
}

// Violations returns the rules that would have been broken so far.
func (m *Metrics) Violations() uint64 {
	return m.set.GetOrCreateCounter("jacinthladder_broken_rules_total").Get()
}

// Gauge shows a value that is read when the page is.
func (m *Metrics) Gauge(name string, read func() float64) {
	m.set.GetOrCreateGauge(name, read)
}

// Write writes the page in the Prometheus text format.
func (m *Metrics) Write(w io.Writer) { m.set.WritePrometheus(w) }
