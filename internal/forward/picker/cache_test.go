package picker

import (
	"fmt"
	"strings"
	"testing"

	"jacinthladder.dev/internal/forward/meta"
)

// Guards against callers that make a cache grow without an end, by parts without tokens or with long IDs.
func TestPromptCacheIsBounded(t *testing.T) {
	c := newPromptCache()
	for i := range 3 * maxParts {
		c.add([]meta.Part{{ID: fmt.Sprint("empty-", i)}}, 1000)
		c.add([]meta.Part{{ID: "first", Tokens: 1}, {ID: fmt.Sprint(strings.Repeat("x", 10_000), i), Tokens: 0}}, 1000)
	}
	if len(c.byID) > maxParts || c.lru.Len() != len(c.byID) {
		t.Errorf("the cache has %d parts and %d in their order, want at most %d and as many", len(c.byID), c.lru.Len(), maxParts)
	}
	for id := range c.byID {
		if len(id) > maxPartID {
			t.Errorf("the cache has an ID of %d bytes, want at most %d", len(id), maxPartID)
		}
	}
	if got := c.cachedTokens([]meta.Part{{ID: "first", Tokens: 1}}); got != 1 {
		t.Errorf("the cache has %d tokens of the part used last, want 1", got)
	}
}
