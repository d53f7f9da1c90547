package serve

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
)

// Metrics holds the counters and histograms of forwarded requests. Create it with
// NewMetrics.
type Metrics struct{ set *metrics.Set }

// NewMetrics returns metrics that register themselves in set when they are first
// used.
func NewMetrics(set *metrics.Set) *Metrics { return &Metrics{set: set} }

// requestEnded counts a request by route and outcome. By route, it also records the
// time from the arrival of the request to the end of its response, which is took.
func (m *Metrics) requestEnded(route, outcome string, took time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf("jacinthladder_forwarded_total{route=%q,outcome=%q}", route, outcome)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf("jacinthladder_forwarded_seconds{route=%q}", route)).Update(took.Seconds())
}

// firstData records, by route, the time from the arrival of a request to the first
// data of its response, which is took.
func (m *Metrics) firstData(route string, took time.Duration) {
	m.set.GetOrCreateHistogram(fmt.Sprintf("jacinthladder_forwarded_first_seconds{route=%q}", route)).Update(took.Seconds())
}

// tokensSpent adds the prepaid tokens that a request has spent to the counter of its
// service.
func (m *Metrics) tokensSpent(service string, tokens int64) {
	m.set.GetOrCreateCounter(fmt.Sprintf("jacinthladder_forwarded_tokens_total{service=%q}", service)).AddInt64(tokens)
}

// connected counts a connection to an endpoint that was obtained for a request. If
// reused is true, the connection was idle in the pool; otherwise it is new.
func (m *Metrics) connected(reused bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf("jacinthladder_endpoint_connections_total{reused=\"%t\"}", reused)).Inc()
}

// foreignResponse counts a response of an endpoint of a service that does not name the request
// that was sent last on its connection.
func (m *Metrics) foreignResponse(service string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("jacinthladder_endpoint_foreign_responses_total{service=%q}", service)).Inc()
}

// bodyEnded counts a response of an endpoint by the framing of its body and by how the
// body ended. Err is the error of the attempt that received the response.
func (m *Metrics) bodyEnded(r receipt, err error) {
	end := "abandoned"
	switch {
	case r.partial > 0:
		end = "inside_event"
	case err == nil, errors.Is(err, errFailed):
		end = "whole"
	case errors.Is(err, errIncomplete):
		end = "error"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("jacinthladder_endpoint_bodies_total{framing=%q,end=%q}", r.framing, end)).Inc()
}

// leaveAnnounced counts an endpoint of a service whose response was the first to say
// that it is leaving.
func (m *Metrics) leaveAnnounced(service string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("jacinthladder_endpoint_leaves_announced_total{service=%q}", service)).Inc()
}

// turnedAway counts a request that an endpoint of a service turned away with a time for
// which it wants no further ones.
func (m *Metrics) turnedAway(service string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("jacinthladder_endpoint_turned_away_total{service=%q}", service)).Inc()
}

// limitNamed counts a response in which an endpoint of a service names the rate of requests
// that it takes.
func (m *Metrics) limitNamed(service string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("jacinthladder_endpoint_limits_named_total{service=%q}", service)).Inc()
}

// permitAsked counts a question for a permit to send a request to an endpoint of a service,
// by its outcome, and records how long the reply took.
func (m *Metrics) permitAsked(service string, granted bool, took time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf("jacinthladder_endpoint_permits_total{service=%q,granted=\"%t\"}", service, granted)).Inc()
	m.set.GetOrCreateHistogram("jacinthladder_endpoint_permit_seconds").Update(took.Seconds())
}
