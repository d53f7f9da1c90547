package serve

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"jacinthladder.dev/internal/forward/conns"
	"jacinthladder.dev/internal/forward/picker"
)

const (
	// bufferMost is the largest answer, other than a stream, that is read whole
	// before its first byte goes on.
	bufferMost = 256 << 10
	// eventMost is the largest event.
	eventMost = 1 << 20
	// dropMost is the most of an unwanted answer that is read to keep its
	// connection.
	dropMost = 64 << 10
)

// reply is what goes back to the caller.
type reply struct {
	x       *exchange
	control *http.ResponseController
	status  int    // sent, 0 while nothing is
	lastID  string // of the last event delivered
	events  int64  // delivered
	first   time.Time

	failed     *http.Response // an endpoint's failure, to be passed on if nothing better comes
	failedBody []byte
}

func newReply(x *exchange) *reply {
	return &reply{x: x, control: http.NewResponseController(x.w)}
}

// begin sends the endpoint's status and headers.
func (p *reply) begin(resp *http.Response) {
	if p.status != 0 {
		return
	}
	h := p.x.w.Header()
	dropHop(resp.Header)
	for name, values := range resp.Header {
		h[name] = values
	}
	for _, name := range []string{"Content-Type", "Date"} {
		if _, ok := h[name]; !ok {
			h[name] = nil // the library would add its own
		}
	}
	p.status = resp.StatusCode
	p.x.w.WriteHeader(resp.StatusCode)
}

// whole relays an answer that is no stream.
func (p *reply) whole(ctx context.Context, resp *http.Response, watch *patience) error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, bufferMost))
	if err != nil {
		return errors.CombineErrors(errBroken, err)
	}
	watch.stop()
	if resp.StatusCode >= http.StatusInternalServerError || promises(resp.StatusCode) {
		p.failed, p.failedBody = resp, body
		return errFailed
	}
	return p.pass(resp, body)
}

// pass sends an answer whose beginning is read, and the rest as it comes.
func (p *reply) pass(resp *http.Response, body []byte) error {
	if p.status != 0 {
		return errors.WithMessage(errBroken, "a resumed stream brought no stream")
	}
	p.first = time.Now()
	p.begin(resp)
	if _, err := p.x.w.Write(body); err != nil {
		return errCaller
	}
	if len(body) < bufferMost {
		return nil
	}
	if _, err := io.Copy(p.x.w, resp.Body); err != nil {
		return errors.CombineErrors(errBroken, err)
	}
	return nil
}

// promises reports whether a status says that a request did not run.
func promises(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// stream relays a stream of events, whole events at a time.
func (p *reply) stream(ctx context.Context, l *picker.Pick, resp *http.Response, watch *patience) error {
	br := bufio.NewReader(resp.Body)
	var batch bytes.Buffer
	for {
		n, id, err := readEvent(br, &batch)
		if n > 0 && err == nil {
			if p.first.IsZero() {
				p.first = time.Now()
			}
			if p.events == 0 {
				l.MarkPrefilled()
			}
			p.events++
			if id != "" {
				p.lastID = id
			}
			watch.heard()
		}
		if err == nil && br.Buffered() > 0 {
			continue
		}
		// Whole events are delivered before the next endpoint is told of them.
		if err == nil || errors.Is(err, io.EOF) || batch.Len() > 0 {
			if err := p.flush(resp, &batch); err != nil {
				return err
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return errors.CombineErrors(errBroken, err)
		}
	}
}

func (p *reply) flush(resp *http.Response, batch *bytes.Buffer) error {
	p.begin(resp)
	if batch.Len() > 0 {
		if _, err := p.x.w.Write(batch.Bytes()); err != nil {
			return errCaller
		}
		batch.Reset()
	}
	if err := p.control.Flush(); err != nil {
		return errCaller
	}
	return nil
}

// readEvent appends one event to b, up to its empty line. It returns its length
// and ID. At the end of the stream the rest is appended as it is.
func readEvent(br *bufio.Reader, b *bytes.Buffer) (n int, id string, err error) {
	start := b.Len()
	for {
		line, err := br.ReadSlice('\n')
		b.Write(line)
		n += len(line)
		switch {
		case errors.Is(err, bufio.ErrBufferFull) && n < eventMost:
			continue
		case err != nil:
			if !errors.Is(err, io.EOF) {
				b.Truncate(start) // the event broke off
			}
			return n, id, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return n, id, nil
		}
		if rest, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			id = string(bytes.TrimSpace(rest))
		}
	}
}

// drop reads an unwanted answer to its end and reports whether the connection is
// still good.
func (x *exchange) drop(resp *http.Response) bool {
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, dropMost))
	return err == nil && n < dropMost
}

// patience gives up an endpoint that is silent for too long, if the request may
// be sent to another.
type patience struct {
	timer *time.Timer
	gap   time.Duration
	fired atomic.Bool
}

// patience starts to wait for the beginning of an answer.
func (x *exchange) patience(conn *conns.Conn) *patience {
	p := &patience{}
	if !x.route.Repeatable() || x.sends >= x.route.MaxAttempts {
		return p
	}
	p.gap = max(3*x.route.MaxEventGap, gapLeast)
	p.timer = time.AfterFunc(max(x.route.Objective, silentLeast), func() {
		// An answer is only given up where another endpoint may be asked.
		if x.Retries(x.service.Name).AllowRetry(time.Now()) {
			p.fired.Store(true)
			conn.Close()
		}
	})
	return p
}

// heard starts to wait for the next event.
func (p *patience) heard() {
	if p.timer != nil {
		p.timer.Reset(p.gap)
	}
}

func (p *patience) stop() {
	if p.timer != nil {
		p.timer.Stop()
	}
}

// blame returns err, or that the endpoint was silent if that is why.
func (p *patience) blame(err error) error {
	if err != nil && p.fired.Load() && !errors.Is(err, errCaller) {
		return errSilent
	}
	return err
}

func itoa(n int) string { return strconv.Itoa(n) }

func splitList(v string) []string {
	var names []string
	for _, name := range strings.Split(v, ",") {
		if name = strings.TrimSpace(name); name != "" {
			names = append(names, name)
		}
	}
	return names
}
