package poison

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"jacinthladder.dev/internal/forward/meta"
)

// Trait is something that requests have in common.
type Trait struct {
	name string
	rank int // of two traits that explain the same crashes, the one with the higher rank is the cause
}

// Name returns the name of the trait, which is unique among traits.
func (t Trait) Name() string { return t.name }

// Same reports whether all requests with the trait are the same request, sent again.
func (t Trait) Same() bool { return strings.HasPrefix(t.name, requestPrefix) }

const (
	// digestRank is the rank of the digest of a request with a prompt. Requests with different
	// prompts can have the same digest, so it is the cause only of what nothing else explains.
	digestRank = 0
	// firstPartRank is the rank of the first part of a prompt.
	firstPartRank = 1
	// requestRank is the rank of the trait that identifies a whole request. It exceeds the rank
	// of any part of a prompt.
	requestRank = 1 << 20
	// requestPrefix begins the names of the traits of whole requests.
	requestPrefix = "request "
	// maxNameLength is the largest length of a name in bytes. A longer one is replaced by its
	// hash.
	maxNameLength = 64
)

// PartTraits returns the traits of a prompt: its parts that other requests may share, which are
// all but the last.
func PartTraits(parts []meta.Part) []Trait {
	var traits []Trait
	for i := range len(parts) - 1 {
		traits = append(traits, Trait{name: boundedName(parts[i].ID), rank: firstPartRank + i})
	}
	return traits
}

// RequestTraits returns the traits of a request by which it is the same as another one: its
// digest, and if it has a prompt, its digest together with the parts of the prompt.
func RequestTraits(digest string, parts []meta.Part) []Trait {
	name := requestPrefix + digest
	if len(parts) == 0 {
		return []Trait{{name: boundedName(name), rank: requestRank}}
	}
	var h xxhash.Digest
	h.Reset()
	for _, p := range parts {
		if _, err := h.WriteString(p.ID + ","); err != nil {
			panic(err) // a hash accepts any input
		}
	}
	return []Trait{
		{name: boundedName(name), rank: digestRank},
		{name: boundedName(name + "/" + strconv.FormatUint(h.Sum64(), 16)), rank: requestRank},
	}
}

// boundedName returns a name of at most maxNameLength bytes.
func boundedName(name string) string {
	if len(name) <= maxNameLength {
		return name
	}
	return strconv.FormatUint(xxhash.Sum64String(name), 16)
}
