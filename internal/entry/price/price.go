package price

import (
	"math"

	"jacinthladder.dev/internal/conf/spec"
	"jacinthladder.dev/internal/entry/call"
)

// Usage is the number of tokens that one run of a model call used, as its engine
// reports them.
type Usage struct {
	Input  int64 // tokens of the prompt, including the cached ones
	Cached int64 // tokens of the prompt that the engine reused from its cache
	Output int64 // tokens of the response
}

// MaxCost returns the maximum cost of c in micro-units. For a model service, that
// is the maximum number of prompt tokens at the uncached price plus the maximum number
// of response tokens at the output price. A call of a plain service has a fixed price.
// The error is a refusal: the maximum cost does not fit into an int64.
func MaxCost(c *call.Call) (int64, error) {
	p := c.Service().Prices()
	if c.Service().Kind() == spec.KindPlain {
		return p.Call(), nil
	}
	input, ok := multiply(c.Chat().PromptTokens, p.Input())
	output, fits := multiply(c.Chat().MaxTokens, p.Output())
	if !ok || !fits || input > math.MaxInt64-output {
		return 0, call.Refuse(call.BadRequest, "the request's cost is out of range")
	}
	return input + output, nil
}

// Cost returns the cost of c with the usage u, in micro-units. A call of a plain service
// has a fixed price, whatever its usage. Negative counts of tokens are taken as 0, and a
// cached count above the input count is reduced to the input count. A cost that does not
// fit into an int64 becomes math.MaxInt64.
func Cost(c *call.Call, u Usage) int64 {
	p := c.Service().Prices()
	if c.Service().Kind() == spec.KindPlain {
		return p.Call()
	}
	input := max(u.Input, 0)
	cached := min(max(u.Cached, 0), input)
	sum := int64(0)
	for _, part := range []struct{ count, price int64 }{
		{input - cached, p.Input()},
		{cached, p.Cached()},
		{max(u.Output, 0), p.Output()},
	} {
		cost, ok := multiply(part.count, part.price)
		if !ok || sum > math.MaxInt64-cost {
			return math.MaxInt64
		}
		sum += cost
	}
	return sum
}

// multiply returns the product of two non-negative numbers and true. If the product does
// not fit into an int64, it returns math.MaxInt64 and false.
func multiply(a, b int64) (int64, bool) {
	if a == 0 || b == 0 {
		return 0, true
	}
	if a > math.MaxInt64/b {
		return math.MaxInt64, false
	}
	return a * b, true
}
