package subset

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Score returns the rendezvous hashing score of a candidate for a key. The candidate
// with the highest score ranks first.
func Score(key, candidate string) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{key, "\x00", candidate} {
		if _, err := d.WriteString(part); err != nil {
			panic(err) // a hash accepts any input
		}
	}
	return mix(d.Sum64())
}

// Rank returns the candidates in descending order of their score for a key, the best
// one first. Candidates with equal scores are in ascending order of name.
func Rank(key string, candidates []string) []string {
	type scored struct {
		name  string
		score uint64
	}
	all := make([]scored, len(candidates))
	for i, c := range candidates {
		all[i] = scored{name: c, score: Score(key, c)}
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

// Pick returns the first count candidates of the ranking for a key, such as the ID
// of the member that uses them. It returns all candidates if there are fewer.
func Pick(key string, candidates []string, count int) []string {
	ranked := Rank(key, candidates)
	return ranked[:min(count, len(ranked))]
}

// mix spreads the bits of a hash over the whole value, by the first round of
// MurmurHash3's finalizer.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	return h
}
