package trial

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"jacinthladder.dev/internal/conf/spec"
	"jacinthladder.dev/internal/entry/settle"
	"jacinthladder.dev/internal/tools/admin"
)

// apply makes the accounts and budgets that a document names, pays them up, and
// puts the document in force.
func (f *Fleet) apply(ctx context.Context, file string, src []byte) error {
	s, err := spec.Parse(file, src, 0)
	if err != nil {
		return err
	}
	for _, account := range s.Accounts() {
		if err := f.account(ctx, account, s.Budgets(account)); err != nil {
			return err
		}
	}
	_, _, err = f.Admin.Apply(ctx, file, src, 0)
	return err
}

func (f *Fleet) account(ctx context.Context, account string, budgets []string) error {
	if f.Keys[account] == "" {
		f.Keys[account] = admin.NewKey()
		if _, err := f.Admin.CreateAccount(ctx, account, f.Keys[account]); err != nil {
			return err
		}
	}
	for _, b := range budgets {
		if err := f.Admin.CreateBudget(ctx, b, account); err != nil && !errors.Is(err, admin.ErrExists) {
			return err
		}
		amount, ok := f.config.Budgets[b]
		if !ok {
			amount = f.config.Default
		}
		if _, err := f.Admin.TopUp(ctx, b, "start", amount); err != nil {
			return err
		}
	}
	return nil
}

// Paid returns the micro-units paid in at the start, by client account.
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

// Bills are what the platform keeps of the requests, once all instances have
// stopped.
type Bills struct {
	Records   int   // usage records, one for each request ID
	Doubles   int   // records beyond the first for a request ID
	Cost      int64 // micro-units of all records
	Spent     int64 // micro-units that the budgets say were spent
	Overspent int64 // micro-units spent beyond what was paid
	Left      int   // shares that were not returned
}

// Bills reads the usage records and the budgets.
func (f *Fleet) Bills(ctx context.Context) (Bills, error) {
	var bills Bills
	seen := map[string]bool{}
	for _, name := range f.Platform.Names(settle.UsageKind, "") {
		o, err := f.Platform.Store("").Get(ctx, settle.UsageKind, name)
		if err != nil {
			return bills, err
		}
		var records []settle.Record
		if err := json.Unmarshal(o.Value(), &records); err != nil {
			return bills, errors.Wrap(err, "trial: usage")
		}
		for _, r := range records {
			if seen[r.ID] {
				bills.Doubles++
				continue
			}
			seen[r.ID] = true
			bills.Cost += r.Cost
		}
	}
	bills.Records = len(seen)
	for _, name := range f.Platform.Names("budget", "") {
		b, err := f.Admin.Budget(ctx, name)
		if err != nil {
			return bills, err
		}
		bills.Spent += b.Spent()
		bills.Overspent += max(b.Spent()-b.Paid(), 0)
		bills.Left += len(b.ShareIDs())
	}
	return bills, nil
}
