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

// scored is a candidate with its score for a key.
type scored struct {
	name  string
	score uint64
}

// compare orders candidates from the best one to the worst.
func compare(a, b scored) int {
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
}

// Rank returns the candidates in descending order of their score for a key, the best
// one first. Candidates with equal scores are in ascending order of name.
func Rank(key string, candidates []string) []string {
	return Pick(key, candidates, len(candidates))
}

// Pick returns the first count candidates of the ranking for a key, such as the ID
// of the member that uses them. It returns all candidates if there are fewer.
func Pick(key string, candidates []string, count int) []string {
	count = min(count, len(candidates))
	if count <= 0 {
		return nil
	}
	best := make([]scored, 0, 2*count)
	var least uint64 // score below which a candidate is not among the best
	for _, c := range candidates {
		score := Score(key, c)
		if score < least {
			continue
		}
		best = append(best, scored{name: c, score: score})
		if len(best) == cap(best) {
			best = keepBest(best, count)
			least = best[count-1].score
		}
	}
	best = keepBest(best, count)
	names := make([]string, len(best))
	for i, s := range best {
		names[i] = s.name
	}
	return names
}

// keepBest returns the first count of the candidates in order.
func keepBest(candidates []scored, count int) []scored {
	slices.SortFunc(candidates, compare)
	return candidates[:min(count, len(candidates))]
}

// mix spreads the bits of a hash over the whole value, by the first round of
// MurmurHash3's finalizer.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	return h
}
