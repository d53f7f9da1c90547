package serve

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"jacinthladder.dev/internal/forward/conns"
	"jacinthladder.dev/internal/forward/picker"
)

const (
	// maxBuffered is the length in bytes of the longest response, other than a stream,
	// that is read completely before the first byte is relayed, if there is room for it. If the
	// connection of such a response fails, the caller gets no part of it.
	maxBuffered = 256 << 10
	// maxDiscarded bounds the bytes of an unwanted response that are read so that
	// its connection can be reused. If the response is at least as long, its
	// connection is closed.
	maxDiscarded = 64 << 10
)

// relay writes the response of one request to the caller. If a stream is resumed,
// the response consists of events from several endpoints in succession.
type relay struct {
	x           *exchange
	control     *http.ResponseController
	status      int       // HTTP status sent to the caller, 0 if none yet
	media       string    // content type of the first response of a stream
	lastEventID string    // ID of the last event read from the endpoint, empty if none has an ID
	events      int64     // number of complete events read from endpoints; they are then sent to the caller
	firstAt     time.Time // when the first data of the response arrived from an endpoint

	failedResponse *http.Response // last failure response of an endpoint, relayed if no other endpoint succeeds
	failedBody     []byte         // body of failedResponse, or its begin
	failedWhole    bool           // failedBody is complete
}

func newRelay(x *exchange) *relay {
	return &relay{x: x, control: http.NewResponseController(x.w)}
}

// writeHeader sends the status and the headers of an endpoint's response to the
// caller. It does nothing if a status has been sent already.
func (r *relay) writeHeader(resp *http.Response) {
	if r.status != 0 {
		return
	}
	h := r.x.w.Header()
	removeHopHeaders(resp.Header)
	for name, values := range resp.Header {
		h[name] = values
	}
	for _, name := range []string{"Content-Type", "Date"} {
		if _, ok := h[name]; !ok {
			h[name] = nil // keeps net/http from adding its own
		}
	}
	r.status = resp.StatusCode
	r.x.w.WriteHeader(resp.StatusCode)
}

// nonStream relays a response that is not a stream. A response whose status is 5xx,
// or says that the request did not run, is not relayed. It is kept in
// failedResponse, and errFailed is returned.
func (r *relay) nonStream(ctx context.Context, resp *http.Response, timer *stallTimer) error {
	body, whole, err := r.x.space.readAll(resp.Body, maxBuffered)
	if err != nil {
		return incomplete(err)
	}
	timer.stop()
	if resp.StatusCode >= http.StatusInternalServerError || statusSaysNotRun(resp.StatusCode) {
		r.failedResponse, r.failedBody, r.failedWhole = resp, body, whole
		return errFailed
	}
	return r.sendBody(resp, body, whole)
}

// sendBody sends a response to the caller. Body is the response body, or its first bytes
// if it is not the whole. The remaining bytes are read from resp.
func (r *relay) sendBody(resp *http.Response, body []byte, whole bool) error {
	if r.status != 0 {
		return errors.WithMessage(errIncomplete, "the endpoint did not resume the stream")
	}
	r.firstAt = time.Now()
	r.writeHeader(resp)
	if _, err := r.x.w.Write(body); err != nil {
		return errCallerGone
	}
	r.x.space.release()
	if whole {
		return nil
	}
	if _, err := io.Copy(r.x.w, resp.Body); err != nil {
		return incomplete(err)
	}
	return nil
}

// statusSaysNotRun reports whether an HTTP status tells the caller that the request
// did not run.
func statusSaysNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// stream relays a stream of events from the endpoint of pk to the caller, and marks
// the prompt as prefilled at the first event of the request. It sends only complete
// events: a response that ends inside an event is incomplete, however it is framed. Each
// event restarts the timer.
func (r *relay) stream(ctx context.Context, pk *picker.Pick, resp *http.Response, timer *stallTimer) error {
	if err := r.checkContinues(resp); err != nil {
		return err
	}
	br := bufio.NewReader(resp.Body)
	var batch bytes.Buffer
	begun := false // an event of this response was read
	for {
		n, id, err := readEvent(br, &batch, r.x.space.grow)
		if n > 0 && err == nil {
			if !begun && !follows(r.x.sentFrom, id) {
				return incomplete(errNotFollowing)
			}
			begun = true
			if r.firstAt.IsZero() {
				r.firstAt = time.Now()
			}
			if r.events == 0 {
				pk.MarkPrefilled()
				r.x.noteOrigin(pk)
				r.x.noteFirstEvent()
			}
			r.x.confirmOrigin(pk)
			r.events++
			pk.Heard(r.x.openedAt, time.Now())
			if id != "" {
				r.lastEventID = id
			}
			timer.reset()
		}
		if err == nil && br.Buffered() > 0 {
			continue
		}
		// Complete events are delivered before an error returns, because the next
		// endpoint is told the ID of the last one.
		if err == nil || errors.Is(err, io.EOF) && (begun || r.x.received.framing != conns.ByClose) || batch.Len() > 0 {
			if err := r.flush(resp, &batch); err != nil {
				return err
			}
		}
		switch {
		case errors.Is(err, io.EOF) && !begun && r.x.received.framing == conns.ByClose:
			return incomplete(io.ErrUnexpectedEOF)
		case errors.Is(err, errInsideEvent):
			r.x.received.partial = n
			return incomplete(err)
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return incomplete(err)
		}
	}
}

// checkContinues returns an error if the response cannot be a part of the stream that has begun.
func (r *relay) checkContinues(resp *http.Response) error {
	media := resp.Header.Get("Content-Type")
	switch {
	case r.status == 0:
		r.media = media
	case resp.StatusCode != http.StatusOK || media != r.media:
		return errors.WithMessagef(errIncomplete, "the endpoint did not resume the stream: status %d, content type %.80q", resp.StatusCode, media)
	}
	return nil
}

// flush sends the events in batch to the caller without further buffering, and
// empties batch. It first sends the status and the headers of resp if no status has
// been sent yet.
func (r *relay) flush(resp *http.Response, batch *bytes.Buffer) error {
	r.writeHeader(resp)
	if batch.Len() > 0 {
		if _, err := r.x.w.Write(batch.Bytes()); err != nil {
			return errCallerGone
		}
		batch.Reset()
		r.x.space.release()
	}
	if err := r.control.Flush(); err != nil {
		return errCallerGone
	}
	return nil
}

// discard reads the body of an unwanted response and drops it. It reports whether
// the connection may be reused, which requires that the body is shorter than
// maxDiscarded.
func (x *exchange) discard(resp *http.Response) bool {
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxDiscarded))
	return err == nil && n < maxDiscarded
}

// stallTimer closes the connection to an endpoint that sends nothing for too long,
// if the request may be sent to another endpoint. The zero value never fires.
type stallTimer struct {
	timer *time.Timer
	gap   time.Duration // how long the timer waits for the next event of a stream
	begun atomic.Bool   // an event has come
	fired atomic.Bool   // the timer has closed the connection
}

// startStallTimer returns a timer that waits for the endpoint of pk on conn to begin its
// response. The timer never fires if the request may not be sent to another
// endpoint.
func (x *exchange) startStallTimer(pk *picker.Pick, conn *conns.Conn) *stallTimer {
	t := &stallTimer{}
	if !x.route.Retryable() || x.attempts >= x.route.MaxAttempts {
		return t
	}
	t.gap = max(3*x.route.MaxEventGap, minGapTimeout)
	info := x.pickInfo(append(slices.Clip(x.tried), pk.Endpoint().ID))
	t.timer = time.AfterFunc(max(x.route.Objective, minResponseTimeout), func() {
		// The connection is closed only if another endpoint may be tried. Without a
		// retry left, a late response is better than none.
		if t.begun.Load() {
			if x.originUnknown.Load() {
				return
			}
			info.Version = x.version
		}
		if x.Picker.Fits(info) && x.Retries(x.service.Name).AllowRetry(time.Now()) {
			t.fired.Store(true)
			conn.Close()
		}
	})
	return t
}

// reset restarts the timer after an event, so that it waits for the next event.
func (t *stallTimer) reset() {
	t.begun.Store(true)
	if t.timer != nil {
		t.timer.Reset(t.gap)
	}
}

// stop stops the timer. It does nothing if the timer has fired.
func (t *stallTimer) stop() {
	if t.timer != nil {
		t.timer.Stop()
	}
}

// cause returns the error to report instead of err, the error of an attempt. It is
// errStalled if the timer has closed the connection, and err otherwise. A nil error
// and errCallerGone are always returned unchanged.
func (t *stallTimer) cause(err error) error {
	if err != nil && t.fired.Load() && !errors.Is(err, errCallerGone) {
		return errStalled
	}
	return err
}

func itoa(n int) string { return strconv.Itoa(n) }

// splitList returns the entries of a comma-separated header value without spaces
// around them.
func splitList(v string) []string {
	var names []string
	for _, name := range strings.Split(v, ",") {
		if name = strings.TrimSpace(name); name != "" {
			names = append(names, name)
		}
	}
	return names
}
