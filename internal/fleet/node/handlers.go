package node

import (
	"encoding/json"
	"fmt"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/urfave/negroni/v3"

	"jacinthladder.dev/coord/member"
	"jacinthladder.dev/coord/subset"
	"jacinthladder.dev/internal/entry/call"
)

// watchersPerZone is the number of instances in each zone that watch the
// configuration on the platform. The other instances get it from peers.
const watchersPerZone = 2

// callerHandler returns the HTTP handler for callers. It serves chat completions, the
// list of models, and the plain services below /s/. It refuses every other path.
func (n *Node) callerHandler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/chat/completions", n.pipeline.Chat)
	m.HandleFunc("GET /v1/models", n.models)
	m.HandleFunc("/s/{service}/{path...}", n.pipeline.Plain)
	m.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		call.Refuse(call.UnknownService, "there is nothing at %s %s", r.Method, r.URL.Path).Write(w)
	})
	c := negroni.New(negroni.HandlerFunc(n.recover))
	c.UseHandler(m)
	return c
}

// recover calls next. If next panics, recover logs the panic and writes an error
// response, which says that the request may have run. It passes on the panic value
// http.ErrAbortHandler, with which a handler aborts a response on purpose.
func (n *Node) recover(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
	defer func() {
		value := recover()
		if value == nil {
			return
		}
		if value == http.ErrAbortHandler {
			panic(value)
		}
		n.logger.Errorf("node: panic in %s %s: %v\n%s", r.Method, r.URL.Path, value, debug.Stack())
		call.Indeterminate(call.Failed, "the request failed").Write(w)
	}()
	next(w, r)
}

// modelJSON is one model in the OpenAI format of a list of models. Object is always
// "model", and Created is always 0.
type modelJSON struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
	Created int64  `json:"created"`
}

// modelsJSON is the body of a response to GET /v1/models. Object is always "list".
type modelsJSON struct {
	Object string      `json:"object"`
	Data   []modelJSON `json:"data"`
}

// models writes the list of models that the caller's account may call, as JSON. It
// refuses a request that it can't authenticate.
func (n *Node) models(w http.ResponseWriter, r *http.Request) {
	account, err := n.pipeline.Parser.Authenticate(r)
	if err != nil {
		n.pipeline.Refuse(w, err)
		return
	}
	list := modelsJSON{Object: "list", Data: []modelJSON{}}
	for _, m := range n.config.Snapshot().Models(account) {
		list.Data = append(list.Data, modelJSON{ID: m, Object: "model", OwnedBy: "jacinthladder"})
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(list); err != nil {
		return // the caller has disconnected
	}
}

// adminHandler returns the HTTP handler for operators. It serves the metrics, the
// liveness and readiness checks, and the counters of this instance's escrow shares. It
// also adds the gauges of this instance to the metrics.
func (n *Node) adminHandler() http.Handler {
	n.metrics.Gauge("jacinthladder_members", func() float64 { return float64(len(n.members.Live(time.Now()))) })
	n.metrics.Gauge("jacinthladder_config_version", func() float64 { return float64(n.config.CompleteVersion()) })
	n.metrics.Gauge("jacinthladder_records_waiting", func() float64 { return float64(n.recorder.Pending()) })
	n.metrics.Gauge("jacinthladder_shares", func() float64 { return float64(len(n.holder.Shares())) })
	n.metrics.Gauge("jacinthladder_keys", func() float64 { return float64(n.pipeline.Replays.Len()) })
	m := http.NewServeMux()
	m.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { n.metrics.Write(w) })
	m.HandleFunc("GET /live", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "live") })
	m.HandleFunc("GET /ready", ReadyHandler(n.NotReadyReason))
	m.HandleFunc("GET /shares", n.shares)
	return m
}

// NotReadyReason returns why the instance must not receive requests, or an empty
// string if it is ready.
func (n *Node) NotReadyReason() string {
	switch {
	case n.leaving.Load():
		return "leaving"
	case n.config.CompleteVersion() == 0:
		return "no configuration yet"
	default:
		return ""
	}
}

// ReadyHandler returns the handler of a load balancer's readiness check. Reason
// returns why the instance must not receive requests, or an empty string if it is
// ready. With a reason, the handler responds with status 503 and the reason.
func ReadyHandler(reason func() string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if msg := reason(); msg != "" {
			http.Error(w, msg, http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ready")
	}
}

// shareJSON holds the counters of one escrow share in the response to GET /shares. The
// methods of escrow.Stats with the same names explain them. Amounts are in micro-units,
// Rate is the use by which the share is sized, in micro-units per second, and Waiting is
// the number of requests that wait for budget.
type shareJSON struct {
	Budget   string  `json:"budget"`
	Share    string  `json:"share"`
	Granted  int64   `json:"granted"`
	Returned int64   `json:"returned"`
	Received int64   `json:"received"`
	Sent     int64   `json:"sent"`
	Used     int64   `json:"used"`
	Reserved int64   `json:"reserved"`
	Idle     int64   `json:"idle"`
	Waiting  int     `json:"waiting"`
	Rate     float64 `json:"rate"`
}

// shares writes the counters of each escrow share of this instance, as JSON.
func (n *Node) shares(w http.ResponseWriter, _ *http.Request) {
	list := []shareJSON{}
	for _, s := range n.holder.Shares() {
		f := s.Stats()
		list = append(list, shareJSON{
			Budget: s.Budget(), Share: s.ID(), Granted: f.Granted(), Returned: f.Returned(), Received: f.Received(),
			Sent: f.Sent(), Used: f.Used(), Reserved: f.Reserved(), Idle: f.Idle(), Waiting: f.Waiting(), Rate: f.Rate(),
		})
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(list); err != nil {
		return // the operator has disconnected
	}
}

// isWatcher reports whether this instance is one of the watchersPerZone instances in
// its zone that watch the configuration on the platform. Rendezvous hashing chooses
// them among the live instances of the zone that are not leaving. An instance that
// knows no other such instance in its zone always watches.
func (n *Node) isWatcher() bool {
	self := n.members.Self()
	names := []string{member.Name(self.Process)}
	for _, m := range n.members.Live(time.Now()) {
		if m.Zone == self.Zone && !m.Leaving {
			names = append(names, member.Name(m.Process))
		}
	}
	for _, name := range subset.Pick("watch "+self.Zone, names, watchersPerZone) {
		if name == names[0] {
			return true
		}
	}
	return false
}
