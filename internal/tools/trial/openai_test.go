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

// chatParams returns a chat completions request for a model.
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
		t.Errorf("text %q, streamed text %q, want equal and not empty", got, text.String())
	}
	if output == 0 || output != unstreamed.Usage.CompletionTokens {
		t.Errorf("usage %d with streaming, %d without, want equal and not 0", output, unstreamed.Usage.CompletionTokens)
	}
	models, err := api.Models.List(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if len(models.Data) != 2 || models.Data[0].ID != "draft-large" {
		t.Errorf("models %+v, want two, the first draft-large", models.Data)
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
			t.Fatalf("%s: error %v, want an *openai.Error", name, err)
		}
		if refused.StatusCode != want.status || refused.Code != string(want.code) {
			t.Errorf("%s: status %d, code %s, want status %d, code %s", name, refused.StatusCode, refused.Code, want.status, want.code)
		}
		if got := refused.Response.Header.Get(call.OutcomeHeader); got != string(call.NotRun) {
			t.Errorf("%s: outcome %q, want not-run", name, got)
		}
	}
}
