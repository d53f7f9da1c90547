package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// replica stands in for one server of a service. It runs each request that names it, answers a
// request with a token count by a stream of events, and any other by a line of text.
type replica struct {
	id, service, zone, version string
	slots                      int
	events                     int           // in a whole stream
	gap                        time.Duration // between two events
	names                      names
	record                     *record
	born                       int64
	server                     *http.Server
	address                    string

	mu     sync.Mutex
	seq    int
	state  string
	runs   map[string]int // by attempt ID
	onRun  func(r *replica, id, tenant string)
	leaves bool // says in its answers that it leaves
}

// start listens on a free loopback port and serves.
func (r *replica) start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.address, r.runs = l.Addr().String(), map[string]int{}
	r.serve(l)
	return nil
}

// serve begins an incarnation of the replica at its address.
func (r *replica) serve(l net.Listener) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.born, r.state, r.seq, r.leaves = time.Now().UnixMilli(), "ready", 0, false
	s := &http.Server{Handler: r}
	r.server = s
	go func() { _ = s.Serve(l) }()
}

// crash ends the replica with its connections.
func (r *replica) crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.say("replica %s (%s) crashes", r.id, r.version)
	r.server.Close()
}

// restart starts the replica again under its ID at its address, at a software version.
func (r *replica) restart(version string) error {
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.version = version
	r.mu.Unlock()
	r.serve(l)
	r.record.say("replica %s starts again, at %s", r.id, version)
	return nil
}

// leave makes the replica say in its answers, and in its next entry, that it leaves.
func (r *replica) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaves, r.state = true, "draining"
	r.record.say("replica %s says that it leaves", r.id)
}

// entry returns the replica's entry in the platform's store.
func (r *replica) entry() (any, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seq++
	return fill("entry.json", map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": r.version, "slots": r.slots,
		"state": r.state, "seq": r.seq, "born": r.born,
	})
}

// ServeHTTP answers one request.
func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get(r.names["attempt"])
	w.Header().Set(r.names["attempt"], id)
	if q.Header.Get(r.names["expect"]) != r.id {
		w.Header().Set(r.names["instance"], r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	tenant := q.Header.Get(r.names["tenant"])
	r.mu.Lock()
	r.runs[id]++
	if r.leaves {
		w.Header().Set(r.names["leaving"], "1")
	}
	version := r.version
	r.mu.Unlock()
	r.record.add("run      %s at %s (%s) for %s, last event %q", id, r.id, version, tenant, q.Header.Get(r.names["lastEvent"]))
	if r.onRun != nil {
		r.onRun(r, id, tenant)
	}
	w.Header().Set(r.names["seal"], "seal-"+r.id)
	if q.Header.Get(r.names["tokens"]) == "" {
		time.Sleep(15 * time.Millisecond)
		fmt.Fprintf(w, "%s %s of %s for %s\n", q.Method, q.URL.Path, id, tenant)
		return
	}
	r.stream(w, q, version)
}

// stream writes the events after the one that the request names, until the client leaves.
func (r *replica) stream(w http.ResponseWriter, q *http.Request, version string) {
	first := 1
	if last, err := strconv.Atoi(q.Header.Get(r.names["lastEvent"])); err == nil {
		first = last + 1
	}
	total := r.events
	if _, output, ok := strings.Cut(q.Header.Get(r.names["tokens"]), ","); ok {
		if n, err := strconv.Atoi(output); err == nil && n/stride < total {
			total = n / stride
		}
	}
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for i := first; i <= total; i++ {
		select {
		case <-q.Context().Done():
			return
		case <-time.After(r.gap):
		}
		fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", i, i, version)
		if err := control.Flush(); err != nil {
			return
		}
	}
}

// stride is the number of tokens in an event, as in the configuration.
const stride = 4
