package trial

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"jacinthladder.dev/internal/entry/settle"
)

// Paid returns, by client account, the micro-units paid into all budgets of the account.
func (f *Fleet) Paid(ctx context.Context) (map[string]int64, error) {
	paid := map[string]int64{}
	for _, name := range f.Platform.Names("budget", "") {
		b, err := f.Admin.Budget(ctx, name)
		if err != nil {
			return nil, err
		}
		paid[b.Account()] += b.Paid()
	}
	return paid, nil
}

// Billing sums up the usage records and the ledgers of the budgets that the platform
// stores. Its figures are complete once all instances have stopped.
type Billing struct {
	Records    int   // usage records, counted once for each request ID
	Duplicates int   // usage records with the same request ID as one that Records counts
	Cost       int64 // micro-units, sum of the costs of Records
	Spent      int64 // micro-units spent according to the ledgers
	Overspent  int64 // micro-units spent beyond the paid amount of a budget, summed over the budgets
	Unreturned int   // shares that still have a row in a ledger, so were not returned
}

// Billing reads the usage records and the ledgers of all budgets from the platform and
// sums them up.
func (f *Fleet) Billing(ctx context.Context) (Billing, error) {
	var billing Billing
	seen := map[string]bool{}
	for _, name := range f.Platform.Names(settle.UsageKind, "") {
		o, err := f.Platform.Store("").Get(ctx, settle.UsageKind, name)
		if err != nil {
			return billing, err
		}
		var records []settle.Record
		if err := json.Unmarshal(o.Value(), &records); err != nil {
			return billing, errors.Wrap(err, "trial: decode usage records")
		}
		for _, r := range records {
			if seen[r.ID] {
				billing.Duplicates++
				continue
			}
			seen[r.ID] = true
			billing.Cost += r.Cost
		}
	}
	billing.Records = len(seen)
	for _, name := range f.Platform.Names("budget", "") {
		b, err := f.Admin.Budget(ctx, name)
		if err != nil {
			return billing, err
		}
		billing.Spent += b.Spent()
		billing.Overspent += max(b.Spent()-b.Paid(), 0)
		billing.Unreturned += len(b.ShareIDs())
	}
	return billing, nil
}
