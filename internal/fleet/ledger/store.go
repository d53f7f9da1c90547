package ledger

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"jacinthladder.dev/coord/escrow"
	"jacinthladder.dev/internal/fleet/config"
	"jacinthladder.dev/internal/plat/object"
)

// NewStore returns an escrow store that keeps the ledger of each budget in a platform
// object of its own.
func NewStore(store *object.Store) escrow.Store {
	return escrow.Store{
		Read: func(ctx context.Context, budget string) (*escrow.Ledger, int64, error) {
			return Read(ctx, store, budget)
		},
		Write: func(ctx context.Context, budget string, version int64, l *escrow.Ledger) error {
			return Write(ctx, store, budget, version, l)
		},
	}
}

// Read returns the ledger of a budget and the version of its platform object. It fails
// with escrow.ErrNotFound if the budget has no ledger, or with an error of package
// object.
func Read(ctx context.Context, store *object.Store, budget string) (*escrow.Ledger, int64, error) {
	o, err := store.Get(ctx, config.BudgetKind, budget)
	if errors.Is(err, object.ErrNotFound) {
		return nil, 0, errors.Wrap(escrow.ErrNotFound, budget)
	}
	if err != nil {
		return nil, 0, err
	}
	l := &escrow.Ledger{}
	if err := json.Unmarshal(o.Value(), l); err != nil {
		return nil, 0, errors.Wrapf(err, "ledger: decode the ledger of budget %s", budget)
	}
	return l, o.Version(), nil
}

// Write replaces the ledger of a budget by l if the stored version is still the given
// one, as returned by Read. Version 0 creates the ledger if there is none. Write fails
// with escrow.ErrConflict if the stored version is another one, or with an error of
// package object.
func Write(ctx context.Context, store *object.Store, budget string, version int64, l *escrow.Ledger) error {
	data, err := json.Marshal(l)
	if err != nil {
		return errors.Wrapf(err, "ledger: encode the ledger of budget %s", budget)
	}
	if _, err := store.Put(ctx, config.BudgetKind, budget, version, data); err != nil {
		if errors.Is(err, object.ErrConflict) {
			return errors.Wrap(escrow.ErrConflict, budget)
		}
		return err
	}
	return nil
}

// TopUp pays amount, in micro-units, into a budget and returns the resulting ledger.
// Repeated calls with the same top-up ID and amount pay the amount in only once. Another
// amount for the same ID is refused with escrow.ErrTopUp. TopUp tries again after each
// conflict with another write of the ledger.
func TopUp(ctx context.Context, store *object.Store, budget, id string, amount int64) (*escrow.Ledger, error) {
	for {
		l, version, err := Read(ctx, store, budget)
		if err != nil {
			return nil, err
		}
		if err := l.TopUp(id, amount); err != nil {
			return nil, err
		}
		err = Write(ctx, store, budget, version, l)
		if !errors.Is(err, escrow.ErrConflict) {
			return l, err
		}
	}
}
