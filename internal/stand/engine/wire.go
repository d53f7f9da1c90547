package engine

import (
	"encoding/json"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// StreamHeader carries the id that the caller gives a stream.
	StreamHeader = "Stream-Id"
	// RankHeader carries the priority of a request, 0 to 9, higher first.
	RankHeader = "Stream-Rank"
	// LeavingHeader is set to "true" on every answer of a leaving endpoint.
	LeavingHeader = "Endpoint-Leaving"
)

// Request is the part of a chat completions request that the engine reads.
type Request struct {
	Model     string            `json:"model"`
	Messages  []json.RawMessage `json:"messages"`
	MaxTokens int64             `json:"max_tokens"`
}

// prompt returns the request's messages as one text.
func (r Request) prompt() string {
	var b strings.Builder
	for _, m := range r.Messages {
		b.Write(m)
	}
	return b.String()
}

// Usage is what a run cost in tokens.
type Usage struct {
	Prompt     int64        `json:"prompt_tokens"`
	Completion int64        `json:"completion_tokens"`
	Total      int64        `json:"total_tokens"`
	Details    UsageDetails `json:"prompt_tokens_details"`
}

// UsageDetails splits the prompt tokens.
type UsageDetails struct {
	Cached int64 `json:"cached_tokens"`
}

// Load is the engine's own report of its load.
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

// bytesPerToken is the mean size of a token in a prompt.
const bytesPerToken = 4

// Answer returns the tokens that the engine makes for a request.
func Answer(r Request) []string {
	seed := xxhash.Sum64String(r.Model + "\x00" + r.prompt())
	most := max(r.MaxTokens, 1)
	count := most - int64(seed%uint64(most/2+1))
	tokens := make([]string, count)
	for i := range tokens {
		seed = seed*6364136223846793005 + 1442695040888963407
		tokens[i] = words[seed>>33%uint64(len(words))]
	}
	return tokens
}

var words = strings.SplitAfter("cylinder valve batch reclaim charge seal tare weigh depot drum blend stock quote order sheet field ", " ")[:16]
