package plain

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"
)

const (
	// KeyHeader carries the request's id.
	KeyHeader = "Request-Id"
	// LeavingHeader is set to "true" on every answer of a leaving endpoint.
	LeavingHeader = "Endpoint-Leaving"
	maxBody       = 64 << 20
)

// Faults say how the service fails from now on. The zero value is healthy.
type Faults struct {
	Slow    time.Duration // delays each run
	Before  int           // breaks so many connections before the run
	After   int           // breaks so many connections after the run
	Silent  int           // never answers so many calls, after the run
	Down    bool          // refuses every connection before it is read
	Leaving bool          // answers 503 with LeavingHeader
}

// Service is a plain service in memory. The zero value is ready.
type Service struct {
	Name string

	mu     sync.Mutex
	faults Faults
	runs   map[string]int
	total  int
}

// Answer is what the service says to each call.
type Answer struct {
	Service string `json:"service"`
	Key     string `json:"key"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Body    string `json:"body"`
}

// Set changes how the service fails.
func (s *Service) Set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Runs returns how often each request ran, by request id.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}

// Total returns the runs of all requests.
func (s *Service) Total() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

type fate int

const (
	answer fate = iota
	breakBefore
	breakAfter
	silent
	leaving
)

// Handler returns the service's HTTP surface.
func (s *Service) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		end, slow := s.decide()
		if end == breakBefore {
			panic(http.ErrAbortHandler)
		}
		if end == leaving {
			w.Header().Set(LeavingHeader, "true")
			http.Error(w, "leaving", http.StatusServiceUnavailable)
			return
		}
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		time.Sleep(slow)
		s.run(r.Header.Get(KeyHeader))
		switch end {
		case breakAfter:
			panic(http.ErrAbortHandler)
		case silent:
			<-r.Context().Done()
			return
		}
		a := Answer{Service: s.Name, Key: r.Header.Get(KeyHeader), Method: r.Method, Path: r.URL.Path, Body: string(body)}
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(a); err != nil {
			panic(http.ErrAbortHandler)
		}
	})
}

// decide takes the next fault that is set.
func (s *Service) decide() (fate, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := &s.faults
	switch {
	case f.Down:
		return breakBefore, 0
	case f.Leaving:
		return leaving, 0
	case f.Before > 0:
		f.Before--
		return breakBefore, 0
	case f.After > 0:
		f.After--
		return breakAfter, f.Slow
	case f.Silent > 0:
		f.Silent--
		return silent, f.Slow
	default:
		return answer, f.Slow
	}
}

func (s *Service) run(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs == nil {
		s.runs = map[string]int{}
	}
	s.runs[key]++
	s.total++
}
