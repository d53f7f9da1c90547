package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tmaxmax/go-sse"

	"jacinthladder.dev/internal/entry/call"
	"jacinthladder.dev/internal/stand/engine"
	"jacinthladder.dev/internal/stand/plain"
)

// requestTimeout is the longest time that one request may take, its response included.
const requestTimeout = time.Minute

// sender sends the requests of one worker, one after another.
type sender struct {
	config Config
	report *Report
	client *http.Client
	random *rand.Rand
}

// response holds the text and token counts of one response, and when its first and
// last chunks arrived.
type response struct {
	text                  string
	input, cached, output int64
	firstAt, lastAt       time.Time
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatRequest struct {
	Model     string            `json:"model"`
	Messages  []json.RawMessage `json:"messages"`
	MaxTokens int64             `json:"max_tokens"`
	Stream    bool              `json:"stream"`
	Options   *streamOptions    `json:"stream_options,omitempty"`
}

type streamOptions struct {
	Usage bool `json:"include_usage"`
}

// send sends request number n from a random caller, to the caller's model or plain
// service. If the request is neither answered nor refused, send counts it as failed in
// the report and describes the error.
func (s *sender) send(n int) {
	caller := s.config.Callers[s.random.IntN(len(s.config.Callers))]
	target := s.config.Targets[n%len(s.config.Targets)]
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	var err error
	if caller.Model != "" && (caller.Service == "" || s.random.IntN(4) > 0) {
		err = s.sendChat(ctx, target, caller, n)
	} else {
		err = s.sendPlain(ctx, target, caller, n)
	}
	if err != nil {
		s.report.add(&s.report.failed, 1)
		s.report.addProblem("request %d: %s", n, err)
	}
}

// systemMessage returns a random one of Config.SystemMessages different system
// messages. Requests with the same system message share a prompt prefix.
func (s *sender) systemMessage() json.RawMessage {
	theme := s.random.IntN(max(s.config.SystemMessages, 1))
	text := fmt.Sprintf("Theme %d. ", theme) + strings.Repeat("You draft recovery certificates. ", 8)
	return encode(message{Role: "system", Content: text})
}

func encode(v any) json.RawMessage {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // strings and numbers can always be marshaled
	}
	return data
}

// sendChat sends chat completions request number n. If Config.Check is set, it compares
// the response with the tokens that the engine stand-in generates for the request.
func (s *sender) sendChat(ctx context.Context, target string, caller Caller, n int) error {
	request := chatRequest{
		Model:     caller.Model,
		Messages:  []json.RawMessage{s.systemMessage(), encode(message{Role: "user", Content: fmt.Sprintf("Request %d of %d", n, s.config.Seed)})},
		MaxTokens: s.config.Tokens,
		Stream:    s.random.Float64() < s.config.StreamFraction || s.config.Direct,
	}
	if request.Stream {
		request.Options = &streamOptions{Usage: true}
	}
	body := encode(request)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, target+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return err
	}
	r.Header.Set("Content-Type", "application/json")
	if s.config.Direct {
		r.Header.Set(engine.StreamHeader, fmt.Sprintf("load-%d-%d", s.config.Seed, n))
		r.Header.Set(engine.PriorityHeader, "4")
	}
	read := s.readWhole
	if request.Stream {
		read = s.readStream
	}
	got, err := s.do(r, caller, body, read)
	if err != nil || got == nil {
		return err
	}
	if s.config.Check {
		want := strings.Join(engine.Tokens(engine.Request{Model: request.Model, Messages: request.Messages, MaxTokens: request.MaxTokens}), "")
		if got.text != want {
			s.report.add(&s.report.wrong, 1)
			s.report.addProblem("request %d: the text of the response differs from the expected one: got %d bytes, want %d", n, len(got.text), len(want))
		}
	}
	return nil
}

// sendPlain sends request number n to the caller's plain service. If Config.Check is
// set, it checks that the response contains the request's body.
func (s *sender) sendPlain(ctx context.Context, target string, caller Caller, n int) error {
	body := []byte(fmt.Sprintf(`{"transfer":%d}`, n))
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, target+"/s/"+caller.Service+caller.Path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	got, err := s.do(r, caller, body, s.readWhole)
	if err != nil || got == nil || !s.config.Check {
		return err
	}
	var a plain.Response
	if err := json.Unmarshal([]byte(got.text), &a); err != nil || a.Body != string(body) {
		s.report.add(&s.report.wrong, 1)
		s.report.addProblem("request %d: got response body %q, want JSON that repeats the body of the request", n, got.text)
	}
	return nil
}

// responseReader reads the body of a response with status 200. The argument start is
// the time at which the request was sent.
type responseReader func(body io.Reader, start time.Time) (*response, error)

// do sends a request, reads its response with read, and updates Config.Ledger and the
// report. For a refused request it returns neither a response nor an error.
func (s *sender) do(r *http.Request, caller Caller, body []byte, read responseReader) (*response, error) {
	r.Header.Set("Authorization", "Bearer "+caller.Key)
	maxCost, err := s.reserve(r, caller, body)
	if err != nil {
		return nil, err
	}
	s.report.add(&s.report.sent, 1)
	start := time.Now()
	resp, err := s.client.Do(r)
	if err != nil {
		s.release(caller, maxCost)
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, s.recordRefusal(resp, caller, maxCost)
	}
	got, err := read(resp.Body, start)
	if err != nil {
		s.release(caller, maxCost)
		return nil, err
	}
	s.settle(r, caller, body, maxCost, got)
	return got, nil
}

// reserve reserves the maximum cost of a request in Config.Ledger and returns it. It
// returns 0 if there is no ledger.
func (s *sender) reserve(r *http.Request, caller Caller, body []byte) (int64, error) {
	if s.config.Ledger == nil {
		return 0, nil
	}
	maxCost, err := s.config.MaxCost(r, body)
	if err != nil {
		return 0, err
	}
	s.config.Ledger.Reserve(caller.Account, maxCost)
	return maxCost, nil
}

// release ends the reservation of a request that got no complete response. It reports
// whether Config.Ledger could have paid for the request; without a ledger it reports
// false.
func (s *sender) release(caller Caller, maxCost int64) bool {
	return s.config.Ledger != nil && s.config.Ledger.Release(caller.Account, maxCost)
}

// settle counts an answered request in the report and charges its cost to Config.Ledger,
// if there is one.
func (s *sender) settle(r *http.Request, caller Caller, body []byte, maxCost int64, got *response) {
	s.report.add(&s.report.answered, 1)
	s.report.add(&s.report.tokens, got.output)
	if s.config.Ledger == nil {
		return
	}
	cost := s.config.Cost(r, body, got.input, got.cached, got.output)
	s.config.Ledger.Settle(caller.Account, maxCost, cost)
	s.report.add(&s.report.spent, cost)
}

// errorResponse is the JSON body of a refusal.
type errorResponse struct {
	Error struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	} `json:"error"`
}

// recordRefusal counts a refused request by the error code of its response. The refusal
// also counts as false if the code says that the budget is exhausted or unreachable
// although Config.Ledger could have paid maxCost. The request counts as one whose outcome
// is unknown if the response does not say that the request did not run. recordRefusal
// returns an error, and counts no refusal, if the body of the response is not JSON.
func (s *sender) recordRefusal(resp *http.Response, caller Caller, maxCost int64) error {
	var f errorResponse
	if err := json.NewDecoder(resp.Body).Decode(&f); err != nil {
		s.release(caller, maxCost)
		return errors.Wrapf(err, "load: decode error body of response with status %d", resp.StatusCode)
	}
	payable := s.release(caller, maxCost)
	budgetRefusal := f.Error.Code == string(call.BudgetExhausted) || f.Error.Code == string(call.BudgetUnreachable)
	s.report.addRefusal(f.Error.Code, payable && budgetRefusal)
	if resp.Header.Get(call.OutcomeHeader) != string(call.NotRun) {
		s.report.add(&s.report.indeterminate, 1)
	}
	return nil
}

// completion is the JSON of a chat completions response, or of one chunk of it.
type completion struct {
	Choices []struct {
		Message message `json:"message"`
		Delta   message `json:"delta"`
	} `json:"choices"`
	Usage *engine.Usage `json:"usage"`
}

// readWhole reads a response that is not streamed. The text is that of the model, or
// the whole body of a plain service's response.
func (s *sender) readWhole(body io.Reader, _ time.Time) (*response, error) {
	data, err := io.ReadAll(body)
	if err != nil {
		return nil, err
	}
	var a completion
	if err := json.Unmarshal(data, &a); err != nil {
		return nil, err
	}
	got := &response{text: string(data)}
	if len(a.Choices) > 0 {
		got.text = a.Choices[0].Message.Content
	}
	got.setUsage(a.Usage)
	return got, nil
}

func (r *response) setUsage(u *engine.Usage) {
	if u != nil {
		r.input, r.cached, r.output = u.Prompt, u.Details.Cached, u.Completion
	}
}

// readStream reads a streamed response, which ends with the event [DONE], and records
// when its chunks arrived. A stream that ends earlier is an error.
func (s *sender) readStream(body io.Reader, start time.Time) (*response, error) {
	got := &response{}
	var text strings.Builder
	for e, err := range sse.Read(body, nil) {
		if err != nil {
			return nil, err
		}
		if e.Data == "[DONE]" {
			got.text = text.String()
			return got, nil
		}
		var a completion
		if err := json.Unmarshal([]byte(e.Data), &a); err != nil {
			return nil, err
		}
		for _, c := range a.Choices {
			text.WriteString(c.Delta.Content)
		}
		got.setUsage(a.Usage)
		s.recordChunk(got, start)
	}
	return nil, errors.New("load: read stream: it ended before the event [DONE]")
}

// recordChunk records in the report that a chunk of a stream has arrived: for the first
// chunk the time since start as the time to the first token, for a later one the time
// since the previous chunk as the gap between tokens.
func (s *sender) recordChunk(got *response, start time.Time) {
	now := time.Now()
	if got.firstAt.IsZero() {
		got.firstAt = now
		s.report.recordTime(s.report.firstToken, now.Sub(start))
	} else {
		s.report.recordTime(s.report.tokenGap, now.Sub(got.lastAt))
	}
	got.lastAt = now
}
