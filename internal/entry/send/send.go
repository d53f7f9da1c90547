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
	// ErrNotAccepted means that the endpoint provably did not take the request.
	ErrNotAccepted = errors.New("send: endpoint did not take the request")
	// ErrLeaving means that the endpoint is leaving and did not take the request.
	ErrLeaving = errors.New("send: endpoint is leaving")
	// ErrBroken means that the connection broke, or the answer was not one.
	ErrBroken = errors.New("send: connection broke")
	// ErrStalled means that nothing came within the progress deadline.
	ErrStalled = errors.New("send: connection is silent")
	// ErrNoStream means that the engine does not know the stream.
	ErrNoStream = errors.New("send: no such stream")
	// ErrStreamExists means that the engine already has a stream with this ID.
	ErrStreamExists = errors.New("send: stream ID is taken")
	// ErrRejected means that the engine found fault with the request.
	ErrRejected = errors.New("send: endpoint rejected the request")
)

const (
	streamHeader  = "Stream-Id"
	rankHeader    = "Stream-Rank"
	requestHeader = "Request-Id"
	leavingHeader = "Endpoint-Leaving"

	// dialTime bounds the opening of a connection.
	dialTime = time.Second
	// idleTime is how long an unused connection is kept.
	idleTime = 30 * time.Second
	// idleConns is the most unused connections kept for one endpoint.
	idleConns = 256
	// MaxResponse is the largest answer of a plain service in bytes.
	MaxResponse = 16 << 20
)

// Sender makes connections to endpoints. Make one with NewSender.
type Sender struct {
	kept  *http.Client // keeps connections
	fresh *http.Client // a connection for each request
}

// NewSender returns a sender without open connections.
func NewSender() *Sender {
	dial := (&net.Dialer{Timeout: dialTime}).DialContext
	return &Sender{
		kept: &http.Client{Transport: &http.Transport{
			DialContext: dial, MaxIdleConnsPerHost: idleConns, IdleConnTimeout: idleTime, DisableCompression: true,
			ReadBufferSize: bufferSize, WriteBufferSize: bufferSize,
		}},
		fresh: &http.Client{Transport: &http.Transport{
			DialContext: dial, DisableKeepAlives: true, DisableCompression: true,
		}},
	}
}

// Close closes the connections that are not in use.
func (s *Sender) Close() {
	s.kept.CloseIdleConnections()
	s.fresh.CloseIdleConnections()
}

// Start asks an engine for a new stream with the call's ID.
func (s *Sender) Start(ctx context.Context, base string, c *call.Call) (*Stream, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/chat/completions", bytes.NewReader(c.Chat().Body))
	if err != nil {
		return nil, errors.Wrap(err, "send")
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(streamHeader, c.ID())
	r.Header.Set(rankHeader, strconv.Itoa(c.Priority()))
	return s.open(s.kept, r, c)
}

// Resume opens a new connection to a stream of the call, from an offset on.
func (s *Sender) Resume(ctx context.Context, base string, c *call.Call, offset int) (*Stream, error) {
	target := base + "/v1/streams/" + url.PathEscape(c.ID()) + "?offset=" + strconv.Itoa(offset)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, errors.Wrap(err, "send")
	}
	return s.open(s.fresh, r, c)
}

// Cancel stops a stream and returns what it used. ErrNoStream means that it
// never ran, or ended and is forgotten.
func (s *Sender) Cancel(ctx context.Context, base, id string) (price.Usage, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodDelete, base+"/v1/streams/"+url.PathEscape(id), nil)
	if err != nil {
		return price.Usage{}, errors.Wrap(err, "send")
	}
	resp, err := s.fresh.Do(r)
	if err != nil {
		return price.Usage{}, errors.Mark(err, ErrBroken)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotFound {
		return price.Usage{}, ErrNoStream
	}
	var u usageText
	if err := json.NewDecoder(resp.Body).Decode(&u); err != nil {
		return price.Usage{}, errors.Mark(err, ErrBroken)
	}
	return u.usage(), nil
}

// open sends a request for a stream and checks the head of the answer.
func (s *Sender) open(client *http.Client, r *http.Request, c *call.Call) (*Stream, error) {
	ctx, cancel := context.WithCancelCause(r.Context())
	watch := newWatch(c.Service().StallTimeout(), cancel)
	t := tracker{}
	resp, err := client.Do(r.WithContext(t.trace(ctx)))
	if err != nil {
		watch.stop()
		err = t.classify(ctx, err)
		cancel(nil)
		return nil, err
	}
	if err := streamStatus(resp); err != nil {
		watch.stop()
		cancel(nil)
		return nil, errors.CombineErrors(err, resp.Body.Close())
	}
	return &Stream{id: c.ID(), body: resp.Body, ctx: ctx, cancel: cancel, watch: watch}, nil
}

func streamStatus(resp *http.Response) error {
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

// Response is what a plain service said.
type Response struct {
	Status      int
	ContentType string // Content-Type
	Body        []byte
}

// Call makes one call of a plain service. An error that is not ErrNotTaken or
// ErrLeaving means that the call may have run.
func (s *Sender) Call(ctx context.Context, base string, c *call.Call) (Response, error) {
	p := c.Plain()
	t := tracker{}
	r, err := http.NewRequestWithContext(t.trace(ctx), p.Method, base+p.Path, bytes.NewReader(p.Body))
	if err != nil {
		return Response{}, errors.Mark(err, ErrNotAccepted)
	}
	r.Header.Set(requestHeader, c.ID())
	if p.ContentType != "" {
		r.Header.Set("Content-Type", p.ContentType)
	}
	client := s.fresh
	if c.Repeatable() {
		client = s.kept
	}
	resp, err := client.Do(r)
	if err != nil {
		return Response{}, t.classify(ctx, err)
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
		return Response{}, errors.Wrapf(ErrBroken, "answer is larger than %d bytes", MaxResponse)
	}
	return Response{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}

// tracker notes whether a request got as far as a connection.
type tracker struct{ connected atomic.Bool }

func (t *tracker) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { t.connected.Store(true) },
	})
}

// classify says whether a failed request may have left.
func (t *tracker) classify(ctx context.Context, err error) error {
	switch {
	case !t.connected.Load():
		return errors.Mark(err, ErrNotAccepted)
	case errors.Is(context.Cause(ctx), ErrStalled):
		return errors.Mark(err, ErrStalled)
	default:
		return errors.Mark(err, ErrBroken)
	}
}
