package price

import (
	"math"

	"jacinthladder.dev/internal/conf/spec"
	"jacinthladder.dev/internal/entry/call"
)

// Usage is the usage of one run that an engine reports, in tokens.
type Usage struct {
	Input  int64
	Cached int64
	Output int64
}

// MaxCost returns the maximum cost of c. Its error is a refusal: the cost does
// not fit into an int64.
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

// Cost returns the actual cost of c. Negative counts are taken as 0, and a cached
// count above the input count is reduced to it. A cost that does not fit into an
// int64 becomes math.MaxInt64.
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

// multiply multiplies two non-negative numbers and reports whether the product
// fits into an int64.
func multiply(a, b int64) (int64, bool) {
	if a == 0 || b == 0 {
		return 0, true
	}
	if a > math.MaxInt64/b {
		return math.MaxInt64, false
	}
	return a * b, true
}
