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

// watchers is the number of instances in each zone that watch the platform's
// configuration.
const watchers = 2

// callerSurface returns what callers see.
func (n *Node) callerSurface() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/chat/completions", n.flow.Chat)
	m.HandleFunc("GET /v1/models", n.models)
	m.HandleFunc("/s/{service}/{path...}", n.flow.Plain)
	m.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		call.Refuse(call.UnknownService, "there is nothing at %s %s", r.Method, r.URL.Path).Write(w)
	})
	c := negroni.New(negroni.HandlerFunc(n.recover))
	c.UseHandler(m)
	return c
}

// recover turns a fault of the program into an answer, and lets the abort of
// an answer pass.
func (n *Node) recover(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
	defer func() {
		fault := recover()
		if fault == nil {
			return
		}
		if fault == http.ErrAbortHandler {
			panic(fault)
		}
		n.logger.Errorf("node: %s %s failed: %v\n%s", r.Method, r.URL.Path, fault, debug.Stack())
		call.Indeterminate(call.Failed, "the request failed").Write(w)
	}()
	next(w, r)
}

type modelText struct {
	ID     string `json:"id"`
	Object string `json:"object"`
	Owner  string `json:"owned_by"`
	Made   int64  `json:"created"`
}

type modelsText struct {
	Object string      `json:"object"`
	Data   []modelText `json:"data"`
}

// models lists the models that the caller's account may call.
func (n *Node) models(w http.ResponseWriter, r *http.Request) {
	account, err := n.flow.Parser.Authenticate(r)
	if err != nil {
		n.flow.Refuse(w, err)
		return
	}
	list := modelsText{Object: "list", Data: []modelText{}}
	for _, m := range n.keeper.Snapshot().Models(account) {
		list.Data = append(list.Data, modelText{ID: m, Object: "model", Owner: "jacinthladder"})
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(list); err != nil {
		return // the caller is gone
	}
}

// adminSurface returns what operators see.
func (n *Node) adminSurface() http.Handler {
	n.meter.Gauge("jacinthladder_members", func() float64 { return float64(len(n.table.Live(time.Now()))) })
	n.meter.Gauge("jacinthladder_config_version", func() float64 { return float64(n.keeper.CompleteVersion()) })
	n.meter.Gauge("jacinthladder_records_waiting", func() float64 { return float64(n.clerk.Pending()) })
	n.meter.Gauge("jacinthladder_shares", func() float64 { return float64(len(n.holder.Shares())) })
	n.meter.Gauge("jacinthladder_keys", func() float64 { return float64(n.flow.Replays.Len()) })
	m := http.NewServeMux()
	m.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { n.meter.Write(w) })
	m.HandleFunc("GET /live", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "live") })
	m.HandleFunc("GET /ready", ReadyHandler(n.NotReadyReason))
	m.HandleFunc("GET /shares", n.shares)
	return m
}

// NotReadyReason returns why the instance should get no requests, empty if it should.
func (n *Node) NotReadyReason() string {
	switch {
	case n.leaving.Load():
		return "leaving"
	case n.keeper.CompleteVersion() == 0:
		return "no configuration yet"
	default:
		return ""
	}
}

// ReadyHandler answers a balancer that asks whether an instance is to get requests;
// reason says why not, empty if it is.
func ReadyHandler(reason func() string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if why := reason(); why != "" {
			http.Error(w, why, http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ready")
	}
}

type shareText struct {
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

// shares shows the escrow shares of this instance, in micro-units.
func (n *Node) shares(w http.ResponseWriter, _ *http.Request) {
	list := []shareText{}
	for _, s := range n.holder.Shares() {
		f := s.Stats()
		list = append(list, shareText{
			Budget: s.Budget(), Share: s.ID(), Granted: f.Granted(), Returned: f.Returned(), Received: f.Received(),
			Sent: f.Sent(), Used: f.Used(), Reserved: f.Reserved(), Idle: f.Idle(), Waiting: f.Waiting(), Rate: f.Rate(),
		})
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(list); err != nil {
		return // the operator is gone
	}
}

// onDuty reports whether this instance is one of the few in its zone that
// watch the platform's configuration. While it knows no peer it always is.
func (n *Node) onDuty() bool {
	self := n.table.Self()
	names := []string{member.Name(self.Process)}
	for _, m := range n.table.Live(time.Now()) {
		if m.Zone == self.Zone && !m.Leaving {
			names = append(names, member.Name(m.Process))
		}
	}
	for _, name := range subset.Pick("watch "+self.Zone, names, watchers) {
		if name == names[0] {
			return true
		}
	}
	return false
}
