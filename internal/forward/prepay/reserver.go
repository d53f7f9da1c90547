// Package prepay reserves prepaid tokens for forwarded requests.
//
// Each metered client account has one escrow budget, counted in tokens and named
// after the account. The budget's paid-in total is raised to the account's prepaid
// total in the configuration and never decreases. Before a request is sent to an
// endpoint, the largest number of tokens that it can consume is reserved. When the
// request ends, the reservation is settled with the tokens that it has consumed.
package prepay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"jacinthladder.dev/coord/escrow"
	"jacinthladder.dev/internal/forward/route"
)

const (
	// maxMinTarget is the largest value of the least target of one instance's share of
	// a budget, as a fraction of the account's prepaid total. The least target applies
	// even before the instance knows the demand.
	maxMinTarget = 0.01
	// minTargets bounds the least targets of all shares of a budget together, as a
	// fraction of the account's prepaid total. It is what a budget without demand
	// loses if all instances are killed.
	minTargets = 0.03
	// floorFraction is the fraction of an account's prepaid total below which an
	// instance's share counts as almost empty.
	floorFraction = 0.001
	// toleranceAfterKill is the time that shares should last without the platform
	// after a process of this instance was killed.
	toleranceAfterKill = 3 * time.Second
	// maxReadAge is the largest age of the last reading of a budget's ledger at
	// which Reserve returns ErrExhausted. With an older reading it returns
	// ErrUnreachable.
	maxReadAge = 2 * time.Second
	// heldFraction bounds the tokens of a budget that the shares of all instances
	// together hold ahead of demand. It is a fraction of the tokens that are free in
	// the ledger or idle in shares. It is large enough for the shares to last
	// through some seconds without the platform. It is small enough that the loss of
	// the held tokens is acceptable.
	heldFraction = 0.5
)

// Reserver reserves prepaid tokens of client accounts for requests. Set the exported
// fields before use.
type Reserver struct {
	// Holder holds this instance's shares of the accounts' budgets.
	Holder *escrow.Holder
	// EmptyTTL returns how long a reading of a ledger that shows no free tokens
	// stays valid. Until then, the ledger is not read again for refills.
	EmptyTTL func() time.Duration
	// Drawing returns the number of instances that draw a budget from its ledger, at
	// least 1.
	Drawing func() int
	// EnsurePaid raises the paid-in total of a budget to total, in tokens. It does
	// nothing if the paid-in total is at least as high already.
	EnsurePaid func(ctx context.Context, budget string, total int64) error

	outageTolerance atomic.Int64 // nanoseconds
}

// SetOutageTolerance sets the time for which this instance's share of a budget
// should cover the current demand while the platform is unreachable.
func (r *Reserver) SetOutageTolerance(d time.Duration) { r.outageTolerance.Store(int64(d)) }

// Policy returns the policy of this instance's share of an account's budget. The
// least target and the floor are fractions of the account's prepaid total.
func (r *Reserver) Policy(a *route.Account) escrow.Policy {
	minTarget := min(maxMinTarget, minTargets/float64(r.Drawing()))
	return escrow.Policy{
		OutageTolerance:    time.Duration(r.outageTolerance.Load()),
		ToleranceAfterKill: toleranceAfterKill,
		MinTarget:          int64(float64(a.Prepaid) * minTarget),
		Floor:              int64(float64(a.Prepaid) * floorFraction),
		Fraction:           heldFraction,
		EmptyTTL:           r.EmptyTTL(),
	}
}

// Reserve reserves amount tokens of an account's budget for a request. It waits for
// at most the time wait until enough tokens are available. Of the waiting requests,
// the one with the lowest value of priority is served first.
//
// The errors are those of package escrow. Reserve returns ErrExhausted only if the
// last reading of the budget's ledger is at most maxReadAge old and shows less than
// amount free. If escrow returns ErrExhausted in any other case, Reserve returns
// ErrUnreachable instead.
func (r *Reserver) Reserve(ctx context.Context, a *route.Account, amount int64, priority int, wait time.Duration) (escrow.Hold, error) {
	request := escrow.ReserveRequest{Amount: amount, Priority: -priority, Wait: wait}
	h, err := r.Holder.Reserve(ctx, a.Name, r.Policy(a), request)
	if errors.Is(err, escrow.ErrExhausted) {
		if free, age := r.Stats(a).Free(); free >= amount || age > maxReadAge {
			err = errors.Wrapf(escrow.ErrUnreachable, "prepay: reserve tokens: the ledger of the budget was last read %s ago", age.Round(time.Millisecond))
		}
	}
	return h, err
}

// Stats returns the token counts of this instance's share of an account's budget,
// such as the idle and the reserved tokens.
func (r *Reserver) Stats(a *route.Account) escrow.Stats {
	return r.Holder.Share(a.Name, r.Policy(a)).Stats()
}

// Home returns the ID of the process that draws an account's budget from its ledger
// for all instances in this instance's zone.
func (r *Reserver) Home(a *route.Account) string { return r.Holder.Home(a.Name) }

// Sync prepares the budgets of all metered accounts of a configuration. First it
// raises the paid-in totals of budgets to the prepaid totals of their accounts. It
// does this only for budgets that this process draws from the ledger and whose
// totals are not known to be high enough. It then sets the policies of the budgets
// of all metered accounts. Finally it creates this instance's shares of the budgets
// that are known to be paid in, including those of accounts that it has not served
// yet.
//
// Paid maps the names of budgets to the paid-in totals that this process knows of.
// Sync updates the map, and the caller passes the same map to each call. The
// returned error combines the errors of all budgets whose paid-in total could not be
// raised. The other budgets are unaffected.
func (r *Reserver) Sync(ctx context.Context, t *route.Table, paid map[string]int64) error {
	policies := map[string]escrow.Policy{}
	var failed error
	var mu sync.Mutex
	var work sync.WaitGroup
	for _, a := range t.Accounts() {
		if !a.Metered {
			continue
		}
		policies[a.Name] = r.Policy(a)
		if known, ok := paid[a.Name]; ok && known >= a.Prepaid || !r.Holder.Draws(a.Name) {
			continue
		}
		work.Go(func() {
			err := r.EnsurePaid(ctx, a.Name, a.Prepaid)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed = errors.CombineErrors(failed, errors.Wrapf(err, "prepay: raise the paid-in total of budget %s", a.Name))
				return
			}
			paid[a.Name] = a.Prepaid
		})
	}
	work.Wait()
	r.Holder.Configure(policies)
	for budget, policy := range policies {
		if _, ok := paid[budget]; ok {
			r.Holder.Share(budget, policy)
		}
	}
	return failed
}
