package serve

import (
	"context"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"jacinthladder.dev/coord/escrow"
	"jacinthladder.dev/coord/retry"
	"jacinthladder.dev/internal/fleet/caller"
	"jacinthladder.dev/internal/fleet/memory"
	"jacinthladder.dev/internal/forward/conns"
	"jacinthladder.dev/internal/forward/meta"
	"jacinthladder.dev/internal/forward/origin"
	"jacinthladder.dev/internal/forward/picker"
	"jacinthladder.dev/internal/forward/poison"
	"jacinthladder.dev/internal/forward/prepay"
	"jacinthladder.dev/internal/forward/route"
)

const (
	// reserveTimeout bounds the time that a request waits for tokens of its
	// account's budget. For example, it may wait until other requests settle their
	// reservations.
	reserveTimeout = 120 * time.Millisecond
	// defaultMaxBody is the largest body of a request, in bytes, if the
	// configuration sets no bound.
	defaultMaxBody = 4 << 20
	// defaultTimeout bounds the time from the arrival of a request to the end of its
	// response if neither its route nor its caller sets a bound.
	defaultTimeout = time.Minute
	// requestBytes is what a request takes of the memory of the process beside its head, its body and what
	// is kept of its response: its connection to an endpoint, and buffers.
	requestBytes = 48 << 10
	// minFullRetryAfter and fullRetrySpread give the time after which a caller is told to retry if there is
	// no room for its request in the memory of the process.
	minFullRetryAfter = 200 * time.Millisecond
	fullRetrySpread   = 300 * time.Millisecond
	// maxRequestID is the length of the longest ID of a request, in bytes.
	maxRequestID = 128
	// configRetryAfter is the time after which a caller is told to retry if this
	// instance has no configuration yet, or if the service of the route is not
	// configured.
	configRetryAfter = 300 * time.Millisecond
)

// Server is the HTTP handler that forwards requests to endpoints. Set the exported
// fields before use.
type Server struct {
	// Table returns the configuration in force, or nil if this instance has none yet.
	Table  func() *route.Table
	Picker *picker.Picker
	Poison *poison.Tracker // nil blocks nothing
	// Permit, if set, gets a permit for one request to an endpoint that takes only a number of
	// requests per second from all instances. It returns 0 if there is one, and otherwise
	// the time after which to ask again.
	Permit func(ctx context.Context, key string, perSecond float64) time.Duration
	// Origins, if set, knows which software version began each stream.
	Origins  *origin.Register
	Pool     *conns.Pool
	Reserver *prepay.Reserver
	// Retries returns the window that counts the requests to a service and limits
	// their retries.
	Retries func(service string) *retry.Window
	Codec   meta.Codec
	// RegistryAge, if set, returns the time since the platform's registry of endpoints last
	// responded to this instance, for the log.
	RegistryAge func() time.Duration
	// ConfirmedAt returns when that registry last confirmed what this instance knows of endpoints, and
	// RegistryLive reports whether it hears of each change. If RegistryLive is nil, it does.
	ConfirmedAt  func() time.Time
	RegistryLive func() bool
	// Reports, if set, asks an endpoint itself while that registry is out of reach.
	Reports Reports
	// OutOfStep, if set, reports whether the process has stood still since that registry was last
	// confirmed, so that others may have taken the place of endpoints.
	OutOfStep func() bool
	Metrics   *Metrics
	Logger    log.Interface

	inFlight   atomic.Int64
	goneChecks atomic.Int64   // checks of ifGone in progress
	requests   sync.WaitGroup // requests and checks in progress
	stopping   stopping
	spaceTaken atomic.Int64 // by all requests, see space
}

// InFlight returns the number of requests that have arrived and have not ended.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// Wait blocks until all requests that have arrived, and the checks that they began, have ended.
func (s *Server) Wait() { s.requests.Wait() }

// exchange is the state of one request from its arrival to the end of its response.
type exchange struct {
	*Server
	w            http.ResponseWriter
	r            *http.Request
	startedAt    time.Time
	table        *route.Table // configuration that applies to the request
	route        *route.Route
	account      *route.Account // nil if the request has no known API key
	service      *route.Service
	request      meta.Request // metadata of the request
	body         []byte       // body of the request, read completely
	declaresBody bool         // the caller declares a body by Content-Length or Transfer-Encoding
	hold         escrow.Hold  // reservation of the request's tokens, if hasHold
	hasHold      bool
	digestText   string    // result of digest, empty before its first call
	billedTokens int64     // tokens spent by the request, set when the reservation is settled
	deadline     time.Time // time by which the response must be complete

	attempts      int                 // number of endpoints to which the request, or a part of it, may have been sent
	tried         []string            // IDs of the endpoints that were tried and are not picked again
	addresses     []string            // addresses of these endpoints, and of the present one
	mayHaveRun    bool                // the request may have run at an endpoint
	relay         *relay              // writes the response to the caller
	lastErr       error               // error of the last failed attempt
	sentAt        time.Time           // when the current attempt was sent, zero before
	version       string              // software version of the endpoint that began the stream, empty before the first event
	relayed       bool                // the current attempt goes by way of a peer
	openedAt      time.Time           // when the connection of the current attempt was opened
	unconfirmed   bool                // the stream has begun, and it is not sure yet at which endpoint
	originUnknown atomic.Bool         // the stream has begun at an endpoint whose version is in doubt
	sentFrom      string              // ID of the event after which the current attempt resumes the stream, empty if it begins one
	received      receipt             // describes the response of the current attempt
	room          *memory.Reservation // for what the request makes this process hold
	space         space               // for what is kept of incomplete responses
}

// ServeHTTP forwards one request to an endpoint and relays the response, or sends a
// refusal.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.requests.Add(1)
	defer s.requests.Done()
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	room := memory.From(r.Context())
	x := &exchange{Server: s, w: w, r: r, startedAt: time.Now(), room: room, space: space{shared: &s.spaceTaken, reserved: room}}
	defer x.space.release()
	x.relay = newRelay(x)
	err := x.accept()
	if err == nil {
		err = x.serve()
	}
	x.finish(err)
}

// accept reads the request and finds its route, account and service in the
// configuration. If the request is not accepted, it returns the final error, which
// is a refusal or errCallerGone.
func (x *exchange) accept() error {
	x.table = x.Table()
	if x.table == nil {
		return refuse(NoConfig, "this instance has no configuration yet").withRetryAfter(configRetryAfter)
	}
	limits := x.table.Limits()
	if limits.MaxHeader > 0 && headerSize(x.r) > limits.MaxHeader {
		return refuse(HeaderTooLarge, "the header is longer than %d bytes", limits.MaxHeader)
	}
	request, err := x.Codec.DecodeRequest(x.r.Header)
	if len(request.ID) > maxRequestID {
		return refuse(BadRequest, "the ID of the request is longer than %d bytes", maxRequestID)
	}
	x.request = request
	if err != nil {
		return refuse(BadRequest, "%s", err)
	}
	if err := x.match(); err != nil {
		return err
	}
	if !x.room.Grow(requestBytes) {
		return refuseFull()
	}
	if err := x.readBody(limits.MaxBody); err != nil {
		return err
	}
	// The configuration may have changed while the body was read.
	if t := x.Table(); t != x.table {
		x.table = t
		if err := x.match(); err != nil {
			return err
		}
	}
	return x.checkStop()
}

// match finds the route, the account and the service of the request in the
// configuration, and sets the deadline of the request. It is called again if the
// configuration changes while the body is read.
func (x *exchange) match() error {
	x.route = x.table.Match(x.r.Host, x.r.URL.EscapedPath())
	if x.route == nil {
		return refuse(UnknownRoute, "no route for this host and path")
	}
	if x.table.HasAccounts() {
		x.account = x.table.AccountByKey(x.request.Key)
		if x.account == nil && !x.route.Anonymous {
			return refuse(UnknownKey, "the key is not known")
		}
	}
	x.service = x.table.Service(x.route.PickService())
	if x.service == nil {
		return refuse(NoCapacity, "route %s leads to a service that is not configured", x.route.Name).withRetryAfter(configRetryAfter)
	}
	timeout := x.route.Timeout
	if d := x.request.Deadline; d > 0 && (timeout == 0 || d < timeout) {
		timeout = d
	}
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	x.deadline = x.startedAt.Add(timeout)
	return nil
}

// readBody reads the whole body of the request into memory. Limit is the largest
// allowed body in bytes; 0 means defaultMaxBody. A body that is longer, or that is
// not complete at the deadline of the request, is refused.
func (x *exchange) readBody(limit int64) error {
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if err := x.relay.control.SetReadDeadline(x.deadline); err != nil {
		return errCallerGone
	}
	body, err := caller.ReadBody(x.w, x.r, limit)
	if err := x.relay.control.SetReadDeadline(time.Time{}); err != nil {
		return errCallerGone
	}
	switch {
	case errors.Is(err, memory.ErrTooLarge):
		return refuse(BodyTooLarge, "the body is longer than %d bytes", limit)
	case errors.Is(err, memory.ErrNoRoom):
		return refuseFull()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refuse(BodyTooSlow, "the body did not come in time")
	case err != nil:
		return refuse(BadRequest, "the body broke off")
	}
	x.body = body
	x.declaresBody = x.r.ContentLength >= 0 && x.r.Header.Get("Content-Length") != "" || len(x.r.TransferEncoding) > 0
	return nil
}

// refuseFull returns the refusal of a request for which there is no room in the memory of the process.
func refuseFull() *Refusal {
	return refuse(Full, "there is no room for the request now").withRetryAfter(minFullRetryAfter + rand.N(fullRetrySpread))
}

// serve finds out which version began a stream that is resumed, reserves the tokens of the request, sends the request to endpoints, relays
// the response and settles the reservation.
func (x *exchange) serve() error {
	ctx, cancel := context.WithDeadline(x.context(), x.deadline)
	defer cancel()
	defer context.AfterFunc(x.abandoned(), cancel)()
	x.awaitStep(ctx)
	if err := x.findOrigin(ctx); err != nil {
		return err
	}
	if err := x.reserve(ctx); err != nil {
		return err
	}
	defer x.settle()
	x.Retries(x.service.Name).AddRequest(time.Now())
	return x.tryEndpoints(ctx)
}

// context returns the context in which the request is served. It ends when the
// caller disconnects, with one exception: a request of an AtMostOnce route cannot be
// withdrawn, and its context does not end with the connection.
func (x *exchange) context() context.Context {
	if x.route.Kind == route.AtMostOnce {
		return context.WithoutCancel(x.r.Context())
	}
	return x.r.Context()
}

// reserve reserves the largest number of tokens that the request can consume. It
// reserves nothing if the request has no metered account or cannot consume tokens.
// If the tokens cannot be reserved, it returns a refusal.
func (x *exchange) reserve(ctx context.Context) error {
	maxTokens := x.request.MaxTokens()
	if x.account == nil || !x.account.Metered || maxTokens == 0 {
		return nil
	}
	hold, err := x.Reserver.Reserve(ctx, x.account, maxTokens, x.priority(), reserveTimeout)
	if err == nil {
		x.hold, x.hasHold = hold, true
		return nil
	}
	stats := x.Reserver.Stats(x.account)
	free, age := stats.Free()
	x.Logger.WithFields(log.Fields{
		"request": x.request.ID, "account": x.account.Name, "bound": maxTokens, "version": x.table.Version(), "reason": err.Error(),
		"idle": stats.Idle(), "reserved": stats.Reserved(), "used": stats.Used(), "rate": int64(stats.Rate()), "free": free, "age": age.Milliseconds(),
		"prepaid": x.account.Prepaid, "home": x.Reserver.Home(x.account),
	}).Info("budget: refused")
	switch {
	case errors.Is(err, escrow.ErrExhausted):
		return refuse(BudgetExhausted, "the balance of %s does not cover the request", x.account.Name)
	case errors.Is(err, escrow.ErrAmount):
		return refuse(BadRequest, "the tokens asked for are out of range")
	default:
		return refuse(BudgetUnreachable, "this instance's part of the balance is used up and more is out of reach").withRetryAfter(x.retryAfter())
	}
}

// priority returns the priority of the request: that of its account if the account
// has one, or else that of its route. 0 is served first.
func (x *exchange) priority() int {
	if x.account != nil && x.account.HasPriority {
		return x.account.Priority
	}
	return x.route.Priority
}

// settle settles the reservation with the tokens that the request has consumed.
// These are the prompt tokens and the tokens of the complete events in the response
// stream. A request that cannot have run has consumed no tokens.
func (x *exchange) settle() {
	if !x.hasHold {
		return
	}
	var used int64
	if x.mayHaveRun {
		used = x.request.PromptTokens + x.relay.events*x.tokensPerEvent()
	}
	x.billedTokens = x.hold.Settle(used)
	x.Metrics.tokensSpent(x.service.Name, x.billedTokens)
}

// tokensPerEvent returns the number of tokens that each event of the response stream
// counts for, at least 1.
func (x *exchange) tokensPerEvent() int64 {
	if x.service.Engine == nil {
		return 1
	}
	return max(x.service.Engine.TokensPerEvent, 1)
}

// headerSize returns the approximate size, in bytes, of the request line and the
// headers on the wire.
func headerSize(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(" HTTP/1.1\r\n ") + len("Host: \r\n") + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + len(": \r\n")
		}
	}
	return size
}
