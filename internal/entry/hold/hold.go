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
	// exhaustedRetry is the time in the header Retry-After of a refusal because the
	// budget is exhausted.
	exhaustedRetry = 30 * time.Second
	// unreachableRetry is the time in the header Retry-After of a refusal because this
	// instance's share of the budget is used up and the platform is unreachable.
	unreachableRetry = 5 * time.Second
)

// Reserver reserves the maximum cost of each call on a budget of its client account.
type Reserver struct {
	// Holder holds this instance's shares of the budgets and reserves amounts on them.
	Holder *escrow.Holder
}

// PolicyOf returns the escrow policy that the service document s sets for the shares
// of its budgets. OutageTolerance is how long a share should last while the platform
// is unreachable. Unwitnessed is the amount, in micro-units, that may be spent beyond
// the bound that witnesses (other instances) have acknowledged.
func PolicyOf(s *spec.Service) escrow.Policy {
	return escrow.Policy{OutageTolerance: s.OutageTolerance(), Unwitnessed: s.Unwitnessed()}
}

// Reserve reserves maxCost, in micro-units, on the first budget of the call's client
// account that has this amount available. It tries the budgets in the order of the
// service document. At the last budget it also waits until open reservations of other
// calls are settled, but no longer than the service's budget time-out. If no
// reservation succeeds, the error is the refusal for the last budget.
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

// refusalOf returns the refusal that the caller gets if a reservation on a budget
// fails with the error err of package escrow.
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
