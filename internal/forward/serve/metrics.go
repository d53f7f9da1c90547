package serve

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Metrics counts what happens to forwarded requests.
type Metrics struct{ set *metrics.Set }

// NewMetrics returns a meter whose counters are part of set.
func NewMetrics(set *metrics.Set) *Metrics { return &Metrics{set: set} }

func (m *Metrics) ended(route, outcome string, took time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf("jacinthladder_forwarded_total{route=%q,outcome=%q}", route, outcome)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf("jacinthladder_forwarded_seconds{route=%q}", route)).Update(took.Seconds())
}

func (m *Metrics) first(route string, took time.Duration) {
	m.set.GetOrCreateHistogram(fmt.Sprintf("jacinthladder_forwarded_first_seconds{route=%q}", route)).Update(took.Seconds())
}

func (m *Metrics) spent(service string, tokens int64) {
	m.set.GetOrCreateCounter(fmt.Sprintf("jacinthladder_forwarded_tokens_total{service=%q}", service)).AddInt64(tokens)
}

func (m *Metrics) connected(reused bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf("jacinthladder_endpoint_connections_total{reused=\"%t\"}", reused)).Inc()
}
