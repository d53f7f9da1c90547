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
	// RequestIDHeader carries the ID of the request.
	RequestIDHeader = "Request-Id"
	// LeavingHeader is set to "true" on every response of a leaving endpoint.
	LeavingHeader = "Endpoint-Leaving"
	// maxBodyBytes is the largest accepted request body.
	maxBodyBytes = 64 << 20
)

// Faults configures how the service fails. The zero value means no faults. If
// several are set, Down comes first, then Leaving, BreakBefore, BreakAfter
// and Unanswered.
type Faults struct {
	Delay       time.Duration // delays each run
	BreakBefore int           // number of connections to break before the run
	BreakAfter  int           // number of connections to break after the run
	Unanswered  int           // number of requests to leave without a response after the run
	Down        bool          // breaks every connection before the body is read
	Leaving     bool          // responds with 503 and LeavingHeader, without a run
}

// Service is an in-memory plain service. The zero value is ready to use.
type Service struct {
	Name string

	mu       sync.Mutex
	faults   Faults
	runsByID map[string]int
	total    int
}

// Response is the response to a request. It repeats what the service received.
type Response struct {
	Service   string `json:"service"`
	RequestID string `json:"key"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	Body      string `json:"body"`
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Runs returns how often each request ran, by request ID.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runsByID)
}

// Total returns the number of runs of all requests.
func (s *Service) Total() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

// outcome is how the service ends a request.
type outcome int

const (
	respond outcome = iota
	breakBefore
	breakAfter
	leaveUnanswered
	refuseLeaving
)

// Handler returns the service's HTTP API.
func (s *Service) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		result, delay := s.nextOutcome()
		if result == breakBefore {
			panic(http.ErrAbortHandler)
		}
		if result == refuseLeaving {
			w.Header().Set(LeavingHeader, "true")
			http.Error(w, "leaving", http.StatusServiceUnavailable)
			return
		}
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		time.Sleep(delay)
		s.recordRun(r.Header.Get(RequestIDHeader))
		switch result {
		case breakAfter:
			panic(http.ErrAbortHandler)
		case leaveUnanswered:
			<-r.Context().Done()
			return
		}
		response := Response{Service: s.Name, RequestID: r.Header.Get(RequestIDHeader), Method: r.Method, Path: r.URL.Path, Body: string(body)}
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(response); err != nil {
			panic(http.ErrAbortHandler)
		}
	})
}

// nextOutcome returns how the next request ends and by how much its run is delayed.
// It uses up one of a fault that has a count.
func (s *Service) nextOutcome() (outcome, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := &s.faults
	switch {
	case f.Down:
		return breakBefore, 0
	case f.Leaving:
		return refuseLeaving, 0
	case f.BreakBefore > 0:
		f.BreakBefore--
		return breakBefore, 0
	case f.BreakAfter > 0:
		f.BreakAfter--
		return breakAfter, f.Delay
	case f.Unanswered > 0:
		f.Unanswered--
		return leaveUnanswered, f.Delay
	default:
		return respond, f.Delay
	}
}

func (s *Service) recordRun(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runsByID == nil {
		s.runsByID = map[string]int{}
	}
	s.runsByID[id]++
	s.total++
}
