package engine

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// prefixCache remembers the first messages of prompts, as hashes. When it is full, it
// drops the hash of the least recently used message.
type prefixCache struct {
	capacity int      // maximum number of hashes
	hashes   []uint64 // of the messages, least recently used first
}

// touch makes text, the first message of a prompt, the most recently used entry. It
// adds the message if it is absent, and reports whether it was in the cache before.
func (c *prefixCache) touch(text []byte) bool {
	hash := xxhash.Sum64(text)
	i := slices.Index(c.hashes, hash)
	if i >= 0 {
		c.hashes = slices.Delete(c.hashes, i, i+1)
	}
	c.hashes = append(c.hashes, hash)
	if len(c.hashes) > c.capacity {
		c.hashes = c.hashes[1:]
	}
	return i >= 0
}

func (c *prefixCache) clear() { c.hashes = nil }
