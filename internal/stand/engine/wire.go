package engine

import (
	"encoding/json"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// StreamHeader carries the ID of a stream, chosen by the caller.
	StreamHeader = "Stream-Id"
	// PriorityHeader carries the priority of a request, 0 to 9. Requests with a higher
	// priority run first.
	PriorityHeader = "Stream-Rank"
	// LeavingHeader is set to "true" on every response of a leaving endpoint.
	LeavingHeader = "Endpoint-Leaving"
)

// Request is the part of a chat completions request that the engine reads.
type Request struct {
	Model     string            `json:"model"`
	Messages  []json.RawMessage `json:"messages"`
	MaxTokens int64             `json:"max_tokens"`
}

// prompt returns the concatenated JSON of the request's messages.
func (r Request) prompt() string {
	var b strings.Builder
	for _, m := range r.Messages {
		b.Write(m)
	}
	return b.String()
}

// Usage counts the tokens of a run.
type Usage struct {
	Prompt     int64        `json:"prompt_tokens"`
	Completion int64        `json:"completion_tokens"`
	Total      int64        `json:"total_tokens"`
	Details    UsageDetails `json:"prompt_tokens_details"`
}

// UsageDetails counts the prompt tokens that were cached.
type UsageDetails struct {
	Cached int64 `json:"cached_tokens"`
}

// Load is the engine's load report.
type Load struct {
	Running int  `json:"running"`
	Waiting int  `json:"waiting"`
	Slots   int  `json:"slots"`
	Leaving bool `json:"leaving"`
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type choice struct {
	Index  int     `json:"index"`
	Delta  delta   `json:"delta"`
	Finish *string `json:"finish_reason"`
}

type chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// bytesPerToken is the mean number of bytes of a prompt token.
const bytesPerToken = 4

// Tokens returns the tokens that the engine generates for a request. They depend
// only on the request: a linear congruential generator with the constants of MMIX,
// seeded with a hash of the model and the prompt, picks each token from words.
func Tokens(q Request) []string {
	seed := xxhash.Sum64String(q.Model + "\x00" + q.prompt())
	limit := max(q.MaxTokens, 1)
	count := limit - int64(seed%uint64(limit/2+1))
	tokens := make([]string, count)
	for i := range tokens {
		seed = seed*6364136223846793005 + 1442695040888963407
		tokens[i] = words[seed>>33%uint64(len(words))]
	}
	return tokens
}

// words holds 16 words, each with its trailing space. SplitAfter also returns the
// empty string after the last space, which is cut off.
var words = strings.SplitAfter("cylinder valve batch reclaim charge seal tare weigh depot drum blend stock quote order sheet field ", " ")[:16]
