package main

import (
	"cmp"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// prefillTime is the time from the arrival of a request to its first event.
const prefillTime = 40 * time.Millisecond

// arrival is a request that has reached an endpoint.
type arrival struct {
	id, endpoint string
	at           time.Time
}

// endpoint stands in for a model engine. A restart keeps its address.
type endpoint struct {
	fleet    *fleet
	Service  string // models if empty
	Slots    int    // 128 if 0
	Address  string
	Zone     string
	Software string
	Born     int64
	ColdLeft int // milliseconds for which it is slow still
	id       string
	events   int           // of a whole stream
	gap      time.Duration // between two events
	badPart  string        // part of a prompt at which it crashes
	badBegun bool          // it crashes just after the first event then, and not before
	crashed  func(e *endpoint)
	limit    string // requests a second that it takes from all instances, empty for no limit; guarded by mu

	mu      sync.Mutex
	server  *http.Server
	running map[string]bool
}

// arrivals are the requests that have reached any endpoint.
type arrivals struct {
	mu  sync.Mutex
	all []arrival
}

var seen arrivals

func (a *arrivals) add(id, endpoint string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.all = append(a.all, arrival{id, endpoint, time.Now()})
}

func (a *arrivals) list() []arrival {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]arrival(nil), a.all...)
}

// register writes the entry of the endpoint to the store, if the endpoints reach it.
func (e *endpoint) register() {
	e.Service, e.Slots = cmp.Or(e.Service, "models"), cmp.Or(e.Slots, 128)
	e.fleet.store.PutText(names.Servers, e.id, fill(entryText, e))
	e.fleet.rec.add("endpoint %s registered, software %s", e.id, e.Software)
}

// start starts the endpoint at its address, or at a free one if it has none.
func (e *endpoint) start() error {
	address := e.Address
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	for end := time.Now().Add(2 * time.Second); err != nil && time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		l, err = net.Listen("tcp", address)
	}
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Address = l.Addr().String()
	e.Born = time.Now().UnixMilli()
	e.running = map[string]bool{}
	e.server = &http.Server{Handler: e}
	server := e.server
	go func() {
		if err := server.Serve(l); err != http.ErrServerClosed {
			e.fleet.rec.add("endpoint %s: %v", e.id, err)
		}
	}()
	e.fleet.rec.add("endpoint %s started, software %s, address %s", e.id, e.Software, e.Address)
	return nil
}

// crash closes the listener and all connections, as the end of the process does.
func (e *endpoint) crash() {
	e.mu.Lock()
	server := e.server
	e.server = nil
	e.mu.Unlock()
	if server == nil {
		return
	}
	if err := server.Close(); err != nil {
		e.fleet.rec.add("endpoint %s: %v", e.id, err)
	}
	e.fleet.rec.add("endpoint %s crashed", e.id)
	if e.crashed != nil {
		e.crashed(e)
	}
}

// open returns the number of requests in progress.
func (e *endpoint) open() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running)
}

// lateCrash is the time from the begin of a request that crashes an endpoint of a plain service to the crash, also if its
// connection is closed meanwhile.
const lateCrash = 500 * time.Millisecond

// serveDesk serves a request of a plain service.
func (e *endpoint) serveDesk(w http.ResponseWriter, r *http.Request) {
	if e.badPart != "" && strings.Contains(r.URL.Path, e.badPart) {
		time.Sleep(lateCrash)
		e.crash()
		panic(http.ErrAbortHandler)
	}
	time.Sleep(15 * time.Millisecond)
	fmt.Fprint(w, "found")
}

// ServeHTTP serves a stream, or says what the endpoint says of itself.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == names.Report {
		fmt.Fprintf(w, `{"waiting":0,"running":%d,"born":%d}`, e.open(), e.Born)
		return
	}
	id := r.Header.Get(names.ID)
	w.Header().Set(names.ID, id)
	if r.Header.Get(names.Expect) != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	seen.add(id, e.id)
	from, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		from = 0
	}
	e.fleet.rec.add("request %s reached endpoint %s of software %s, after event %d", id, e.id, e.Software, from)
	e.mu.Lock()
	e.running[id] = true
	if e.limit != "" {
		w.Header().Set(names.Limit, e.limit)
	}
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.running, id)
	}()
	w.Header().Set(names.Seal, "seal-of-"+e.id)
	if e.Service == "desk" {
		e.serveDesk(w, r)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	time.Sleep(prefillTime)
	control := http.NewResponseController(w)
	if e.badPart != "" && strings.Contains(r.Header.Get(names.Parts), e.badPart+":") {
		if e.badBegun {
			fmt.Fprintf(w, "id: %d\ndata: piece %d of software %s\n\n", from+1, from+1, e.Software)
		}
		if err := control.Flush(); err != nil {
			panic(http.ErrAbortHandler)
		}
		if e.badBegun {
			time.Sleep(e.gap)
		}
		e.crash()
		panic(http.ErrAbortHandler)
	}
	for i := from + 1; i <= e.events; i++ {
		fmt.Fprintf(w, "id: %d\ndata: piece %d of software %s\n\n", i, i, e.Software)
		if err := control.Flush(); err != nil || r.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
		time.Sleep(e.gap)
	}
}
