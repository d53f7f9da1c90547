package send

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"jacinthladder.dev/internal/entry/call"
	"jacinthladder.dev/internal/entry/price"
	"jacinthladder.dev/internal/fleet/memory"
	"jacinthladder.dev/internal/fleet/socket"
)

var (
	// ErrNotAccepted means that the endpoint provably did not accept the request.
	ErrNotAccepted = errors.New("send: endpoint did not accept the request")
	// ErrLeaving means that the endpoint is leaving the fleet and did not accept the
	// request.
	ErrLeaving = errors.New("send: endpoint is leaving")
	// ErrBroken means that the connection broke or the response was not valid. The
	// request may have run.
	ErrBroken = errors.New("send: connection broken or response invalid")
	// ErrStalled means that no data of the response arrived within the service's stall
	// time-out. The request may have run.
	ErrStalled = errors.New("send: no data within the stall time-out")
	// ErrNoStream means that the engine has no stream with the call's request ID.
	ErrNoStream = errors.New("send: stream not found")
	// ErrStreamExists means that the engine already has a stream with the call's
	// request ID.
	ErrStreamExists = errors.New("send: stream ID already exists")
	// ErrRejected means that the engine rejected the request as invalid.
	ErrRejected = errors.New("send: endpoint rejected the request")
)

const (
	// streamHeader tells an engine the ID of the stream that it starts.
	streamHeader = "Stream-Id"
	// priorityHeader tells an engine the priority of the call.
	priorityHeader = "Stream-Rank"
	// requestHeader tells a plain service the request ID of the call.
	requestHeader = "Request-Id"
	// leavingHeader has the value "true" in a response with which an endpoint rejects
	// a request because it is leaving.
	leavingHeader = "Endpoint-Leaving"

	// dialTimeout limits the time to open a connection to an endpoint.
	dialTimeout = time.Second
	// idleTimeout is the time after which an idle connection to an endpoint is closed.
	idleTimeout = 30 * time.Second
	// maxIdleConns is the maximum number of idle connections that are kept open to one
	// endpoint.
	maxIdleConns = 256
	// MaxResponse is the maximum size of the response body of a plain service, in
	// bytes. A larger response is reported as ErrBroken.
	MaxResponse = 16 << 20
	// unknownLength is the length of a response's body for memory.ReadAll, as that of a response to HEAD is not
	// the one that its header states.
	unknownLength = -1
	// responseCopies is how often the body of a plain service's response is copied on its way to the caller.
	responseCopies = 3
	// MaxResponseHeader is the maximum size of the header of an endpoint's response, in bytes.
	MaxResponseHeader = 64 << 10
)

// Sender sends requests to endpoints over HTTP. Make one with NewSender.
type Sender struct {
	pooled   *http.Client // reuses idle connections, only to endpoints that are in echoes
	unpooled *http.Client // opens a new connection for each request
	echoes   echoes
}

// NewSender returns a sender with no open connections.
func NewSender() *Sender {
	d := socket.Dialer()
	d.Timeout = dialTimeout
	dial := d.DialContext
	return &Sender{
		pooled: &http.Client{Transport: &http.Transport{
			DialContext: dial, MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: idleTimeout, DisableCompression: true,
			MaxResponseHeaderBytes: MaxResponseHeader, ReadBufferSize: bufferSize, WriteBufferSize: bufferSize,
		}},
		unpooled: &http.Client{Transport: &http.Transport{
			DialContext: dial, DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: MaxResponseHeader,
		}},
	}
}

// Close closes the idle connections to endpoints. Requests in flight continue.
func (s *Sender) Close() {
	s.pooled.CloseIdleConnections()
	s.unpooled.CloseIdleConnections()
}

// Start starts a run of the call at the engine with the URL base and returns its stream.
// The call's ID becomes the ID of the stream.
func (s *Sender) Start(ctx context.Context, base string, c *call.Call) (*Stream, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/chat/completions", bytes.NewReader(c.Chat().Body))
	if err != nil {
		return nil, errors.Wrap(err, "send: create request that starts a stream")
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(streamHeader, c.ID())
	r.Header.Set(priorityHeader, strconv.Itoa(c.Priority()))
	return s.openStream(r, c, func(r *http.Request) (*http.Response, error) { return s.do(r, base, streamHeader) })
}

// Resume opens the stream of a call again at the engine with the URL base, on a new
// connection. The returned stream starts with the chunk at offset.
func (s *Sender) Resume(ctx context.Context, base string, c *call.Call, offset int) (*Stream, error) {
	target := base + "/v1/streams/" + url.PathEscape(c.ID()) + "?offset=" + strconv.Itoa(offset)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, errors.Wrap(err, "send: create request that resumes a stream")
	}
	return s.openStream(r, c, s.unpooled.Do)
}

// Cancel stops the stream with the given ID at the engine with the URL base, and
// returns the usage of its run. ErrNoStream means that the engine has no such stream:
// it never ran there, or it ended and the engine has removed it.
func (s *Sender) Cancel(ctx context.Context, base, id string) (price.Usage, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodDelete, base+"/v1/streams/"+url.PathEscape(id), nil)
	if err != nil {
		return price.Usage{}, errors.Wrap(err, "send: create request that cancels a stream")
	}
	resp, err := s.unpooled.Do(r)
	if err != nil {
		return price.Usage{}, errors.Mark(err, ErrBroken)
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return price.Usage{}, ErrNoStream
	default:
		return price.Usage{}, errors.Wrapf(ErrBroken, "engine returned status %d", resp.StatusCode)
	}
	var u usageFields
	if err := json.NewDecoder(resp.Body).Decode(&u); err != nil {
		return price.Usage{}, errors.Mark(err, ErrBroken)
	}
	return u.usage(), nil
}

// openStream sends r by the function do and checks the status of the response. The request
// r starts or resumes the stream of the call c.
func (s *Sender) openStream(r *http.Request, c *call.Call, do func(*http.Request) (*http.Response, error)) (*Stream, error) {
	ctx, cancel := context.WithCancelCause(r.Context())
	watchdog := newWatchdog(c.Service().StallTimeout(), cancel)
	tracker := newConnTracker()
	resp, err := do(r.WithContext(tracker.trace(ctx)))
	if err != nil {
		watchdog.stop()
		err = tracker.classify(ctx, err)
		cancel(nil)
		return nil, err
	}
	if err := checkStatus(resp); err != nil {
		watchdog.stop()
		cancel(nil)
		return nil, errors.CombineErrors(err, resp.Body.Close())
	}
	return &Stream{id: c.ID(), body: resp.Body, ctx: ctx, cancel: cancel, watchdog: watchdog}, nil
}

// checkStatus returns the error that the status and the headers of an engine's
// response stand for, or nil for status 200.
func checkStatus(resp *http.Response) error {
	switch {
	case resp.StatusCode == http.StatusOK:
		return nil
	case resp.Header.Get(leavingHeader) == "true":
		return ErrLeaving
	case resp.StatusCode == http.StatusNotFound:
		return ErrNoStream
	case resp.StatusCode == http.StatusConflict:
		return ErrStreamExists
	case resp.StatusCode == http.StatusServiceUnavailable, resp.StatusCode == http.StatusTooManyRequests:
		return ErrNotAccepted
	case resp.StatusCode >= http.StatusBadRequest && resp.StatusCode < http.StatusInternalServerError:
		return errors.Wrapf(ErrRejected, "engine returned status %d", resp.StatusCode)
	default:
		return errors.Wrapf(ErrBroken, "engine returned status %d", resp.StatusCode)
	}
}

// Response holds the HTTP status, the media type and the body of a plain service's
// response to a call.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

// Call sends the call c of a plain service to the endpoint with the URL base, and
// returns the response. ErrNotAccepted and ErrLeaving mean that the call did not run.
// Any other error means that the call may have run.
func (s *Sender) Call(ctx context.Context, base string, c *call.Call) (Response, error) {
	p := c.Plain()
	tracker := newConnTracker()
	r, err := http.NewRequestWithContext(tracker.trace(ctx), p.Method, base+p.Path, bytes.NewReader(p.Body))
	if err != nil {
		return Response{}, errors.Mark(err, ErrNotAccepted)
	}
	r.Header.Set(requestHeader, c.ID())
	if p.ContentType != "" {
		r.Header.Set("Content-Type", p.ContentType)
	}
	do := s.unpooled.Do
	if c.Retryable() {
		do = func(r *http.Request) (*http.Response, error) { return s.do(r, base, requestHeader) }
	}
	resp, err := do(r)
	if err != nil {
		return Response{}, tracker.classify(ctx, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(leavingHeader) == "true" {
		return Response{}, ErrLeaving
	}
	if resp.StatusCode < http.StatusContinue {
		return Response{}, errors.Wrapf(ErrBroken, "response of the plain service has the status %03d, which is none", resp.StatusCode)
	}
	reserved := memory.From(ctx)
	body, err := memory.ReadAll(resp.Body, reserved, unknownLength, MaxResponse)
	if errors.Is(err, memory.ErrTooLarge) {
		return Response{}, errors.Wrapf(ErrBroken, "response of the plain service is larger than %d bytes", MaxResponse)
	}
	if err != nil {
		return Response{}, errors.Mark(err, ErrBroken)
	}
	if endsByClose(resp) && !tracker.uploaded() {
		return Response{}, errors.Wrap(ErrBroken, "connection ended before the request was written")
	}
	if !reserved.Grow(int64(responseCopies * len(body))) {
		return Response{}, errors.Mark(memory.ErrNoRoom, ErrBroken)
	}
	return Response{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}

// uploadTimeout is how long the end of a write is waited for after an endpoint has closed its connection.
const uploadTimeout = 200 * time.Millisecond

// endsByClose reports whether the body of a response ends with its connection.
func endsByClose(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
}

// connTracker records whether the HTTP client got a connection for a request, and whether it has written the
// request. Without a connection the request was not sent.
type connTracker struct {
	connected atomic.Bool
	written   chan error // receives the result of the write
}

func newConnTracker() *connTracker { return &connTracker{written: make(chan error, 1)} }

// trace returns a context for the request to be tracked. It is derived from ctx.
func (t *connTracker) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) {
			t.connected.Store(true)
			select {
			case <-t.written: // of a connection that the client has given up
			default:
			}
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			select {
			case t.written <- info.Err:
			default:
			}
		},
	})
}

// uploaded reports whether the request was written to its end. If a response ended with its connection before
// that, it may have been broken off by a reset, which the system reports only once, to whoever reads or writes first.
func (t *connTracker) uploaded() bool {
	select {
	case err := <-t.written:
		return err == nil
	case <-time.After(uploadTimeout):
		return false
	}
}

// classify marks the error err of a failed request. If the request got no connection,
// it was not sent, and the mark is ErrNotAccepted. If ctx, the context of the request,
// ended with the cause ErrStalled, the mark is ErrStalled. Otherwise it is ErrBroken.
func (t *connTracker) classify(ctx context.Context, err error) error {
	switch {
	case !t.connected.Load():
		return errors.Mark(err, ErrNotAccepted)
	case errors.Is(context.Cause(ctx), ErrStalled):
		return errors.Mark(err, ErrStalled)
	default:
		return errors.Mark(err, ErrBroken)
	}
}
