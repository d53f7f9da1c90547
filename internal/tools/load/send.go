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

// requestTime bounds one request.
const requestTime = time.Minute

// sender is one worker of a load.
type sender struct {
	config Config
	report *Report
	client *http.Client
	random *rand.Rand
}

// seen is what came back for one request.
type seen struct {
	text                  string
	input, cached, output int64
	first, last           time.Time
}

type messageText struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatText struct {
	Model     string            `json:"model"`
	Messages  []json.RawMessage `json:"messages"`
	MaxTokens int64             `json:"max_tokens"`
	Stream    bool              `json:"stream"`
	Options   *optionsText      `json:"stream_options,omitempty"`
}

type optionsText struct {
	Usage bool `json:"include_usage"`
}

func (s *sender) send(n int) {
	caller := s.config.Callers[s.random.IntN(len(s.config.Callers))]
	target := s.config.Targets[n%len(s.config.Targets)]
	ctx, cancel := context.WithTimeout(context.Background(), requestTime)
	defer cancel()
	var err error
	if caller.Model != "" && (caller.Service == "" || s.random.IntN(4) > 0) {
		err = s.chat(ctx, target, caller, n)
	} else {
		err = s.plain(ctx, target, caller, n)
	}
	if err != nil {
		s.report.count(&s.report.failed, 1)
		s.report.problem("request %d: %s", n, err)
	}
}

// theme returns one of the first messages that many requests have in common.
func (s *sender) theme() json.RawMessage {
	t := s.random.IntN(max(s.config.Themes, 1))
	text := fmt.Sprintf("Theme %d. ", t) + strings.Repeat("You draft recovery certificates. ", 8)
	return encode(messageText{Role: "system", Content: text})
}

func encode(v any) json.RawMessage {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // text and numbers always encode
	}
	return data
}

func (s *sender) chat(ctx context.Context, target string, caller Caller, n int) error {
	q := chatText{
		Model:     caller.Model,
		Messages:  []json.RawMessage{s.theme(), encode(messageText{Role: "user", Content: fmt.Sprintf("Request %d of %d", n, s.config.Seed)})},
		MaxTokens: s.config.Tokens,
		Stream:    s.random.Float64() < s.config.Stream || s.config.Direct,
	}
	if q.Stream {
		q.Options = &optionsText{Usage: true}
	}
	body := encode(q)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, target+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return err
	}
	r.Header.Set("Content-Type", "application/json")
	if s.config.Direct {
		r.Header.Set(engine.StreamHeader, fmt.Sprintf("load-%d-%d", s.config.Seed, n))
		r.Header.Set(engine.RankHeader, "4")
	}
	read := s.readWhole
	if q.Stream {
		read = s.readStream
	}
	got, err := s.do(r, caller, body, read)
	if err != nil || got == nil {
		return err
	}
	if s.config.Check {
		want := strings.Join(engine.Answer(engine.Request{Model: q.Model, Messages: q.Messages, MaxTokens: q.MaxTokens}), "")
		if got.text != want {
			s.report.count(&s.report.wrong, 1)
			s.report.problem("request %d: got %d bytes of text, want %d", n, len(got.text), len(want))
		}
	}
	return nil
}

func (s *sender) plain(ctx context.Context, target string, caller Caller, n int) error {
	body := []byte(fmt.Sprintf(`{"transfer":%d}`, n))
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, target+"/s/"+caller.Service+caller.Path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	got, err := s.do(r, caller, body, s.readWhole)
	if err != nil || got == nil || !s.config.Check {
		return err
	}
	var a plain.Answer
	if err := json.Unmarshal([]byte(got.text), &a); err != nil || a.Body != string(body) {
		s.report.count(&s.report.wrong, 1)
		s.report.problem("request %d: answer %q", n, got.text)
	}
	return nil
}

type reader func(body io.Reader, began time.Time) (*seen, error)

// do sends a request, reads the answer and keeps the ledger. It returns nil
// for a refusal.
func (s *sender) do(r *http.Request, caller Caller, body []byte, read reader) (*seen, error) {
	r.Header.Set("Authorization", "Bearer "+caller.Key)
	bound, err := s.open(r, caller, body)
	if err != nil {
		return nil, err
	}
	s.report.count(&s.report.sent, 1)
	began := time.Now()
	resp, err := s.client.Do(r)
	if err != nil {
		s.refused(caller, bound)
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, s.refusal(resp, caller, bound)
	}
	got, err := read(resp.Body, began)
	if err != nil {
		s.refused(caller, bound)
		return nil, err
	}
	s.settle(r, caller, body, bound, got)
	return got, nil
}

func (s *sender) open(r *http.Request, caller Caller, body []byte) (int64, error) {
	if s.config.Ledger == nil {
		return 0, nil
	}
	bound, err := s.config.Bound(r, body)
	if err != nil {
		return 0, err
	}
	s.config.Ledger.Open(caller.Account, bound)
	return bound, nil
}

func (s *sender) refused(caller Caller, bound int64) bool {
	return s.config.Ledger != nil && s.config.Ledger.Refuse(caller.Account, bound)
}

func (s *sender) settle(r *http.Request, caller Caller, body []byte, bound int64, got *seen) {
	s.report.count(&s.report.answered, 1)
	s.report.count(&s.report.tokens, got.output)
	if s.config.Ledger == nil {
		return
	}
	cost := s.config.Cost(r, body, got.input, got.cached, got.output)
	s.config.Ledger.Settle(caller.Account, bound, cost)
	s.report.count(&s.report.spent, cost)
}

type failureText struct {
	Error struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	} `json:"error"`
}

func (s *sender) refusal(resp *http.Response, caller Caller, bound int64) error {
	var f failureText
	if err := json.NewDecoder(resp.Body).Decode(&f); err != nil {
		s.refused(caller, bound)
		return errors.Wrapf(err, "status %d without a reason", resp.StatusCode)
	}
	couldPay := s.refused(caller, bound)
	onBudget := f.Error.Code == string(call.BudgetExhausted) || f.Error.Code == string(call.BudgetUnreachable)
	s.report.refuse(f.Error.Code, couldPay && onBudget)
	if resp.Header.Get(call.OutcomeHeader) != string(call.NotRun) {
		s.report.count(&s.report.unsure, 1)
	}
	return nil
}

type answerText struct {
	Choices []struct {
		Message messageText `json:"message"`
		Delta   messageText `json:"delta"`
	} `json:"choices"`
	Usage *engine.Usage `json:"usage"`
}

// readWhole reads an answer that comes in one piece.
func (s *sender) readWhole(body io.Reader, _ time.Time) (*seen, error) {
	data, err := io.ReadAll(body)
	if err != nil {
		return nil, err
	}
	var a answerText
	if err := json.Unmarshal(data, &a); err != nil {
		return nil, err
	}
	got := &seen{text: string(data)}
	if len(a.Choices) > 0 {
		got.text = a.Choices[0].Message.Content
	}
	got.count(a.Usage)
	return got, nil
}

func (g *seen) count(u *engine.Usage) {
	if u != nil {
		g.input, g.cached, g.output = u.Prompt, u.Details.Cached, u.Completion
	}
}

// readStream reads server-sent events up to the end mark.
func (s *sender) readStream(body io.Reader, began time.Time) (*seen, error) {
	got := &seen{}
	var text strings.Builder
	for e, err := range sse.Read(body, nil) {
		if err != nil {
			return nil, err
		}
		if e.Data == "[DONE]" {
			got.text = text.String()
			return got, nil
		}
		var a answerText
		if err := json.Unmarshal([]byte(e.Data), &a); err != nil {
			return nil, err
		}
		for _, c := range a.Choices {
			text.WriteString(c.Delta.Content)
		}
		got.count(a.Usage)
		s.clock(got, began)
	}
	return nil, errors.New("the stream broke off")
}

// clock notes the time of a piece.
func (s *sender) clock(got *seen, began time.Time) {
	now := time.Now()
	if got.first.IsZero() {
		got.first = now
		s.report.time(s.report.first, now.Sub(began))
	} else {
		s.report.time(s.report.gap, now.Sub(got.last))
	}
	got.last = now
}
