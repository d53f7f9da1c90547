package engine

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// cache remembers the first message of recent prompts, oldest first.
type cache struct {
	most int
	keys []uint64
}

// touch reports whether text was in the cache and puts it there.
func (c *cache) touch(text []byte) bool {
	k := xxhash.Sum64(text)
	i := slices.Index(c.keys, k)
	if i >= 0 {
		c.keys = slices.Delete(c.keys, i, i+1)
	}
	c.keys = append(c.keys, k)
	if len(c.keys) > c.most {
		c.keys = c.keys[1:]
	}
	return i >= 0
}

func (c *cache) clear() { c.keys = nil }
