package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// maxBodyBytes is the size of the largest request body that the engine accepts.
const maxBodyBytes = 64 << 20

// Handler returns the engine's HTTP API. While the engine is crashed, the handler
// breaks the connection of every request.
func (e *Engine) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/chat/completions", e.serveCompletions)
	m.HandleFunc("GET /v1/streams/{id}", e.serveResume)
	m.HandleFunc("DELETE /v1/streams/{id}", e.serveCancel)
	m.HandleFunc("GET /v1/load", e.serveLoad)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		crashed, leaving := e.crashed, e.leaving
		e.mu.Unlock()
		if crashed {
			panic(http.ErrAbortHandler)
		}
		if leaving {
			w.Header().Set(LeavingHeader, "true")
		}
		m.ServeHTTP(w, r)
	})
}

func (e *Engine) serveCompletions(w http.ResponseWriter, r *http.Request) {
	var q Request
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	id := r.Header.Get(StreamHeader)
	w.Header().Set(StreamHeader, id)
	priority, err := strconv.Atoi(r.Header.Get(PriorityHeader))
	if id == "" || err != nil {
		http.Error(w, "stream id or rank missing", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	refused := e.leaving || e.crashed
	_, known := e.runs[id]
	run := newRun(id, priority, q)
	if !refused && !known {
		e.runs[id] = run
	}
	e.mu.Unlock()
	switch {
	case refused:
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case known:
		http.Error(w, "stream id is taken", http.StatusConflict)
	default:
		e.start(run, q)
		e.stream(w, r, run, 0)
	}
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	if err != nil || offset < 0 {
		http.Error(w, "offset: want a count of tokens", http.StatusBadRequest)
		return
	}
	run := e.find(r.PathValue("id"))
	if run == nil {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	e.stream(w, r, run, offset)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	run := e.find(r.PathValue("id"))
	if run == nil {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	writeJSON(w, run.cancel())
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, e.Load())
}

func (e *Engine) find(id string) *run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

// stream writes the tokens of a run as server-sent events, without the first offset
// tokens. The ID of an event is the offset of its token. If the engine crashes or the
// run ends early, stream breaks the connection. After StallStreams it writes nothing
// more and waits until the caller closes the connection.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, run *run, offset int) {
	e.mu.Lock()
	stallConns, breakConns := e.stallConns, e.breakConns
	e.mu.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(w)
	created := time.Now().Unix()
	for {
		generated, usage, ended, changed := run.state()
		select {
		case <-stallConns:
			<-r.Context().Done()
			return
		case <-breakConns:
			panic(http.ErrAbortHandler)
		default:
		}
		for ; offset < generated; offset++ {
			writeEvent(w, offset, run.chunk(created, delta{Content: run.tokens[offset]}, nil, nil))
		}
		if ended {
			if !run.complete() {
				panic(http.ErrAbortHandler)
			}
			stop := "stop"
			writeEvent(w, offset, run.chunk(created, delta{}, &stop, &usage))
			fmt.Fprint(w, "data: [DONE]\n\n")
			return
		}
		if err := controller.Flush(); err != nil {
			return
		}
		select {
		case <-changed:
		case <-stallConns:
		case <-breakConns:
		case <-r.Context().Done():
			return
		}
	}
}

func (r *run) chunk(created int64, d delta, finish *string, usage *Usage) chunk {
	return chunk{
		ID:      r.id,
		Object:  "chat.completion.chunk",
		Created: created,
		Model:   r.model,
		Choices: []choice{{Delta: d, Finish: finish}},
		Usage:   usage,
	}
}

func writeEvent(w http.ResponseWriter, offset int, c chunk) {
	data, err := json.Marshal(c)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	fmt.Fprintf(w, "id: %d\ndata: %s\n\n", offset, data)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		panic(http.ErrAbortHandler)
	}
}
