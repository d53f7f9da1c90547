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
	// longest is the longest time that the histograms can hold.
	longest = 5 * time.Minute
	// figures is the significant figures of the histograms.
	figures = 3
)

// Report is what a load saw. Its methods are safe for concurrent use.
type Report struct {
	mu       sync.Mutex
	sent     int64
	answered int64
	tokens   int64
	wrong    int64
	failed   int64
	unsure   int64
	falsely  int64
	spent    int64
	refused  map[string]int64
	problems []string
	first    *hdrhistogram.Histogram
	gap      *hdrhistogram.Histogram
	began    time.Time
	took     time.Duration
}

func newReport() *Report {
	return &Report{
		refused: map[string]int64{},
		first:   hdrhistogram.New(1, longest.Microseconds(), figures),
		gap:     hdrhistogram.New(1, longest.Microseconds(), figures),
		began:   time.Now(),
	}
}

// Sent returns the requests sent.
func (r *Report) Sent() int64 { return r.read(&r.sent) }

// Answered returns the requests answered whole.
func (r *Report) Answered() int64 { return r.read(&r.answered) }

// Wrong returns the answers that were not the whole answer to their request.
func (r *Report) Wrong() int64 { return r.read(&r.wrong) }

// Failed returns the requests that ended in neither an answer nor a refusal.
func (r *Report) Failed() int64 { return r.read(&r.failed) }

// False returns the refusals that the naive ledger could have paid for.
func (r *Report) False() int64 { return r.read(&r.falsely) }

// Spent returns the micro-units that the answers cost.
func (r *Report) Spent() int64 { return r.read(&r.spent) }

// Refused returns the refusals by code.
func (r *Report) Refused() map[string]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.refused)
}

// First returns a quantile, 0 to 100, of the time to the first token.
func (r *Report) First(quantile float64) time.Duration { return r.quantile(r.first, quantile) }

// Gap returns a quantile, 0 to 100, of the time between tokens.
func (r *Report) Gap(quantile float64) time.Duration { return r.quantile(r.gap, quantile) }

// Rate returns the requests answered per second.
func (r *Report) Rate() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return float64(r.answered) / r.took.Seconds()
}

func (r *Report) read(field *int64) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return *field
}

func (r *Report) quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}

func (r *Report) count(field *int64, by int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*field += by
}

func (r *Report) refuse(code string, falsely bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refused[code]++
	if falsely {
		r.falsely++
	}
}

func (r *Report) time(h *hdrhistogram.Histogram, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := h.RecordValue(min(max(d, time.Microsecond), longest).Microseconds()); err != nil {
		r.problems = append(r.problems, err.Error())
	}
}

// maxProblems bounds the problems that are kept in words.
const maxProblems = 5

func (r *Report) problem(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.problems) < maxProblems {
		r.problems = append(r.problems, fmt.Sprintf(format, args...))
	}
}

// String returns the report as lines of text.
func (r *Report) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var b strings.Builder
	line := func(name, format string, args ...any) {
		fmt.Fprintf(&b, "%-22s%s\n", name, fmt.Sprintf(format, args...))
	}
	ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	line("requests", "%d in %s", r.sent, r.took.Round(time.Millisecond))
	line("answered", "%d (%.0f/s, %d tokens)", r.answered, float64(r.answered)/r.took.Seconds(), r.tokens)
	for _, code := range slices.Sorted(maps.Keys(r.refused)) {
		line("refused", "%d %s", r.refused[code], code)
	}
	line("outcome unknown", "%d", r.unsure)
	line("failed", "%d", r.failed)
	line("wrong answers", "%d", r.wrong)
	line("false refusals", "%d", r.falsely)
	line("first token", "p50 %.1f ms, p95 %.1f ms", ms(r.first, 50), ms(r.first, 95))
	line("between tokens", "p95 %.1f ms", ms(r.gap, 95))
	for _, p := range r.problems {
		line("problem", "%s", p)
	}
	return b.String()
}
