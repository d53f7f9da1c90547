// Package prepay reserves prepaid tokens for forwarded requests.
//
// The idea. Each metered client account has one budget of package escrow, in
// tokens, named after the account. What the configuration says is prepaid is the
// least that the budget counts as paid in; it only rises. A request reserves the
// most that it can consume before it leaves, and settles what it did consume.
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
	// startShare is the part of a budget that one instance draws before it knows
	// the demand.
	startShare = 0.01
	// floorShare is the part of a budget below which an instance's share counts
	// as nearly nothing.
	floorShare = 0.001
	// freshTime is how old a reading of a book may be to tell a caller that its
	// budget is exhausted.
	freshTime = 2 * time.Second
	// heldPart is how much of what is left all instances together hold ahead of
	// need: enough for a cut of seconds, and little enough to lose.
	heldPart = 0.5
)

// Reserver reserves tokens. Fill in the fields before use.
type Reserver struct {
	// Holder keeps this instance's shares.
	Holder *escrow.Holder
	// EmptyTTL returns how long a book that has nothing free is believed.
	EmptyTTL func() time.Duration
	// EnsurePaid makes a budget count at least total as paid in.
	EnsurePaid func(ctx context.Context, budget string, total int64) error

	endure atomic.Int64 // nanoseconds
}

// SetOutageTolerance sets how long a share should last when the platform is out of reach.
func (p *Reserver) SetOutageTolerance(d time.Duration) { p.endure.Store(int64(d)) }

// Policy returns how the share of an account's budget is kept.
func (p *Reserver) Policy(a *route.Account) escrow.Policy {
	return escrow.Policy{
		OutageTolerance: time.Duration(p.endure.Load()),
		MinTarget:       int64(float64(a.Prepaid) * startShare),
		Floor:           int64(float64(a.Prepaid) * floorShare),
		Fraction:        heldPart,
		EmptyTTL:        p.EmptyTTL(),
	}
}

// Reserve sets amount aside for a request of an account; of those that wait, the
// one of the lowest rank goes first. It fails with an error
// of package escrow. That a budget is exhausted is only said on a reading of the
// book that is fresh and shows nothing left for the request.
func (p *Reserver) Reserve(ctx context.Context, a *route.Account, amount int64, rank int, wait time.Duration) (escrow.Hold, error) {
	n := escrow.ReserveRequest{Amount: amount, Priority: -rank, Wait: wait}
	h, err := p.Holder.Reserve(ctx, a.Name, p.Policy(a), n)
	if errors.Is(err, escrow.ErrExhausted) {
		if free, age := p.Stats(a).Free(); free >= amount || age > freshTime {
			err = errors.Wrapf(escrow.ErrUnreachable, "the book was read %s ago", age.Round(time.Millisecond))
		}
	}
	return h, err
}

// Stats returns what this instance knows of an account's budget.
func (p *Reserver) Stats(a *route.Account) escrow.Stats {
	return p.Holder.Share(a.Name, p.Policy(a)).Stats()
}

// Home returns the process that draws an account's budget for this instance.
func (p *Reserver) Home(a *route.Account) string { return p.Holder.Home(a.Name) }

// Sync pays in what a configuration says is prepaid, and draws the shares of
// accounts that this instance has not served yet. Paid holds what is known to be
// paid in; the caller keeps it from one call to the next.
func (p *Reserver) Sync(ctx context.Context, t *route.Table, paid map[string]int64) error {
	policies := map[string]escrow.Policy{}
	var failed error
	var mu sync.Mutex
	var work sync.WaitGroup
	for _, a := range t.Accounts() {
		if !a.Metered {
			continue
		}
		policies[a.Name] = p.Policy(a)
		if known, ok := paid[a.Name]; ok && known >= a.Prepaid || !p.Holder.Draws(a.Name) {
			continue
		}
		work.Go(func() {
			err := p.EnsurePaid(ctx, a.Name, a.Prepaid)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed = errors.CombineErrors(failed, errors.Wrapf(err, "purse: budget %s", a.Name))
				return
			}
			paid[a.Name] = a.Prepaid
		})
	}
	work.Wait()
	p.Holder.Configure(policies)
	for budget, policy := range policies {
		if _, ok := paid[budget]; ok {
			p.Holder.Share(budget, policy)
		}
	}
	return failed
}
