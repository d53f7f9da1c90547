package accept

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cockroachdb/errors"

	"jacinthladder.dev/internal/entry/call"
	"jacinthladder.dev/internal/entry/price"
	"jacinthladder.dev/internal/fleet/config"
	"jacinthladder.dev/internal/plat/object"
)

// bearer is the bearer key of the client account that newParser configures.
const bearer = "jl-0123456789abcdef"

// newParser returns a parser for one client account, one model service with the model
// "m" and one plain service. The account has a budget for both services.
func newParser(t testing.TB) *Parser {
	t.Helper()
	account, err := json.Marshal(config.Account{Name: "a", Keys: []string{config.HashKey(bearer)}})
	if err != nil {
		t.Fatal(err)
	}
	cache := config.NewCache(nil, &log.Logger{Handler: discard.Default, Level: log.FatalLevel})
	cache.Merge("test", []object.Object{
		object.New(config.AccountKind, "a", 1, account),
		object.New(config.ServiceKind, "s", 2, []byte(`{"name":"s","kind":"model","models":["m"],"prices":{"input":1,"output":2},"budgets":{"a":["b"]},"endpoints":[{"name":"e","zone":"z","url":"http://127.0.0.1:1","slots":1}]}`)),
		object.New(config.ServiceKind, "p", 3, []byte(`{"name":"p","kind":"plain","budgets":{"a":["b"]},"endpoints":[{"name":"e","zone":"z","url":"http://127.0.0.1:1","slots":1}]}`)),
	})
	return &Parser{Config: cache.Snapshot, MaxBody: 1 << 16}
}

// FuzzChat parses arbitrary bodies of chat completions requests. The result must be a
// refusal with the outcome not-run, or a call. The maximum cost of a call must cover
// the request that is sent to the engine.
func FuzzChat(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":5,"stream":true}`))
	f.Add([]byte(`{"model":"m","messages":[],"n":2}`))
	f.Add([]byte(`{"model":"m","messages":[1],"max_tokens":-1,"max_completion_tokens":9223372036854775807}`))
	f.Add([]byte(`{"model":"m","messages":[{}],"stream_options":null}`))
	f.Add([]byte(`[]`))
	parser := newParser(f)
	f.Fuzz(func(t *testing.T, body []byte) {
		r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", bytes.NewReader(body))
		r.Header.Set("Authorization", "Bearer "+bearer)
		c, err := parser.Chat(httptest.NewRecorder(), r)
		if err != nil {
			var refused *call.Refusal
			if !errors.As(err, &refused) || refused.Outcome() != call.NotRun {
				t.Fatalf("Parser.Chat returned error %v, want a refusal with outcome not-run", err)
			}
			return
		}
		var sent struct {
			MaxTokens int64 `json:"max_tokens"`
			Stream    bool  `json:"stream"`
		}
		if err := json.Unmarshal(c.Chat().Body, &sent); err != nil || sent.MaxTokens != c.Chat().MaxTokens || !sent.Stream {
			t.Fatalf("the body of the request to the engine is %s, want valid JSON that asks for a stream with max_tokens %d; error of decoding the body: %v", c.Chat().Body, c.Chat().MaxTokens, err)
		}
		if maxCost, err := price.MaxCost(c); err != nil || maxCost < 2*sent.MaxTokens+int64(len(body)) {
			t.Fatalf("MaxCost returned %d and error %v, want no error and at least 2 for each token of max_tokens and 1 for each byte of the body", maxCost, err)
		}
	})
}

// TestParserRefusals checks the code of the refusal for each invalid chat completions
// request.
func TestParserRefusals(t *testing.T) {
	parser := newParser(t)
	for name, want := range map[string]struct {
		key, body string
		code      call.Code
	}{
		"no key":        {"", `{}`, call.Unauthorized},
		"wrong key":     {"jl-0123456789abcdeg", `{}`, call.Unauthorized},
		"malformed":     {bearer, `{`, call.BadRequest},
		"too large":     {bearer, `{"model":"` + string(make([]byte, 1<<16)) + `"}`, call.TooLarge},
		"no messages":   {bearer, `{"model":"m"}`, call.BadRequest},
		"two answers":   {bearer, `{"model":"m","messages":[{}],"n":2}`, call.BadRequest},
		"zero tokens":   {bearer, `{"model":"m","messages":[{}],"max_tokens":0}`, call.BadRequest},
		"many tokens":   {bearer, `{"model":"m","messages":[{}],"max_tokens":4097}`, call.BadRequest},
		"overflow":      {bearer, `{"model":"m","messages":[{}],"max_tokens":9223372036854775808}`, call.BadRequest},
		"unknown model": {bearer, `{"model":"x","messages":[{}]}`, call.UnknownModel},
	} {
		r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", bytes.NewReader([]byte(want.body)))
		if want.key != "" {
			r.Header.Set("Authorization", "Bearer "+want.key)
		}
		_, err := parser.Chat(httptest.NewRecorder(), r)
		var refused *call.Refusal
		if !errors.As(err, &refused) || refused.Code() != want.code || refused.Outcome() != call.NotRun {
			t.Errorf("%s: Parser.Chat returned error %v, want a refusal with code %s and outcome not-run", name, err, want.code)
		}
	}
}
