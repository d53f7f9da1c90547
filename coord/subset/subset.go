package subset

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Score returns the rank of a candidate for an owner; the highest is first.
func Score(owner, candidate string) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{owner, "\x00", candidate} {
		if _, err := d.WriteString(part); err != nil {
			panic(err) // a hash takes any text
		}
	}
	return mix(d.Sum64())
}

// Rank returns the candidates in the owner's order, the first the best.
func Rank(owner string, candidates []string) []string {
	type scored struct {
		name  string
		score uint64
	}
	all := make([]scored, len(candidates))
	for i, c := range candidates {
		all[i] = scored{name: c, score: Score(owner, c)}
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
	})
	names := make([]string, len(all))
	for i, s := range all {
		names[i] = s.name
	}
	return names
}

// Pick returns the owner's first count candidates, all of them if there are no
// more.
func Pick(owner string, candidates []string, count int) []string {
	ranked := Rank(owner, candidates)
	return ranked[:min(count, len(ranked))]
}

// mix spreads the bits of a hash.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	return h
}
