// Package prepay reserves prepaid tokens for forwarded requests.
//
// Each metered client account has one escrow budget, counted in tokens and named
// after the account. The budget's paid-in total is raised to the account's prepaid
// total in the configuration and never decreases. Before a request is sent, it
// reserves the largest number of tokens that it can consume. When it ends, it
// settles the tokens that it has consumed.
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
	// minTargetFraction is the fraction of an account's prepaid total that the share
	// of one instance aims to hold at least, also before the instance knows the
	// demand.
	minTargetFraction = 0.01
	// floorFraction is the fraction of an account's prepaid total below which an
	// instance's share counts as almost empty.
	floorFraction = 0.001
	// maxReadAge is the largest age of the last reading of a budget's ledger at which
	// Reserve returns ErrExhausted.
	maxReadAge = 2 * time.Second
	// heldFraction is the fraction of what is left of a budget that all instances
	// together hold ahead of demand. It is large enough to last through some seconds
	// without the platform, and small enough that the loss of what they hold is
	// acceptable.
	heldFraction = 0.5
)

// Reserver reserves prepaid tokens of client accounts for requests. Set the exported
// fields before use.
type Reserver struct {
	// Holder holds this instance's shares of the budgets.
	Holder *escrow.Holder
	// EmptyTTL returns how long a reading of a ledger stays valid that shows no free
	// tokens.
	EmptyTTL func() time.Duration
	// EnsurePaid raises the paid-in total of a budget to total, in tokens, unless it
	// is already as high.
	EnsurePaid func(ctx context.Context, budget string, total int64) error

	outageTolerance atomic.Int64 // nanoseconds
}

// SetOutageTolerance sets how long this instance's share of a budget should last at
// the current demand while the platform is unreachable.
func (r *Reserver) SetOutageTolerance(d time.Duration) { r.outageTolerance.Store(int64(d)) }

// Policy returns the policy of this instance's share of an account's budget.
func (r *Reserver) Policy(a *route.Account) escrow.Policy {
	return escrow.Policy{
		OutageTolerance: time.Duration(r.outageTolerance.Load()),
		MinTarget:       int64(float64(a.Prepaid) * minTargetFraction),
		Floor:           int64(float64(a.Prepaid) * floorFraction),
		Fraction:        heldFraction,
		EmptyTTL:        r.EmptyTTL(),
	}
}

// Reserve reserves amount tokens of an account's budget for a request. It waits for
// at most wait until enough tokens are available. Of the waiting requests, the one
// with the lowest value of priority is served first.
//
// The errors are those of package escrow. Reserve returns ErrExhausted only if the
// last reading of the ledger is at most maxReadAge old and shows less than amount
// free. Otherwise it returns ErrUnreachable instead.
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

// Stats returns the counters of this instance's share of an account's budget.
func (r *Reserver) Stats(a *route.Account) escrow.Stats {
	return r.Holder.Share(a.Name, r.Policy(a)).Stats()
}

// Home returns the ID of the process that draws an account's budget from its ledger
// for all instances in this instance's zone.
func (r *Reserver) Home(a *route.Account) string { return r.Holder.Home(a.Name) }

// Sync prepares the budgets of all metered accounts of a configuration. It pays in
// the prepaid totals of those accounts whose budgets this process draws from the
// ledger. It then sets the policies of all metered accounts. It creates this
// instance's shares of the budgets that are known to be paid in, also for accounts
// that it has not served yet.
//
// Paid maps the names of budgets to the paid-in totals that this process knows of.
// Sync updates it, and the caller passes the same map to each call. The error
// combines those of all budgets that could not be paid in; the others are
// unaffected.
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
