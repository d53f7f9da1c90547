package serve

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"jacinthladder.dev/internal/forward/conns"
	"jacinthladder.dev/internal/forward/meta"
	"jacinthladder.dev/internal/forward/picker"
	"jacinthladder.dev/internal/forward/route"
)

const (
	// dialMost is the most endpoints that a request tries to connect to.
	dialMost = 5
	// silentLeast is the least time after which an endpoint that has not begun
	// to answer a repeatable request is given up.
	silentLeast = 150 * time.Millisecond
	// gapLeast is the least pause after which a stream that may be resumed goes
	// on at another endpoint.
	gapLeast = 900 * time.Millisecond
)

var (
	// errUnsent means that nothing has left for the endpoint.
	errUnsent = errors.New("serve: not connected")
	// errNotRun means that the endpoint said that it did not run the request.
	errNotRun = errors.New("serve: endpoint did not run the request")
	// errFailed means that the endpoint ran the request and failed.
	errFailed = errors.New("serve: endpoint failed the request")
	// errBroken means that no whole answer came.
	errBroken = errors.New("serve: no whole answer")
	// errSilent means that the endpoint did not answer in time.
	errSilent = errors.New("serve: endpoint is silent")
	// errCaller means that the caller is gone.
	errCaller = errors.New("serve: caller is gone")
)

// attempts sends the request to one endpoint after another until one gives the
// whole answer or no more may be tried.
func (x *exchange) attempts(ctx context.Context) error {
	for range dialMost {
		lease := x.choose(ctx)
		if lease == nil {
			return x.stuck(nil)
		}
		err := x.attempt(ctx, lease)
		lease.End(x.result(ctx, err), time.Now())
		x.log(lease, err)
		if err == nil || errors.Is(err, errCaller) || ctx.Err() != nil {
			return x.ending(ctx, err)
		}
		x.tried = append(x.tried, lease.Endpoint().ID)
		x.lastErr = err
		if !x.again(err) {
			return x.stuck(err)
		}
	}
	return x.stuck(x.lastErr)
}

func (x *exchange) choose(ctx context.Context) *picker.Pick {
	if ctx.Err() != nil {
		return nil
	}
	return x.Picker.Pick(picker.PickInfo{
		Service: x.service.Name, Request: &x.request, Bytes: len(x.body), Tried: x.tried,
	}, time.Now())
}

// again reports whether the request may go to another endpoint after an error.
func (x *exchange) again(err error) bool {
	if errors.Is(err, errUnsent) || errors.Is(err, errSilent) {
		return true // nothing left, or the retry is taken already
	}
	if x.sends >= x.route.MaxAttempts {
		return false
	}
	if !errors.Is(err, errNotRun) && !x.route.Repeatable() {
		return false
	}
	return x.Retries(x.service.Name).AllowRetry(time.Now())
}

// stuck returns the final answer when no endpoint is left to try.
func (x *exchange) stuck(err error) error {
	switch {
	case x.reply.failed != nil:
		return errFailed // an endpoint's own answer is passed on
	case x.ran:
		return refuse(NoResponse, "the request left and no whole answer came")
	case x.Picker.Available(x.service.Name) == 0:
		return refuse(NoCapacity, "no endpoint of the service is known").retry(x.comeBack())
	default:
		return refuse(NoCapacity, "no endpoint took the request").retry(x.comeBack())
	}
}

// ending returns the final answer when the request is answered or out of time.
func (x *exchange) ending(ctx context.Context, err error) error {
	switch {
	case err == nil, errors.Is(err, errCaller):
		return err
	case errors.Is(x.r.Context().Err(), context.Canceled):
		return errCaller
	case errors.Is(err, errFailed):
		return err
	case x.ran:
		return refuse(Timeout, "no whole answer came in time")
	default:
		return refuse(NoCapacity, "no endpoint took the request in time").retry(x.comeBack())
	}
}

// comeBack returns when a refused caller should return: spread, so that callers
// refused together don't, and within what it has left.
func (x *exchange) comeBack() time.Duration {
	left := time.Until(x.until)
	return max(min(left/4, time.Second)/2+rand.N(max(left/8, time.Millisecond)), 20*time.Millisecond)
}

// result says what an attempt tells of its endpoint.
func (x *exchange) result(ctx context.Context, err error) picker.Result {
	switch {
	case err == nil:
		return picker.Succeeded
	case errors.Is(err, errCaller), x.r.Context().Err() != nil:
		return picker.Canceled
	case errors.Is(err, errNotRun):
		return picker.Rejected
	case errors.Is(err, errFailed):
		return picker.Failed
	default:
		return picker.Incomplete
	}
}

func (x *exchange) log(l *picker.Pick, err error) {
	e := l.Endpoint()
	f := log.Fields{
		"request": x.request.ID, "route": x.route.Name, "version": x.table.Version(), "endpoint": e.ID,
		"zone": e.Zone, "cached": l.CachedTokens(), "send": x.sends, "ms": time.Since(x.begun).Milliseconds(),
	}
	if err == nil {
		x.Logger.WithFields(f).Info("send: answered")
		return
	}
	f["reason"] = err.Error()
	x.Logger.WithFields(f).Info("send: failed")
}

// attempt sends the request to one endpoint and relays the answer.
func (x *exchange) attempt(ctx context.Context, l *picker.Pick) error {
	e := l.Endpoint()
	conn, err := x.Pool.Get(ctx, e.Address, false)
	if err != nil {
		return errors.CombineErrors(errUnsent, err)
	}
	x.Metrics.connected(conn.Reused())
	stop := context.AfterFunc(ctx, conn.Close)
	keep := false
	defer func() {
		if stop() && keep {
			x.Pool.Put(conn)
			return
		}
		conn.Close()
	}()
	r := x.outgoing(e)
	x.sends++
	before := x.ran
	x.ran = true // until the endpoint says otherwise
	if err := conn.Send(r); err != nil {
		return errors.CombineErrors(errBroken, err)
	}
	keep, err = x.answer(ctx, l, conn, r)
	if errors.Is(err, errNotRun) {
		x.ran = before
	}
	return err
}

// outgoing returns the request as it goes to an endpoint.
func (x *exchange) outgoing(e picker.Endpoint) *conns.Request {
	h := x.r.Header.Clone()
	dropHop(h)
	s := meta.Outbound{Deadline: time.Until(x.until), Endpoint: e.ID, LastEventID: x.reply.lastID}
	if x.account != nil {
		s.Account = x.account.Name
	}
	x.Codec.EncodeRequest(h, s)
	r := &conns.Request{Method: x.r.Method, Target: x.r.RequestURI, Host: x.r.Host, Header: h, Body: x.body}
	h.Del("Content-Length")
	if x.sized || len(x.body) > 0 {
		h.Set("Content-Length", itoa(len(x.body)))
	}
	return r
}

// answer reads the answer and relays it. Keep says that the connection may serve
// the next request.
func (x *exchange) answer(ctx context.Context, l *picker.Pick, conn *conns.Conn, r *conns.Request) (keep bool, err error) {
	watch := x.patience(conn)
	defer watch.stop()
	resp, a, err := x.head(conn, r)
	if err != nil {
		return false, watch.blame(err)
	}
	conn.SetIdleTimeout(a.IdleTimeout)
	if a.NotRun {
		return x.drop(resp), errNotRun
	}
	if x.route.Kind == route.Stream && resp.StatusCode == http.StatusOK {
		err = x.reply.stream(ctx, l, resp, watch)
	} else {
		err = x.reply.whole(ctx, resp, watch)
	}
	return err == nil || errors.Is(err, errFailed), watch.blame(err)
}

// strangers is the most answers to other requests that are skipped.
const strangers = 3

// head reads the header of the answer to this request, past late answers to
// others.
func (x *exchange) head(conn *conns.Conn, r *conns.Request) (*http.Response, meta.Response, error) {
	for range strangers {
		resp, err := conn.ReadResponse(r)
		if err != nil {
			return nil, meta.Response{}, errors.CombineErrors(errBroken, err)
		}
		a := x.Codec.DecodeResponse(resp.StatusCode, resp.Header)
		if a.ID == x.request.ID || a.ID == "" && a.NotRun {
			return resp, a, nil
		}
		x.Logger.WithFields(log.Fields{"request": x.request.ID, "other": a.ID}).Warn("send: an answer to another request")
		if !x.drop(resp) {
			break
		}
	}
	return nil, meta.Response{}, errors.WithMessage(errBroken, "answers to other requests")
}

// hop lists the headers that concern one connection only.
var hop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect",
}

// dropHop removes the headers that concern one connection only.
func dropHop(h http.Header) {
	for _, v := range h.Values("Connection") {
		for _, name := range splitList(v) {
			if !slices.Contains(kept, http.CanonicalHeaderKey(name)) {
				h.Del(name)
			}
		}
	}
	for _, name := range hop {
		h.Del(name)
	}
}

// kept lists headers that Connection can't remove.
var kept = []string{"Host", "Content-Length", "Content-Type"}
