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
	// exhaustedRetry is the Retry-After time of a refusal for an exhausted budget.
	exhaustedRetry = 30 * time.Second
	// unreachableRetry is the Retry-After time of a refusal while this instance's
	// share of the budget is used up and the platform is unreachable.
	unreachableRetry = 5 * time.Second
)

// Reserver reserves the maximum cost of each call on a budget of its client account.
type Reserver struct {
	// Holder holds this instance's shares of all budgets.
	Holder *escrow.Holder
}

// PolicyOf returns the escrow policy that the service document s sets for shares of its
// budgets: how long a share should last while the platform is unreachable, and how much
// of it may be spent without a witness.
func PolicyOf(s *spec.Service) escrow.Policy {
	return escrow.Policy{OutageTolerance: s.OutageTolerance(), Unwitnessed: s.Unwitnessed()}
}

// Reserve reserves maxCost, in micro-units, on the first budget of the call's client
// account that has enough available. It tries the budgets in the order of the service
// document. Only at the last budget does it wait for reserved budget to be released, at
// most for the service's budget time-out. The error is the refusal for the last budget.
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

// refusalOf returns the refusal for an error of a reservation on budget.
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
