package store

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"jacinthladder.dev/internal/plat/object"
	"jacinthladder.dev/internal/plat/roster"
)

// ZoneHeader is the request header with the availability zone of the caller. A call
// from a zone in Faults.OfflineZones gets no response.
const ZoneHeader = "Jacinthladder-Zone"

// maxWatchWait is the longest time that a watch over HTTP waits for a change, however
// long the caller asks it to wait.
const maxWatchWait = 30 * time.Second

// Handler returns the platform's HTTP API. It also serves /v1/faults, which sets the
// faults, and /v1/counts, which returns the counts of calls.
func (p *Platform) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/objects/{kind}/{name}", p.serveGet)
	m.HandleFunc("PUT /v1/objects/{kind}/{name}", p.servePut)
	m.HandleFunc("GET /v1/objects/{kind}", p.serveWatch)
	m.HandleFunc("GET /v1/instances", p.serveInstances)
	m.HandleFunc("PUT /v1/instances/{name}", p.servePutInstance)
	m.HandleFunc("DELETE /v1/instances/{name}", p.serveDeleteInstance)
	m.HandleFunc("PUT /v1/faults", p.serveFaults)
	m.HandleFunc("GET /v1/counts", p.serveCounts)
	return m
}

func (p *Platform) serveGet(w http.ResponseWriter, r *http.Request) {
	o, err := p.Store(r.Header.Get(ZoneHeader)).Get(r.Context(), r.PathValue("kind"), r.PathValue("name"))
	reply(w, toItem(o), err)
}

func (p *Platform) servePut(w http.ResponseWriter, r *http.Request) {
	var i object.Item
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 2*MaxValueBytes)).Decode(&i); err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	kind, name := r.PathValue("kind"), r.PathValue("name")
	version, err := p.Store(r.Header.Get(ZoneHeader)).Put(r.Context(), kind, name, i.Version, i.Value)
	reply(w, object.Item{Kind: kind, Name: name, Version: version}, err)
}

func (p *Platform) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after: want a number", http.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil {
		http.Error(w, "wait: want a duration", http.StatusBadRequest)
		return
	}
	page, err := p.Store(r.Header.Get(ZoneHeader)).Watch(r.Context(), r.PathValue("kind"), after, min(wait, maxWatchWait))
	list := object.List{Items: make([]object.Item, 0, len(page.Objects())), Version: page.Version()}
	for _, o := range page.Objects() {
		list.Items = append(list.Items, toItem(o))
	}
	reply(w, list, err)
}

func (p *Platform) serveInstances(w http.ResponseWriter, r *http.Request) {
	if err := p.admit(r.Context(), r.Header.Get(ZoneHeader), p.reads); err != nil {
		reply[any](w, nil, err)
		return
	}
	entries := p.Instances()
	if entries == nil {
		entries = []roster.Entry{}
	}
	reply(w, entries, nil)
}

func (p *Platform) servePutInstance(w http.ResponseWriter, r *http.Request) {
	var e roster.Entry
	if err := json.NewDecoder(r.Body).Decode(&e); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.Name = r.PathValue("name")
	p.PutInstance(e)
	reply(w, e, nil)
}

func (p *Platform) serveDeleteInstance(w http.ResponseWriter, r *http.Request) {
	p.DeleteInstance(r.PathValue("name"))
	reply(w, struct{}{}, nil)
}

func (p *Platform) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(f)
	reply(w, f, nil)
}

func (p *Platform) serveCounts(w http.ResponseWriter, _ *http.Request) {
	reply(w, p.Counts(), nil)
}

func toItem(o object.Object) object.Item {
	return object.Item{Kind: o.Kind(), Name: o.Name(), Version: o.Version(), Value: o.Value()}
}

// reply writes body as JSON if err is nil. Otherwise it writes a status: 404 for a
// missing object, 409 for a conflict and 503 for a refused call. For every other
// error, which leaves the outcome unknown to the caller, it closes the connection
// without a response.
func reply[T any](w http.ResponseWriter, body T, err error) {
	switch {
	case err == nil:
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(body); err != nil {
			panic(http.ErrAbortHandler)
		}
	case errors.Is(err, object.ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, object.ErrConflict):
		http.Error(w, err.Error(), http.StatusConflict)
	case errors.Is(err, object.ErrRefused):
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		panic(http.ErrAbortHandler)
	}
}
