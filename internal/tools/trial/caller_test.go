package trial

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/tmaxmax/go-sse"

	"jacinthladder.dev/internal/entry/accept"
	"jacinthladder.dev/internal/entry/call"
	"jacinthladder.dev/internal/stand/engine"
)

// caller sends requests to the instances of a fleet with the bearer key of one client
// account, and reads the responses.
type caller struct {
	fleet  *Fleet
	client *http.Client
	bearer string
}

// newCaller returns a caller for a client account. It closes the caller's connections
// at the end of the test.
func newCaller(t *testing.T, f *Fleet, account string) *caller {
	t.Helper()
	c := &caller{fleet: f, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}, bearer: f.Keys[account]}
	t.Cleanup(c.client.CloseIdleConnections)
	return c
}

// response holds what a caller read of the response to a request.
type response struct {
	status    int
	text      string // content of the response, or the error code of a refusal
	outcome   call.Outcome
	id        string // request ID, from the header of the response
	truncated bool   // the stream ended before the event [DONE]
}

// chatBody returns the body of chat completions request number n, with the given
// max_tokens, and the complete text that an engine generates for it.
func chatBody(n int, tokens int64, stream bool) (body []byte, want string) {
	message := json.RawMessage(fmt.Sprintf(`{"role":"user","content":"Request %d"}`, n))
	q := engine.Request{Model: "draft-small", Messages: []json.RawMessage{message}, MaxTokens: tokens}
	body = fmt.Appendf(nil, `{"model":"draft-small","messages":[%s],"max_tokens":%d,"stream":%v}`, message, tokens, stream)
	return body, strings.Join(engine.Tokens(q), "")
}

// chat sends a chat completions request to instance i. It sends key as the idempotency
// key unless key is empty.
func (c *caller) chat(ctx context.Context, i int, key string, body []byte) (response, error) {
	return c.send(ctx, http.MethodPost, c.fleet.Nodes[i].URL()+"/v1/chat/completions", key, body)
}

// plain sends a request to the plain service custody-ledger through instance i. It
// sends key as the idempotency key unless key is empty.
func (c *caller) plain(ctx context.Context, i int, method, path, key string, body []byte) (response, error) {
	return c.send(ctx, method, c.fleet.Nodes[i].URL()+"/s/custody-ledger"+path, key, body)
}

func (c *caller) send(ctx context.Context, method, url, key string, body []byte) (response, error) {
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return response{}, err
	}
	// Without GetBody, the HTTP client cannot retry the request on its own.
	r.GetBody = nil
	r.Header.Set("Authorization", "Bearer "+c.bearer)
	if key != "" {
		r.Header.Set(accept.KeyHeader, key)
	}
	resp, err := c.client.Do(r)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	got := response{status: resp.StatusCode, outcome: call.Outcome(resp.Header.Get(call.OutcomeHeader)), id: resp.Header.Get(call.RequestHeader)}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		got.readEvents(resp.Body)
		return got, nil
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return got, err
	}
	got.text = responseText(data)
	return got, nil
}

// responseText returns the text of a chat completions response, or the error code of a
// refusal. It returns any other body, such as that of a plain service, unchanged.
func responseText(data []byte) string {
	var a struct {
		Error   struct{ Code string }
		Choices []struct{ Message struct{ Content string } }
	}
	if err := json.Unmarshal(data, &a); err != nil {
		return string(data)
	}
	switch {
	case a.Error.Code != "":
		return a.Error.Code
	case len(a.Choices) > 0:
		return a.Choices[0].Message.Content
	default:
		return string(data)
	}
}

// readEvents reads a streamed response into r.text, and sets r.truncated if the stream
// ends before the event [DONE].
func (r *response) readEvents(body io.Reader) {
	r.truncated = true
	var text strings.Builder
	for e, err := range sse.Read(body, nil) {
		if err != nil {
			break
		}
		if e.Data == "[DONE]" {
			r.truncated = false
			break
		}
		var a struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		if err := json.Unmarshal([]byte(e.Data), &a); err != nil {
			break
		}
		for _, c := range a.Choices {
			text.WriteString(c.Delta.Content)
		}
	}
	r.text = text.String()
}

// stopAndCheck stops all instances with planned stops and returns the billing. It
// checks that no budget is overspent, no request is billed twice, every share is
// returned, the billed cost equals the amount spent and no instance reports a violation.
func stopAndCheck(t *testing.T, f *Fleet) Billing {
	t.Helper()
	if err := f.StopNodes(); err != nil {
		t.Error(err)
	}
	b, err := f.Billing(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if b.Overspent > 0 || b.Duplicates > 0 || b.Unreturned > 0 || b.Cost != b.Spent || f.violations() > 0 {
		t.Errorf("after the planned stop of all instances: got billing %+v and %d invariant violations, want no violation, overspent amount, duplicate or unreturned share, and Cost equal to Spent", b, f.violations())
	}
	return b
}

// plainRuns returns how often each request ran at all endpoints of the plain service
// together, by request ID.
func (f *Fleet) plainRuns() map[string]int {
	all := map[string]int{}
	for _, p := range f.PlainServices {
		for id, n := range p.Runs() {
			all[id] += n
		}
	}
	return all
}

// finishedRuns returns the number of runs for which the engines generated all tokens.
func (f *Fleet) finishedRuns() (sum int64) {
	for _, e := range f.Engines {
		n, _ := e.Served()
		sum += n
	}
	return sum
}
