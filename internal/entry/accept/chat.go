package accept

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"jacinthladder.dev/internal/conf/spec"
	"jacinthladder.dev/internal/entry/call"
)

const (
	// tokensPerMessage bounds what an engine's template adds to a message.
	tokensPerMessage = 16
	// maxMessages bounds the messages of one request.
	maxMessages = 10_000
)

// chatFields is the part of a chat completions request that the fleet reads.
// The engine gets the other fields as they are.
type chatFields struct {
	Model         string            `json:"model"`
	Messages      []json.RawMessage `json:"messages"`
	MaxTokens     *int64            `json:"max_tokens"`
	MaxCompletion *int64            `json:"max_completion_tokens"`
	Stream        bool              `json:"stream"`
	Count         *int64            `json:"n"`
	Options       *struct {
		Usage bool `json:"include_usage"`
	} `json:"stream_options"`
}

type chatRequest struct {
	text  chatFields
	all   map[string]json.RawMessage
	model string
	size  int64
}

func parseChat(body []byte) (*chatRequest, error) {
	q := &chatRequest{size: int64(len(body))}
	if err := json.Unmarshal(body, &q.text); err != nil {
		return nil, call.Refuse(call.BadRequest, "the body is not a chat completions request: %s", err)
	}
	if err := json.Unmarshal(body, &q.all); err != nil {
		return nil, call.Refuse(call.BadRequest, "the body is not an object: %s", err)
	}
	q.model = q.text.Model
	switch {
	case q.model == "":
		return nil, call.Refuse(call.BadRequest, "model is missing")
	case len(q.text.Messages) == 0:
		return nil, call.Refuse(call.BadRequest, "messages is missing or empty")
	case len(q.text.Messages) > maxMessages:
		return nil, call.Refuse(call.BadRequest, "more than %d messages", maxMessages)
	case q.text.Count != nil && *q.text.Count != 1:
		return nil, call.Refuse(call.BadRequest, "n must be 1")
	}
	return q, nil
}

// bounded returns the call with max_tokens set, so that the engine can't make
// more than was reserved for.
func (q *chatRequest) bounded(s *spec.Service) (call.Chat, error) {
	most := s.DefaultTokens()
	for _, m := range []*int64{q.text.MaxTokens, q.text.MaxCompletion} {
		if m != nil {
			most = *m
		}
	}
	if most < 1 || most > s.MaxTokens() {
		return call.Chat{}, call.Refuse(call.BadRequest, "max_tokens must be between 1 and %d", s.MaxTokens())
	}
	delete(q.all, "max_completion_tokens")
	for field, value := range map[string]any{
		"max_tokens":     most,
		"stream":         true,
		"stream_options": map[string]bool{"include_usage": true},
	} {
		data, err := json.Marshal(value)
		if err != nil {
			return call.Chat{}, call.Refuse(call.Failed, "encode: %s", err)
		}
		q.all[field] = data
	}
	body, err := json.Marshal(q.all)
	if err != nil {
		return call.Chat{}, call.Refuse(call.Failed, "encode: %s", err)
	}
	return call.Chat{
		Model:        q.model,
		Body:         body,
		PromptTokens: q.size + int64(len(q.text.Messages))*tokensPerMessage,
		MaxTokens:    most,
		PrefixHash:   xxhash.Sum64(q.text.Messages[0]),
		Stream:       q.text.Stream,
		IncludeUsage: q.text.Options != nil && q.text.Options.Usage,
	}, nil
}
