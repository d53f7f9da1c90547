package accept

import (
	"bytes"
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"jacinthladder.dev/internal/conf/spec"
	"jacinthladder.dev/internal/entry/call"
)

const (
	// tokensPerMessage is an upper bound of the number of tokens that an engine's chat
	// template adds to each message of the prompt.
	tokensPerMessage = 16
	// maxMessages is the maximum number of messages in one request. A request with
	// more messages is refused.
	maxMessages = 10_000
)

// chatText holds the fields of a chat completions request that the fleet reads.
// The engine gets the other fields unchanged. The name of the type is part of the
// decoding errors that callers get.
type chatText struct {
	Model               string            `json:"model"`
	Messages            []json.RawMessage `json:"messages"`
	MaxTokens           *int64            `json:"max_tokens"`
	MaxCompletionTokens *int64            `json:"max_completion_tokens"`
	Stream              bool              `json:"stream"`
	Choices             *int64            `json:"n"`
	Options             *struct {
		Usage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// chatRequest is a decoded chat completions request.
type chatRequest struct {
	fields chatText
	raw    map[string]json.RawMessage // all fields of the body, still encoded as JSON
	model  string
	size   int64 // size of the body, in bytes
}

const (
	// parsedCopies is how often a body is copied while it is decoded and encoded for the engine.
	parsedCopies = 3
	// elementBytes is what each field or element of a body takes beyond its text, in bytes.
	elementBytes = 112
)

// parsedBytes returns how much memory parseChat and withLimits take at most for a body.
func parsedBytes(body []byte) int64 {
	return int64(parsedCopies*len(body) + elementBytes*bytes.Count(body, []byte{','}))
}

// parseChat decodes and checks the body of a chat completions request. If the body is
// not valid, the error is a refusal.
func parseChat(body []byte) (*chatRequest, error) {
	q := &chatRequest{size: int64(len(body))}
	if err := json.Unmarshal(body, &q.fields); err != nil {
		return nil, call.Refuse(call.BadRequest, "the body is not a chat completions request: %s", err)
	}
	if err := json.Unmarshal(body, &q.raw); err != nil {
		return nil, call.Refuse(call.BadRequest, "the body is not an object: %s", err)
	}
	q.model = q.fields.Model
	switch {
	case q.model == "":
		return nil, call.Refuse(call.BadRequest, "model is missing")
	case len(q.fields.Messages) == 0:
		return nil, call.Refuse(call.BadRequest, "messages is missing or empty")
	case len(q.fields.Messages) > maxMessages:
		return nil, call.Refuse(call.BadRequest, "more than %d messages", maxMessages)
	case q.fields.Choices != nil && *q.fields.Choices != 1:
		return nil, call.Refuse(call.BadRequest, "n must be 1")
	}
	return q, nil
}

// withLimits returns the request that is sent to an engine of the service s, with
// upper bounds of its tokens. Its body sets max_tokens, so that the engine can't
// produce more tokens than are reserved. The body always asks the engine for a stream
// that ends with the usage, even if the caller wants one JSON object.
//
// The prompt counts as one token for each byte of the caller's body and
// tokensPerMessage for each message, which is an upper bound of its tokens. If the
// caller's max_tokens is out of the range that s allows, the error is a refusal.
func (q *chatRequest) withLimits(s *spec.Service) (call.Chat, error) {
	maxTokens := s.DefaultTokens()
	for _, m := range []*int64{q.fields.MaxTokens, q.fields.MaxCompletionTokens} {
		if m != nil {
			maxTokens = *m
		}
	}
	if maxTokens < 1 || maxTokens > s.MaxTokens() {
		return call.Chat{}, call.Refuse(call.BadRequest, "max_tokens must be between 1 and %d", s.MaxTokens())
	}
	delete(q.raw, "max_completion_tokens")
	for field, value := range map[string]any{
		"max_tokens":     maxTokens,
		"stream":         true,
		"stream_options": map[string]bool{"include_usage": true},
	} {
		data, err := json.Marshal(value)
		if err != nil {
			return call.Chat{}, call.Refuse(call.Failed, "encode: %s", err)
		}
		q.raw[field] = data
	}
	body, err := json.Marshal(q.raw)
	if err != nil {
		return call.Chat{}, call.Refuse(call.Failed, "encode: %s", err)
	}
	return call.Chat{
		Model:        q.model,
		Body:         body,
		PromptTokens: q.size + int64(len(q.fields.Messages))*tokensPerMessage,
		MaxTokens:    maxTokens,
		PrefixHash:   xxhash.Sum64(q.fields.Messages[0]),
		Stream:       q.fields.Stream,
		IncludeUsage: q.fields.Options != nil && q.fields.Options.Usage,
	}, nil
}
