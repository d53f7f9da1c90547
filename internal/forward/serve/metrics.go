package serve

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Metrics holds the metrics of forwarded requests.
type Metrics struct{ set *metrics.Set }

// NewMetrics returns metrics that are registered in set.
func NewMetrics(set *metrics.Set) *Metrics { return &Metrics{set: set} }

func (m *Metrics) requestEnded(route, outcome string, took time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf("jacinthladder_forwarded_total{route=%q,outcome=%q}", route, outcome)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf("jacinthladder_forwarded_seconds{route=%q}", route)).Update(took.Seconds())
}

func (m *Metrics) firstData(route string, took time.Duration) {
	m.set.GetOrCreateHistogram(fmt.Sprintf("jacinthladder_forwarded_first_seconds{route=%q}", route)).Update(took.Seconds())
}

func (m *Metrics) tokensSpent(service string, tokens int64) {
	m.set.GetOrCreateCounter(fmt.Sprintf("jacinthladder_forwarded_tokens_total{service=%q}", service)).AddInt64(tokens)
}

func (m *Metrics) connected(reused bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf("jacinthladder_endpoint_connections_total{reused=\"%t\"}", reused)).Inc()
}
