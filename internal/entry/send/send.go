package send

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"jacinthladder.dev/internal/entry/call"
	"jacinthladder.dev/internal/entry/price"
)

var (
	// ErrNotAccepted means that the endpoint provably did not accept the request.
	ErrNotAccepted = errors.New("send: endpoint did not accept the request")
	// ErrLeaving means that the endpoint is leaving and did not accept the request.
	ErrLeaving = errors.New("send: endpoint is leaving")
	// ErrBroken means that the connection broke or the response was not valid.
	ErrBroken = errors.New("send: connection broken or response invalid")
	// ErrStalled means that no data arrived within the stall time-out.
	ErrStalled = errors.New("send: no data within the stall time-out")
	// ErrNoStream means that the engine does not know the stream.
	ErrNoStream = errors.New("send: stream not found")
	// ErrStreamExists means that the engine already has a stream with this ID.
	ErrStreamExists = errors.New("send: stream ID already exists")
	// ErrRejected means that the engine rejected the request as invalid.
	ErrRejected = errors.New("send: endpoint rejected the request")
)

const (
	streamHeader   = "Stream-Id"
	priorityHeader = "Stream-Rank"
	requestHeader  = "Request-Id"
	leavingHeader  = "Endpoint-Leaving"

	// dialTimeout limits the opening of a connection.
	dialTimeout = time.Second
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = 30 * time.Second
	// maxIdleConns is the maximum number of idle connections to one endpoint.
	maxIdleConns = 256
	// MaxResponse is the maximum size of a plain service's response, in bytes.
	MaxResponse = 16 << 20
)

// Sender sends requests to endpoints. Make one with NewSender.
type Sender struct {
	pooled   *http.Client // reuses connections
	unpooled *http.Client // opens a connection for each request
}

// NewSender returns a sender with no open connections.
func NewSender() *Sender {
	dial := (&net.Dialer{Timeout: dialTimeout}).DialContext
	return &Sender{
		pooled: &http.Client{Transport: &http.Transport{
			DialContext: dial, MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: idleTimeout, DisableCompression: true,
			ReadBufferSize: bufferSize, WriteBufferSize: bufferSize,
		}},
		unpooled: &http.Client{Transport: &http.Transport{
			DialContext: dial, DisableKeepAlives: true, DisableCompression: true,
		}},
	}
}

// Close closes the idle connections.
func (s *Sender) Close() {
	s.pooled.CloseIdleConnections()
	s.unpooled.CloseIdleConnections()
}

// Start starts a stream with the call's ID at an engine.
func (s *Sender) Start(ctx context.Context, base string, c *call.Call) (*Stream, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/chat/completions", bytes.NewReader(c.Chat().Body))
	if err != nil {
		return nil, errors.Wrap(err, "send")
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(streamHeader, c.ID())
	r.Header.Set(priorityHeader, strconv.Itoa(c.Priority()))
	return s.openStream(s.pooled, r, c)
}

// Resume reads the call's stream from an offset on, on a new connection.
func (s *Sender) Resume(ctx context.Context, base string, c *call.Call, offset int) (*Stream, error) {
	target := base + "/v1/streams/" + url.PathEscape(c.ID()) + "?offset=" + strconv.Itoa(offset)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, errors.Wrap(err, "send")
	}
	return s.openStream(s.unpooled, r, c)
}

// Cancel stops a stream and returns its usage. ErrNoStream means that the stream
// never ran, or that it ended and the engine has removed it.
func (s *Sender) Cancel(ctx context.Context, base, id string) (price.Usage, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodDelete, base+"/v1/streams/"+url.PathEscape(id), nil)
	if err != nil {
		return price.Usage{}, errors.Wrap(err, "send")
	}
	resp, err := s.unpooled.Do(r)
	if err != nil {
		return price.Usage{}, errors.Mark(err, ErrBroken)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotFound {
		return price.Usage{}, ErrNoStream
	}
	var u usageFields
	if err := json.NewDecoder(resp.Body).Decode(&u); err != nil {
		return price.Usage{}, errors.Mark(err, ErrBroken)
	}
	return u.usage(), nil
}

// openStream sends a request for a stream and checks the status of the response.
func (s *Sender) openStream(client *http.Client, r *http.Request, c *call.Call) (*Stream, error) {
	ctx, cancel := context.WithCancelCause(r.Context())
	watchdog := newWatchdog(c.Service().StallTimeout(), cancel)
	tracker := connTracker{}
	resp, err := client.Do(r.WithContext(tracker.trace(ctx)))
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
		return errors.Wrapf(ErrRejected, "status %d", resp.StatusCode)
	default:
		return errors.Wrapf(ErrBroken, "status %d", resp.StatusCode)
	}
}

// Response is the response of a plain service.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

// Call makes one call of a plain service. An error other than ErrNotAccepted or
// ErrLeaving means that the call may have run.
func (s *Sender) Call(ctx context.Context, base string, c *call.Call) (Response, error) {
	p := c.Plain()
	tracker := connTracker{}
	r, err := http.NewRequestWithContext(tracker.trace(ctx), p.Method, base+p.Path, bytes.NewReader(p.Body))
	if err != nil {
		return Response{}, errors.Mark(err, ErrNotAccepted)
	}
	r.Header.Set(requestHeader, c.ID())
	if p.ContentType != "" {
		r.Header.Set("Content-Type", p.ContentType)
	}
	client := s.unpooled
	if c.Retryable() {
		client = s.pooled
	}
	resp, err := client.Do(r)
	if err != nil {
		return Response{}, tracker.classify(ctx, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(leavingHeader) == "true" {
		return Response{}, ErrLeaving
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxResponse+1))
	if err != nil {
		return Response{}, errors.Mark(err, ErrBroken)
	}
	if len(body) > MaxResponse {
		return Response{}, errors.Wrapf(ErrBroken, "response is larger than %d bytes", MaxResponse)
	}
	return Response{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}

// connTracker records whether a request got a connection.
type connTracker struct{ connected atomic.Bool }

func (t *connTracker) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { t.connected.Store(true) },
	})
}

// classify marks the error of a failed request. Without a connection the request
// was not sent, and the error is ErrNotAccepted.
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
