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

// Caller is a client account that sends requests to a model, a plain service or both.
// If it has both, a random quarter of its requests goes to the plain service and the
// rest to the model.
type Caller struct {
	Account string
	Key     string // bearer key of the account
	Model   string // model to call, empty for none
	Service string // plain service to call, empty for none
	Path    string // path of the calls to the plain service
}

// Config holds the settings of a load. Request n goes to target n modulo the number of
// targets, from a random caller.
type Config struct {
	Targets        []string // base addresses of routers, or of engine stand-ins if Direct is set
	Callers        []Caller
	Count          int           // requests to send, 0 for no limit
	Duration       time.Duration // time in which requests are started; Run then waits for those in flight
	Rate           float64       // requests per second; if it is 0, only Workers limits the rate
	Workers        int           // maximum number of requests in flight
	StreamFraction float64       // fraction of the model calls whose response is streamed
	Tokens         int64         // max_tokens of each model call
	SystemMessages int           // number of different system messages; each model call has a random one of them
	Direct         bool          // the targets are engine stand-ins; every model call is streamed then
	Check          bool          // compare every response with the expected one; requires stand-ins as engines and services
	Seed           uint64        // seed of the random choices

	// MaxCost returns the maximum cost of a request. Cost returns the cost of an
	// answered request from its token counts: all input tokens, those of them that
	// were cached, and the output tokens. Both are in micro-units. They are required
	// with a Ledger and unused without it.
	MaxCost func(r *http.Request, body []byte) (int64, error)
	Cost    func(r *http.Request, body []byte, input, cached, output int64) int64

	// Ledger decides which refusals for lack of budget are false: those of requests
	// that it could have paid for. If it is nil, false refusals are not counted.
	Ledger *Ledger
}

// dialTimeout is the longest time that a connection to a target may take to open.
const dialTimeout = 5 * time.Second

// Run sends the requests of a load and returns a report of the responses. It starts no
// request once c.Duration has passed or ctx is done, and then waits for the requests in
// flight.
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
