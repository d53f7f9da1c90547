package engine

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// prefixCache is a bounded LRU set of first messages of prompts, kept as hashes.
type prefixCache struct {
	capacity int
	hashes   []uint64 // least recently used first
}

// touch reports whether text is in the cache and makes it the most recent entry.
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
