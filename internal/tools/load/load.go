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

// Caller is a client account that sends requests. If it has both a model and a
// service, a quarter of its requests, at random, goes to the service.
type Caller struct {
	Account string
	Key     string
	Model   string // model to call, empty for none
	Service string // plain service to call, empty for none
	Path    string // path of the calls to the plain service
}

// Config holds the settings of a load. Requests go to the targets in turn.
type Config struct {
	Targets        []string // base addresses
	Callers        []Caller
	Count          int           // requests to send, 0 for no limit
	Duration       time.Duration // how long to send
	Rate           float64       // requests per second, 0 for no limit except Workers
	Workers        int           // requests in flight at most
	StreamFraction float64       // fraction of the model calls that stream
	Tokens         int64         // max_tokens
	SystemMessages int           // number of different system messages
	Direct         bool          // the targets are engine stand-ins, not routers
	Check          bool          // compare every response; requires stand-ins as engines and services
	Seed           uint64

	// MaxCost returns the maximum cost of a request and Cost the cost of an answered
	// one. Both are required with a Ledger and unused without it.
	MaxCost func(r *http.Request, body []byte) (int64, error)
	Cost    func(r *http.Request, body []byte, input, cached, output int64) int64

	// Ledger is the central ledger by which false refusals are counted. If it is
	// nil, they are not counted.
	Ledger *Ledger
}

// dialTimeout limits how long a connection may take to open.
const dialTimeout = 5 * time.Second

// Run sends the load and returns a report of the responses. It starts no request
// after c.Duration, or after ctx is done, and waits for those in flight.
func Run(ctx context.Context, c Config) *Report {
	ctx, cancel := context.WithTimeout(ctx, c.Duration)
	defer cancel()
	r := newReport()
	limiter := rate.NewLimiter(rate.Inf, 1)
	if c.Rate > 0 {
		limiter = rate.NewLimiter(rate.Limit(c.Rate), max(c.Workers/4, 1))
	}
	client := &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: c.Workers,
	}}
	defer client.CloseIdleConnections()
	var wg sync.WaitGroup
	var mu sync.Mutex
	count := 0
	nextRequest := func() (int, bool) {
		mu.Lock()
		defer mu.Unlock()
		count++
		return count - 1, c.Count == 0 || count <= c.Count
	}
	for w := range c.Workers {
		wg.Go(func() {
			s := &sender{config: c, report: r, client: client, random: rand.New(rand.NewPCG(c.Seed, uint64(w)))}
			for {
				n, more := nextRequest()
				if !more || limiter.Wait(ctx) != nil || ctx.Err() != nil {
					return
				}
				s.send(n)
			}
		})
	}
	wg.Wait()
	r.elapsed = time.Since(r.start)
	return r
}
