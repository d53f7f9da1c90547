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
	// RequestIDHeader is the header with the request's ID, which responses repeat.
	// Service.Runs counts the runs by this ID.
	RequestIDHeader = "Request-Id"
	// LeavingHeader is the header that is "true" on every response of a service that
	// is leaving, which runs no more requests.
	LeavingHeader = "Endpoint-Leaving"
	// maxBodyBytes is the size of the largest request body that the service accepts.
	maxBodyBytes = 64 << 20
)

// Faults says how the service fails. The zero value means no faults. If several are
// set, a request meets only the first of Down, Leaving, BreakBefore, BreakAfter and
// Unanswered. A request that runs is delayed by Delay in any case.
type Faults struct {
	Delay       time.Duration // time that each run takes
	BreakBefore int           // number of coming requests whose connection is broken before they run
	BreakAfter  int           // number of coming requests whose connection is broken after they have run
	Unanswered  int           // number of coming requests that run but get no response
	Down        bool          // breaks every connection before the body is read
	Leaving     bool          // responds with 503 and LeavingHeader, without a run
}

// Service is the stand-in for a plain service. It counts the runs of each request and
// injects the faults that SetFaults sets. The zero value is ready to use.
type Service struct {
	Name string // name that responses repeat in Response.Service

	mu       sync.Mutex
	faults   Faults
	runsByID map[string]int // number of runs by request ID
	total    int            // number of runs of all requests
}

// Response is the JSON body of the response to a request. It repeats the request that
// the service received.
type Response struct {
	Service   string `json:"service"`
	RequestID string `json:"key"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	Body      string `json:"body"`
}

// SetFaults makes the service fail as f says. It replaces all faults set before, so
// that the zero value ends them.
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
	respond         outcome = iota // runs the request and responds
	breakBefore                    // breaks the connection without a run
	breakAfter                     // runs the request, then breaks the connection
	leaveUnanswered                // runs the request, then waits until the caller disconnects
	refuseLeaving                  // responds with 503 and LeavingHeader, without a run
)

// Handler returns the service's HTTP API. It accepts every method and path, and
// responds with a Response unless a fault is set.
func (s *Service) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		result, delay := s.nextOutcome()
		if result == breakBefore {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set(RequestIDHeader, r.Header.Get(RequestIDHeader))
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

// nextOutcome returns the outcome of the next request and the delay of its run. If the
// request meets a fault that has a count, nextOutcome lowers the count by one.
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
