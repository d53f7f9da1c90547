package serve

import (
	"context"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"jacinthladder.dev/coord/escrow"
	"jacinthladder.dev/coord/retry"
	"jacinthladder.dev/internal/forward/conns"
	"jacinthladder.dev/internal/forward/meta"
	"jacinthladder.dev/internal/forward/picker"
	"jacinthladder.dev/internal/forward/prepay"
	"jacinthladder.dev/internal/forward/route"
)

const (
	// reserveTime is how long a request may wait for open reservations of its
	// budget to settle.
	reserveTime = 120 * time.Millisecond
	// defaultBody bounds a body while no configuration does.
	defaultBody = 4 << 20
	// defaultWait bounds a request that neither its route nor its caller bounds.
	defaultWait = time.Minute
	// unreadyTime is when callers are told to come back to an instance that has
	// no configuration yet.
	unreadyTime = 300 * time.Millisecond
)

// Server serves forwarded requests. Fill in the fields before use.
type Server struct {
	// Table returns the configuration in force, nil while there is none.
	Table    func() *route.Table
	Picker   *picker.Picker
	Pool     *conns.Pool
	Reserver *prepay.Reserver
	// Retries returns the bound on the retries of a service.
	Retries func(service string) *retry.Window
	Codec   meta.Codec
	Metrics *Metrics
	Logger  log.Interface

	open atomic.Int64
	work sync.WaitGroup
}

// InFlight returns the number of requests under way.
func (s *Server) InFlight() int64 { return s.open.Load() }

// Wait returns when no request is under way.
func (s *Server) Wait() { s.work.Wait() }

// exchange is one request on its way through the stages.
type exchange struct {
	*Server
	w       http.ResponseWriter
	r       *http.Request
	begun   time.Time
	table   *route.Table
	route   *route.Route
	account *route.Account
	service *route.Service
	request meta.Request
	body    []byte
	sized   bool
	hold    escrow.Hold
	held    bool
	used    int64     // tokens billed
	until   time.Time // when the request gets its final answer

	sends   int      // endpoints that it may have left for
	tried   []string // endpoints that are not to be chosen again
	ran     bool     // it may have run
	reply   *reply
	lastErr error
}

// ServeHTTP takes one request through the stages.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.work.Add(1)
	defer s.work.Done()
	s.open.Add(1)
	defer s.open.Add(-1)
	x := &exchange{Server: s, w: w, r: r, begun: time.Now()}
	x.reply = newReply(x)
	err := x.accept()
	if err == nil {
		err = x.serve()
	}
	x.finish(err)
}

// accept reads the request and finds its route and account.
func (x *exchange) accept() error {
	x.table = x.Table()
	if x.table == nil {
		return refuse(NoConfig, "this instance has no configuration yet").retry(unreadyTime)
	}
	limits := x.table.Limits()
	if limits.MaxHeader > 0 && headerSize(x.r) > limits.MaxHeader {
		return refuse(HeaderTooLarge, "the header is longer than %d bytes", limits.MaxHeader)
	}
	request, err := x.Codec.DecodeRequest(x.r.Header)
	x.request = request
	if err != nil {
		return refuse(BadRequest, "%s", err)
	}
	if err := x.match(); err != nil {
		return err
	}
	if err := x.read(limits.MaxBody); err != nil {
		return err
	}
	// The configuration may have changed while the body came in.
	if t := x.Table(); t != x.table {
		x.table = t
		return x.match()
	}
	return nil
}

// match finds the route, the account and the service.
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
		return refuse(NoCapacity, "route %s leads to a service that is not configured", x.route.Name).retry(unreadyTime)
	}
	wait := x.route.Timeout
	if d := x.request.Deadline; d > 0 && (wait == 0 || d < wait) {
		wait = d
	}
	if wait <= 0 {
		wait = defaultWait
	}
	x.until = x.begun.Add(wait)
	return nil
}

// read takes in the whole body.
func (x *exchange) read(most int64) error {
	if most <= 0 {
		most = defaultBody
	}
	if x.r.ContentLength > most {
		return refuse(BodyTooLarge, "the body is longer than %d bytes", most)
	}
	if err := x.reply.control.SetReadDeadline(x.until); err != nil {
		return errCaller
	}
	body, err := io.ReadAll(io.LimitReader(x.r.Body, most+1))
	if err := x.reply.control.SetReadDeadline(time.Time{}); err != nil {
		return errCaller
	}
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refuse(BodyTooSlow, "the body did not come in time")
	case err != nil:
		return refuse(BadRequest, "the body broke off")
	case int64(len(body)) > most:
		return refuse(BodyTooLarge, "the body is longer than %d bytes", most)
	}
	x.body = body
	x.sized = x.r.ContentLength >= 0 && x.r.Header.Get("Content-Length") != "" || len(x.r.TransferEncoding) > 0
	return nil
}

// serve reserves, sends and relays.
func (x *exchange) serve() error {
	ctx, cancel := context.WithDeadline(x.context(), x.until)
	defer cancel()
	if err := x.reserve(ctx); err != nil {
		return err
	}
	defer x.settle()
	x.Retries(x.service.Name).AddRequest(time.Now())
	return x.attempts(ctx)
}

// context returns what ends when the caller leaves. A request that must not run
// twice and can't be taken back runs to its end.
func (x *exchange) context() context.Context {
	if x.route.Kind == route.AtMostOnce {
		return context.WithoutCancel(x.r.Context())
	}
	return x.r.Context()
}

// reserve sets aside the most that the request can consume.
func (x *exchange) reserve(ctx context.Context) error {
	bound := x.request.MaxTokens()
	if x.account == nil || !x.account.Metered || bound == 0 {
		return nil
	}
	hold, err := x.Reserver.Reserve(ctx, x.account, bound, x.rank(), reserveTime)
	if err == nil {
		x.hold, x.held = hold, true
		return nil
	}
	f := x.Reserver.Stats(x.account)
	free, age := f.Free()
	x.Logger.WithFields(log.Fields{
		"request": x.request.ID, "account": x.account.Name, "bound": bound, "version": x.table.Version(), "reason": err.Error(),
		"idle": f.Idle(), "reserved": f.Reserved(), "used": f.Used(), "rate": int64(f.Rate()), "free": free, "age": age.Milliseconds(),
		"prepaid": x.account.Prepaid, "home": x.Reserver.Home(x.account),
	}).Info("budget: refused")
	switch {
	case errors.Is(err, escrow.ErrExhausted):
		return refuse(BudgetExhausted, "the balance of %s does not cover the request", x.account.Name)
	case errors.Is(err, escrow.ErrAmount):
		return refuse(BadRequest, "the tokens asked for are out of range")
	default:
		return refuse(BudgetUnreachable, "this instance's part of the balance is used up and more is out of reach").retry(x.comeBack())
	}
}

// rank returns the priority of the request, 0 first.
func (x *exchange) rank() int {
	if x.account != nil && x.account.HasPriority {
		return x.account.Priority
	}
	return x.route.Priority
}

// settle ends the reservation at what the request has consumed.
func (x *exchange) settle() {
	if !x.held {
		return
	}
	var used int64
	if x.ran {
		used = x.request.PromptTokens + x.reply.events*x.stride()
	}
	x.used = x.hold.Settle(used)
	x.Metrics.spent(x.service.Name, x.used)
}

func (x *exchange) stride() int64 {
	if x.service.Engine == nil {
		return 1
	}
	return max(x.service.Engine.TokensPerEvent, 1)
}

// headerSize returns about as many bytes as the header took on the wire.
func headerSize(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(" HTTP/1.1\r\n ") + len("Host: \r\n") + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + len(": \r\n")
		}
	}
	return size
}
