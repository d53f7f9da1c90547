package serve

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Meter counts what happens to forwarded requests.
type Meter struct{ set *metrics.Set }

// NewMeter returns a meter whose counters are part of set.
func NewMeter(set *metrics.Set) *Meter { return &Meter{set: set} }

func (m *Meter) ended(route, outcome string, took time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf("jacinthladder_forwarded_total{route=%q,outcome=%q}", route, outcome)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf("jacinthladder_forwarded_seconds{route=%q}", route)).Update(took.Seconds())
}

func (m *Meter) first(route string, took time.Duration) {
	m.set.GetOrCreateHistogram(fmt.Sprintf("jacinthladder_forwarded_first_seconds{route=%q}", route)).Update(took.Seconds())
}

func (m *Meter) spent(service string, tokens int64) {
	m.set.GetOrCreateCounter(fmt.Sprintf("jacinthladder_forwarded_tokens_total{service=%q}", service)).AddInt64(tokens)
}

func (m *Meter) connected(reused bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf("jacinthladder_endpoint_connections_total{reused=\"%t\"}", reused)).Inc()
}
