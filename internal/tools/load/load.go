package load

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Caller is a client account that sends requests.
type Caller struct {
	Account string
	Key     string
	Model   string // model to call, empty for none
	Service string // plain service to call, empty for none
	Path    string // path of the plain calls
}

// Config says what to send. Requests go round the targets.
type Config struct {
	Targets []string // base addresses
	Callers []Caller
	Count   int           // requests, 0 for no bound
	Time    time.Duration // how long to send
	Rate    float64       // requests a second, 0 for as fast as Workers allow
	Workers int
	Stream  float64 // part of the model calls that stream
	Tokens  int64   // max_tokens
	Themes  int     // different first messages
	Direct  bool    // the targets are engine stand-ins
	Check   bool    // the engines are stand-ins: compare every answer
	Seed    uint64

	// Bound returns the most that a request can cost. With it and a Ledger,
	// false refusals are counted.
	Bound  func(r *http.Request, body []byte) (int64, error)
	Cost   func(r *http.Request, body []byte, input, cached, output int64) int64
	Ledger *Ledger
}

// dialTime bounds the opening of a connection.
const dialTime = 5 * time.Second

// Run sends the load and returns what it saw.
func Run(ctx context.Context, c Config) *Report {
	ctx, cancel := context.WithTimeout(ctx, c.Time)
	defer cancel()
	r := newReport()
	limit := rate.NewLimiter(rate.Inf, 1)
	if c.Rate > 0 {
		limit = rate.NewLimiter(rate.Limit(c.Rate), max(c.Workers/4, 1))
	}
	client := &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTime}).DialContext,
		MaxIdleConnsPerHost: c.Workers,
	}}
	defer client.CloseIdleConnections()
	var g sync.WaitGroup
	var next sync.Mutex
	count := 0
	turn := func() (int, bool) {
		next.Lock()
		defer next.Unlock()
		count++
		return count - 1, c.Count == 0 || count <= c.Count
	}
	for w := range c.Workers {
		g.Go(func() {
			s := &sender{config: c, report: r, client: client, random: rand.New(rand.NewPCG(c.Seed, uint64(w)))}
			for {
				n, more := turn()
				if !more || limit.Wait(ctx) != nil || ctx.Err() != nil {
					return
				}
				s.send(n)
			}
		})
	}
	g.Wait()
	r.took = time.Since(r.began)
	return r
}
