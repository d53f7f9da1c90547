package load

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxRecorded is the longest time that the histograms record. A longer time is
	// recorded as maxRecorded.
	maxRecorded = 5 * time.Minute
	// significantDigits is the precision of the recorded times, in decimal digits.
	significantDigits = 3
)

// Report counts and measures the responses to a load. Its methods are safe for
// concurrent use.
type Report struct {
	mu            sync.Mutex
	sent          int64
	answered      int64                   // requests with a complete response
	tokens        int64                   // output tokens of the answered requests
	wrong         int64                   // responses that differ from the expected one
	failed        int64                   // requests that were neither answered nor refused
	indeterminate int64                   // refused requests that may have run
	falseRefusals int64                   // refusals for lack of budget of requests that Config.Ledger could have paid for
	spent         int64                   // cost of the answered requests, in micro-units
	refused       map[string]int64        // number of refused requests by error code
	problems      []string                // descriptions of the first maxProblems problems
	firstToken    *hdrhistogram.Histogram // time from sending a request to the first chunk of its stream, in microseconds
	tokenGap      *hdrhistogram.Histogram // time between two consecutive chunks of a stream, in microseconds
	start         time.Time
	elapsed       time.Duration
}

func newReport() *Report {
	return &Report{
		refused:    map[string]int64{},
		firstToken: hdrhistogram.New(1, maxRecorded.Microseconds(), significantDigits),
		tokenGap:   hdrhistogram.New(1, maxRecorded.Microseconds(), significantDigits),
		start:      time.Now(),
	}
}

// Sent returns the number of requests sent.
func (r *Report) Sent() int64 { return r.load(&r.sent) }

// Answered returns the number of requests with a complete response.
func (r *Report) Answered() int64 { return r.load(&r.answered) }

// WrongResponses returns the number of responses that differ from the expected one. It
// is 0 unless Config.Check is set.
func (r *Report) WrongResponses() int64 { return r.load(&r.wrong) }

// Failed returns the number of requests that ended with neither a complete response
// nor a refusal.
func (r *Report) Failed() int64 { return r.load(&r.failed) }

// FalseRefusals returns the number of requests that were refused for lack of budget
// although Config.Ledger could have paid for them.
func (r *Report) FalseRefusals() int64 { return r.load(&r.falseRefusals) }

// Spent returns the cost of all answered requests in micro-units, or 0 without
// Config.Ledger.
func (r *Report) Spent() int64 { return r.load(&r.spent) }

// Refused returns the number of refused requests by error code.
func (r *Report) Refused() map[string]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.refused)
}

// FirstToken returns the given percentile, from 0 to 100, of the time from sending a
// request to the first chunk of its streamed response.
func (r *Report) FirstToken(percentile float64) time.Duration {
	return r.percentile(r.firstToken, percentile)
}

// TokenGap returns the given percentile, from 0 to 100, of the time between two
// consecutive chunks of a streamed response.
func (r *Report) TokenGap(percentile float64) time.Duration {
	return r.percentile(r.tokenGap, percentile)
}

// Rate returns the number of requests answered per second, averaged over the run.
func (r *Report) Rate() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return float64(r.answered) / r.elapsed.Seconds()
}

func (r *Report) load(field *int64) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return *field
}

func (r *Report) percentile(h *hdrhistogram.Histogram, percentile float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(h.ValueAtQuantile(percentile)) * time.Microsecond
}

func (r *Report) add(field *int64, delta int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*field += delta
}

func (r *Report) addRefusal(code string, falseRefusal bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refused[code]++
	if falseRefusal {
		r.falseRefusals++
	}
}

func (r *Report) recordTime(h *hdrhistogram.Histogram, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := h.RecordValue(min(max(d, time.Microsecond), maxRecorded).Microseconds()); err != nil {
		r.problems = append(r.problems, err.Error())
	}
}

// maxProblems is the maximum number of failed requests and wrong responses that a
// report describes; it only counts later ones.
const maxProblems = 5

func (r *Report) addProblem(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.problems) < maxProblems {
		r.problems = append(r.problems, fmt.Sprintf(format, args...))
	}
}

// String formats the report as lines of text.
func (r *Report) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var b strings.Builder
	line := func(name, format string, args ...any) {
		fmt.Fprintf(&b, "%-22s%s\n", name, fmt.Sprintf(format, args...))
	}
	ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	line("requests", "%d in %s", r.sent, r.elapsed.Round(time.Millisecond))
	line("answered", "%d (%.0f/s, %d tokens)", r.answered, float64(r.answered)/r.elapsed.Seconds(), r.tokens)
	for _, code := range slices.Sorted(maps.Keys(r.refused)) {
		line("refused", "%d %s", r.refused[code], code)
	}
	line("outcome unknown", "%d", r.indeterminate)
	line("failed", "%d", r.failed)
	line("wrong answers", "%d", r.wrong)
	line("false refusals", "%d", r.falseRefusals)
	line("first token", "p50 %.1f ms, p95 %.1f ms", ms(r.firstToken, 50), ms(r.firstToken, 95))
	line("between tokens", "p95 %.1f ms", ms(r.tokenGap, 95))
	for _, p := range r.problems {
		line("problem", "%s", p)
	}
	return b.String()
}
