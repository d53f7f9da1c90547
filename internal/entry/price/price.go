package price

import (
	"math"

	"jacinthladder.dev/internal/conf/spec"
	"jacinthladder.dev/internal/entry/call"
)

// Usage is what an engine reports of one run, in tokens.
type Usage struct {
	Input  int64
	Cached int64
	Output int64
}

// MaxCost returns the most that c can cost. It fails with a refusal if the
// product does not fit an amount.
func MaxCost(c *call.Call) (int64, error) {
	p := c.Service().Prices()
	if c.Service().Kind() == spec.KindPlain {
		return p.Call(), nil
	}
	input, ok := times(c.Chat().PromptTokens, p.Input())
	output, fits := times(c.Chat().MaxTokens, p.Output())
	if !ok || !fits || input > math.MaxInt64-output {
		return 0, call.Refuse(call.BadRequest, "the request's cost is out of range")
	}
	return input + output, nil
}

// Cost returns what c did cost. Counts below 0 cost nothing, and no more
// tokens are taken as cached than there were.
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
		cost, ok := times(part.count, part.price)
		if !ok || sum > math.MaxInt64-cost {
			return math.MaxInt64
		}
		sum += cost
	}
	return sum
}

// times multiplies two amounts of at least 0 and reports whether the product
// fits.
func times(a, b int64) (int64, bool) {
	if a == 0 || b == 0 {
		return 0, true
	}
	if a > math.MaxInt64/b {
		return math.MaxInt64, false
	}
	return a * b, true
}
