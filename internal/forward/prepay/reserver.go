// Package prepay reserves prepaid tokens for forwarded requests.
//
// Each metered client account has one escrow budget, counted in tokens and named
// after the account. The budget's paid-in total is at least the prepaid total in
// the configuration and never decreases. A request reserves the most tokens that
// it can consume before it is sent, and settles the tokens that it did consume.
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
	// minTargetFraction is the fraction of a budget that one instance draws before it
	// knows the demand.
	minTargetFraction = 0.01
	// floorFraction is the fraction of a budget below which an instance's share
	// counts as almost empty.
	floorFraction = 0.001
	// maxReadAge is the oldest reading of a ledger on which a request is refused
	// because its budget is exhausted.
	maxReadAge = 2 * time.Second
	// heldFraction is the fraction of the remaining budget that all instances together
	// hold ahead of demand: enough to last through some seconds without the platform,
	// and small enough that its loss is acceptable.
	heldFraction = 0.5
)

// Reserver reserves prepaid tokens. Set the fields before use.
type Reserver struct {
	// Holder holds this instance's shares of the budgets.
	Holder *escrow.Holder
	// EmptyTTL returns how long a reading of a ledger with nothing free is cached.
	EmptyTTL func() time.Duration
	// EnsurePaid raises the paid-in total of a budget to at least total.
	EnsurePaid func(ctx context.Context, budget string, total int64) error

	outageTolerance atomic.Int64 // nanoseconds
}

// SetOutageTolerance sets how long a share should last while the platform is
// unreachable.
func (r *Reserver) SetOutageTolerance(d time.Duration) { r.outageTolerance.Store(int64(d)) }

// Policy returns the policy of the share of an account's budget.
func (r *Reserver) Policy(a *route.Account) escrow.Policy {
	return escrow.Policy{
		OutageTolerance: time.Duration(r.outageTolerance.Load()),
		MinTarget:       int64(float64(a.Prepaid) * minTargetFraction),
		Floor:           int64(float64(a.Prepaid) * floorFraction),
		Fraction:        heldFraction,
		EmptyTTL:        r.EmptyTTL(),
	}
}

// Reserve reserves amount for a request of an account, waiting for at most wait.
// Of the waiting requests, the one with the lowest priority value is served first.
// Errors are those of package escrow. Reserve returns ErrExhausted only if the
// last reading of the ledger is at most maxReadAge old and shows less than amount
// free; otherwise it returns ErrUnreachable.
func (r *Reserver) Reserve(ctx context.Context, a *route.Account, amount int64, priority int, wait time.Duration) (escrow.Hold, error) {
	request := escrow.ReserveRequest{Amount: amount, Priority: -priority, Wait: wait}
	h, err := r.Holder.Reserve(ctx, a.Name, r.Policy(a), request)
	if errors.Is(err, escrow.ErrExhausted) {
		if free, age := r.Stats(a).Free(); free >= amount || age > maxReadAge {
			err = errors.Wrapf(escrow.ErrUnreachable, "ledger was last read %s ago", age.Round(time.Millisecond))
		}
	}
	return h, err
}

// Stats returns the counters of this instance's share of an account's budget.
func (r *Reserver) Stats(a *route.Account) escrow.Stats {
	return r.Holder.Share(a.Name, r.Policy(a)).Stats()
}

// Home returns the process that draws an account's budget for this instance's zone.
func (r *Reserver) Home(a *route.Account) string { return r.Holder.Home(a.Name) }

// Sync pays in the prepaid totals of the accounts whose budgets this process draws.
// It then sets the policies of all metered accounts and creates this instance's
// shares of the budgets that are known to be paid in, also for accounts that it has
// not served yet. Paid maps budgets to the totals known to be paid in. Sync updates
// it, and the caller passes the same map to each call.
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
				failed = errors.CombineErrors(failed, errors.Wrapf(err, "prepay: budget %s", a.Name))
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
