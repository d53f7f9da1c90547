package hold

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"jacinthladder.dev/coord/escrow"
	"jacinthladder.dev/internal/conf/spec"
	"jacinthladder.dev/internal/entry/call"
)

const (
	// topUpTime is when a caller whose budget is exhausted is told to come back.
	topUpTime = 30 * time.Second
	// awayTime is when a caller is told to come back while the platform is away.
	awayTime = 5 * time.Second
)

// Reserver reserves budget.
type Reserver struct {
	// Holder keeps the shares of this instance.
	Holder *escrow.Holder
}

// PolicyOf returns how a service wants the shares of its budgets kept.
func PolicyOf(s *spec.Service) escrow.Policy {
	return escrow.Policy{OutageTolerance: s.OutageTime(), Unwitnessed: s.EscrowSlack()}
}

// Reserve reserves bound on the first budget of the call's account that has room.
// Only the last budget in the document's order is waited for. It fails with a
// refusal.
func (d *Reserver) Reserve(ctx context.Context, c *call.Call, bound int64) (escrow.Hold, error) {
	budgets := c.Service().Budgets(c.Account())
	p := PolicyOf(c.Service())
	n := escrow.ReserveRequest{Amount: bound, Priority: c.Priority()}
	var last error
	for i, b := range budgets {
		if i == len(budgets)-1 {
			n.Wait = c.Service().BudgetTimeout()
		}
		h, err := d.Holder.Reserve(ctx, b, p, n)
		if err == nil {
			return h, nil
		}
		last = refusal(err, b)
	}
	return escrow.Hold{}, last
}

func refusal(err error, budget string) error {
	switch {
	case errors.Is(err, escrow.ErrExhausted):
		return call.Refuse(call.BudgetExhausted, "budget %s can't pay for the request", budget).RetryAfter(topUpTime)
	case errors.Is(err, escrow.ErrNotFound):
		return call.Refuse(call.NoBudget, "there is no budget %s", budget)
	case errors.Is(err, escrow.ErrAmount):
		return call.Refuse(call.BadRequest, "the request's cost is out of range")
	default:
		return call.Refuse(call.BudgetUnreachable, "this instance's share of budget %s is used up and more is out of reach", budget).RetryAfter(awayTime)
	}
}
