package price

import (
	"fmt"
	"math"
	"math/big"
	"testing"

	"pgregory.net/rapid"

	"jacinthladder.dev/internal/conf/spec"
	"jacinthladder.dev/internal/entry/call"
	"jacinthladder.dev/internal/tools/seeds"
)

// TestMain runs the tests with a fixed seed and 100 random cases each, unless flags on
// the command line say otherwise.
func TestMain(m *testing.M) { seeds.Main(m, "100") }

// TestCostAgainstBigIntegers compares the result of MaxCost with the same cost in
// big-integer arithmetic. It also checks that the cost of a usage within the bounds of
// a call is not above the maximum cost of the call.
func TestCostAgainstBigIntegers(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		in := rapid.Int64Range(0, spec.MaxPrice).Draw(r, "input price")
		cached := rapid.Int64Range(0, in).Draw(r, "cached price")
		out := rapid.Int64Range(0, spec.MaxPrice).Draw(r, "output price")
		src := fmt.Sprintf(`{"name":"s","kind":"model","models":["m"],"prices":{"input":%d,"cached":%d,"output":%d},"budgets":{"a":["b"]},"endpoints":[{"name":"e","zone":"z","url":"http://127.0.0.1:1","slots":1}]}`, in, cached, out)
		s, err := spec.Parse("s", []byte(src), 1)
		if err != nil {
			r.Fatal(err)
		}
		prompt := rapid.Int64Range(0, math.MaxInt64).Draw(r, "prompt")
		tokens := rapid.Int64Range(0, math.MaxInt64).Draw(r, "tokens")
		c := call.NewChat("r", "a", "", 0, s, call.Chat{PromptTokens: prompt, MaxTokens: tokens})
		exact := new(big.Int).Add(product(prompt, in), product(tokens, out))
		maxCost, err := MaxCost(c)
		if exact.IsInt64() != (err == nil) || err == nil && maxCost != exact.Int64() {
			r.Fatalf("MaxCost returned %d and error %v, want cost %s, or an error if that does not fit into an int64", maxCost, err, exact)
		}
		if err != nil {
			return
		}
		u := Usage{
			Input:  rapid.Int64Range(0, prompt).Draw(r, "input"),
			Cached: rapid.Int64Range(-5, prompt).Draw(r, "cached"),
			Output: rapid.Int64Range(0, tokens).Draw(r, "output"),
		}
		if cost := Cost(c, u); cost < 0 || cost > maxCost {
			r.Fatalf("Cost returned %d for the usage %+v, want at least 0 and at most the maximum cost %d", cost, u, maxCost)
		}
	})
}

// product returns the exact product of a and b.
func product(a, b int64) *big.Int { return new(big.Int).Mul(big.NewInt(a), big.NewInt(b)) }
