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
	// exhaustedRetry is the Retry-After time for an exhausted budget.
	exhaustedRetry = 30 * time.Second
	// unreachableRetry is the Retry-After time while the share is used up and the
	// platform is unreachable.
	unreachableRetry = 5 * time.Second
)

// Reserver reserves the cost of calls on budgets.
type Reserver struct {
	// Holder holds the shares of this instance.
	Holder *escrow.Holder
}

// PolicyOf returns the policy of a service for the shares of its budgets.
func PolicyOf(s *spec.Service) escrow.Policy {
	return escrow.Policy{OutageTolerance: s.OutageTolerance(), Unwitnessed: s.Unwitnessed()}
}

// Reserve reserves maxCost on the first budget of the call's account that has
// enough available. It waits only for the last budget in the document's order.
// Its error is a refusal.
func (r *Reserver) Reserve(ctx context.Context, c *call.Call, maxCost int64) (escrow.Hold, error) {
	budgets := c.Service().Budgets(c.Account())
	policy := PolicyOf(c.Service())
	request := escrow.ReserveRequest{Amount: maxCost, Priority: c.Priority()}
	var lastErr error
	for i, budget := range budgets {
		if i == len(budgets)-1 {
			request.Wait = c.Service().BudgetTimeout()
		}
		h, err := r.Holder.Reserve(ctx, budget, policy, request)
		if err == nil {
			return h, nil
		}
		lastErr = refusalOf(err, budget)
	}
	return escrow.Hold{}, lastErr
}

func refusalOf(err error, budget string) error {
	switch {
	case errors.Is(err, escrow.ErrExhausted):
		return call.Refuse(call.BudgetExhausted, "budget %s can't pay for the request", budget).RetryAfter(exhaustedRetry)
	case errors.Is(err, escrow.ErrNotFound):
		return call.Refuse(call.NoBudget, "there is no budget %s", budget)
	case errors.Is(err, escrow.ErrAmount):
		return call.Refuse(call.BadRequest, "the request's cost is out of range")
	default:
		return call.Refuse(call.BudgetUnreachable, "this instance's share of budget %s is used up and more is out of reach", budget).RetryAfter(unreachableRetry)
	}
}
