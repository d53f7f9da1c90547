package picker

import (
	"container/list"

	"jacinthladder.dev/internal/forward/meta"
)

const (
	// maxParts is the largest number of parts that a cache remembers. Callers name the parts and their
	// tokens, so that the tokens alone do not bound the number.
	maxParts = 4096
	// maxPartID is the length of the longest ID of a part that a cache remembers, in bytes.
	maxPartID = 64
)

// promptCache estimates which prompt parts a model engine has in its KV cache. They
// are the parts that the engine has used most recently, up to a total number of
// tokens. The least recently used parts are evicted first.
type promptCache struct {
	tokens int64                    // total of all parts in lru
	byID   map[string]*list.Element // elements of lru by part ID
	lru    *list.List               // of meta.Part, most recently used first
}

func newPromptCache() *promptCache {
	return &promptCache{byID: map[string]*list.Element{}, lru: list.New()}
}

// cachedTokens returns the number of tokens in the longest prefix of a prompt whose
// parts are all in the cache.
func (c *promptCache) cachedTokens(prompt []meta.Part) int64 {
	var sum int64
	for _, part := range prompt {
		if c.byID[part.ID] == nil {
			break
		}
		sum += part.Tokens
	}
	return sum
}

// add records that the engine has prefilled a prompt. It then evicts parts, least
// recently used first, until at most maxParts remain, which have at most limit tokens together.
func (c *promptCache) add(prompt []meta.Part, limit int64) {
	for _, part := range prompt {
		if len(part.ID) > maxPartID {
			break // what follows it is not found without it either
		}
		if e := c.byID[part.ID]; e != nil {
			c.lru.MoveToFront(e)
			continue
		}
		c.byID[part.ID] = c.lru.PushFront(part)
		c.tokens += part.Tokens
	}
	for (c.tokens > limit || c.lru.Len() > maxParts) && c.lru.Len() > 0 {
		last := c.lru.Back()
		part := last.Value.(meta.Part)
		c.lru.Remove(last)
		delete(c.byID, part.ID)
		c.tokens -= part.Tokens
	}
}
