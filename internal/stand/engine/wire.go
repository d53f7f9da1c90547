package engine

import (
	"encoding/json"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// StreamHeader is the request header with the ID of the stream to open. The
	// caller chooses the ID and later resumes or cancels the stream by it.
	StreamHeader = "Stream-Id"
	// PriorityHeader is the request header with the priority of a request, from 0,
	// the lowest, to 9, the highest. Requests with a higher priority run first.
	PriorityHeader = "Stream-Rank"
	// LeavingHeader is the header that is "true" on every response of an engine that
	// is leaving: it finishes the runs that it has and rejects new ones.
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

// Usage counts the tokens of one request and its response. Total is the sum of
// Prompt and Completion.
type Usage struct {
	Prompt     int64        `json:"prompt_tokens"`
	Completion int64        `json:"completion_tokens"`
	Total      int64        `json:"total_tokens"`
	Details    UsageDetails `json:"prompt_tokens_details"`
}

// UsageDetails counts the prompt tokens that were in the prefix cache.
type UsageDetails struct {
	Cached int64 `json:"cached_tokens"`
}

// Load is the load report of an engine, which callers read from /v1/load.
type Load struct {
	Running int  `json:"running"` // runs that hold a slot
	Waiting int  `json:"waiting"` // runs in the queue
	Slots   int  `json:"slots"`   // maximum number of concurrent runs
	Leaving bool `json:"leaving"` // the engine is leaving and rejects new runs
}

// delta is the text that an event adds to the response.
type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type choice struct {
	Index  int     `json:"index"`
	Delta  delta   `json:"delta"`
	Finish *string `json:"finish_reason"`
}

// chunk is the data of one event of a streamed response.
type chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// bytesPerToken is the number of bytes of a prompt that the engine counts as one
// token.
const bytesPerToken = 4

// Tokens returns the tokens that the engine generates for a request. They depend
// only on the request: a linear congruential generator with the constants of MMIX,
// seeded with a hash of the model and the prompt, picks each token from words. The
// number of tokens is between half of MaxTokens and MaxTokens, and at least one.
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

// words holds the 16 different tokens that the engine generates: words with their
// trailing space. SplitAfter also returns the empty string after the last space,
// which is cut off.
var words = strings.SplitAfter("cylinder valve batch reclaim charge seal tare weigh depot drum blend stock quote order sheet field ", " ")[:16]
