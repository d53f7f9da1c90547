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

// caller sends requests of one client account and reads what comes back.
type caller struct {
	fleet  *Fleet
	client *http.Client
	bearer string
}

func newCaller(t *testing.T, f *Fleet, account string) *caller {
	t.Helper()
	c := &caller{fleet: f, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}, bearer: f.Keys[account]}
	t.Cleanup(c.client.CloseIdleConnections)
	return c
}

// reply is what came back for a request.
type reply struct {
	status  int
	text    string // of the answer, or the code of the refusal
	outcome call.Outcome
	id      string // of the request
	broken  bool   // the answer broke off
}

// chatBody returns a chat completions request and the whole answer to it.
func chatBody(n int, tokens int64, stream bool) (body []byte, want string) {
	message := json.RawMessage(fmt.Sprintf(`{"role":"user","content":"Request %d"}`, n))
	q := engine.Request{Model: "draft-small", Messages: []json.RawMessage{message}, MaxTokens: tokens}
	body = fmt.Appendf(nil, `{"model":"draft-small","messages":[%s],"max_tokens":%d,"stream":%v}`, message, tokens, stream)
	return body, strings.Join(engine.Answer(q), "")
}

// chat sends a chat completions request to instance i.
func (c *caller) chat(ctx context.Context, i int, key string, body []byte) (reply, error) {
	return c.send(ctx, http.MethodPost, c.fleet.Nodes[i].URL()+"/v1/chat/completions", key, body)
}

// plain calls the custody ledger through instance i.
func (c *caller) plain(ctx context.Context, i int, method, path, key string, body []byte) (reply, error) {
	return c.send(ctx, method, c.fleet.Nodes[i].URL()+"/s/custody-ledger"+path, key, body)
}

func (c *caller) send(ctx context.Context, method, url, key string, body []byte) (reply, error) {
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	// A body that can't be read again keeps the HTTP library from repeating the
	// request by itself.
	r.GetBody = nil
	r.Header.Set("Authorization", "Bearer "+c.bearer)
	if key != "" {
		r.Header.Set(accept.KeyHeader, key)
	}
	resp, err := c.client.Do(r)
	if err != nil {
		return reply{}, err
	}
	defer resp.Body.Close()
	g := reply{status: resp.StatusCode, outcome: call.Outcome(resp.Header.Get(call.OutcomeHeader)), id: resp.Header.Get(call.RequestHeader)}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		g.readEvents(resp.Body)
		return g, nil
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return g, err
	}
	g.text = wordsOf(data)
	return g, nil
}

// wordsOf returns the text of an answer, or the code of a refusal.
func wordsOf(data []byte) string {
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

func (g *reply) readEvents(body io.Reader) {
	g.broken = true
	var text strings.Builder
	for e, err := range sse.Read(body, nil) {
		if err != nil {
			break
		}
		if e.Data == "[DONE]" {
			g.broken = false
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
	g.text = text.String()
}

// stopped stops all instances and returns the bills.
func stopped(t *testing.T, f *Fleet) Bills {
	t.Helper()
	if err := f.StopNodes(); err != nil {
		t.Error(err)
	}
	b, err := f.Bills(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if b.Overspent > 0 || b.Doubles > 0 || b.Left > 0 || b.Cost != b.Spent || f.broken() > 0 {
		t.Errorf("bills %+v, broken rules %d", b, f.broken())
	}
	return b
}

// runs returns how often each request ran at the plain services.
func (f *Fleet) runs() map[string]int {
	all := map[string]int{}
	for _, p := range f.Plains {
		for id, n := range p.Runs() {
			all[id] += n
		}
	}
	return all
}

// served returns the runs that the engines finished.
func (f *Fleet) served() (sum int64) {
	for _, e := range f.Engines {
		n, _ := e.Served()
		sum += n
	}
	return sum
}
