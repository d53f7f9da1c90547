package trial

import (
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"jacinthladder.dev/internal/entry/call"
)

// newOpenAIClient returns an OpenAI client with the key of a client account. It
// calls the first instance and makes no retries.
func newOpenAIClient(f *Fleet, key string) openai.Client {
	return openai.NewClient(option.WithBaseURL(f.URLs()[0]+"/v1"), option.WithAPIKey(key), option.WithMaxRetries(0))
}

// chatParams returns a chat completions request for a model, with one message and 32
// max_tokens.
func chatParams(model string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:     model,
		MaxTokens: openai.Int(32),
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("Draft a certificate.")},
	}
}

func TestOpenAIClientGetsResponses(t *testing.T) {
	f := startFleet(t, nil)
	api := newOpenAIClient(f, f.Keys["field-north"])
	unstreamed, err := api.Chat.Completions.New(t.Context(), chatParams("draft-small"))
	if err != nil {
		t.Fatal(err)
	}
	q := chatParams("draft-small")
	q.StreamOptions.IncludeUsage = openai.Bool(true)
	stream := api.Chat.Completions.NewStreaming(t.Context(), q)
	var text strings.Builder
	var output int64
	for stream.Next() {
		for _, c := range stream.Current().Choices {
			text.WriteString(c.Delta.Content)
		}
		output += stream.Current().Usage.CompletionTokens
	}
	if err := stream.Err(); err != nil {
		t.Fatal(err)
	}
	if got := unstreamed.Choices[0].Message.Content; got == "" || got != text.String() {
		t.Errorf("got text %q without streaming and %q with streaming, want the same text and not an empty one", got, text.String())
	}
	if output == 0 || output != unstreamed.Usage.CompletionTokens {
		t.Errorf("got %d output tokens in the usage with streaming and %d without, want the same number and not 0", output, unstreamed.Usage.CompletionTokens)
	}
	models, err := api.Models.List(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if len(models.Data) != 2 || models.Data[0].ID != "draft-large" {
		t.Errorf("list of models: got %+v, want two models and draft-large as the first", models.Data)
	}
}

func TestOpenAIClientGetsErrors(t *testing.T) {
	f := startFleet(t, func(c *Config) { c.Budgets["training-main"] = 1 })
	for name, want := range map[string]struct {
		key, model string
		status     int
		code       call.Code
	}{
		"no key":     {"nobody", "draft-small", http.StatusUnauthorized, call.Unauthorized},
		"no model":   {f.Keys["field-north"], "draft-none", http.StatusNotFound, call.UnknownModel},
		"no budget":  {f.Keys["training"], "draft-small", http.StatusPaymentRequired, call.BudgetExhausted},
		"no message": {f.Keys["field-north"], "", http.StatusBadRequest, call.BadRequest},
	} {
		api := newOpenAIClient(f, want.key)
		_, err := api.Chat.Completions.New(t.Context(), chatParams(want.model))
		var refused *openai.Error
		if !errors.As(err, &refused) {
			t.Fatalf("chat request with %s: got error %v, want an *openai.Error", name, err)
		}
		if refused.StatusCode != want.status || refused.Code != string(want.code) {
			t.Errorf("chat request with %s: got status %d and code %s, want status %d and code %s", name, refused.StatusCode, refused.Code, want.status, want.code)
		}
		if got := refused.Response.Header.Get(call.OutcomeHeader); got != string(call.NotRun) {
			t.Errorf("chat request with %s: got outcome %q, want not-run", name, got)
		}
	}
}
