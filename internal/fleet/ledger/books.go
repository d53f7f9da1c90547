package ledger

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"jacinthladder.dev/coord/escrow"
	"jacinthladder.dev/internal/fleet/config"
	"jacinthladder.dev/internal/plat/object"
)

// NewStore returns the platform as an escrow holder sees it.
func NewStore(store *object.Store) escrow.Store {
	return escrow.Store{
		Read: func(ctx context.Context, budget string) (*escrow.Ledger, int64, error) {
			return Read(ctx, store, budget)
		},
		Write: func(ctx context.Context, budget string, version int64, b *escrow.Ledger) error {
			return Write(ctx, store, budget, version, b)
		},
	}
}

// Read returns a budget and its version. It fails with escrow.ErrMissing, or
// with an error of package object.
func Read(ctx context.Context, store *object.Store, budget string) (*escrow.Ledger, int64, error) {
	o, err := store.Get(ctx, config.BudgetKind, budget)
	if errors.Is(err, object.ErrNotFound) {
		return nil, 0, errors.Wrap(escrow.ErrNotFound, budget)
	}
	if err != nil {
		return nil, 0, err
	}
	b := &escrow.Ledger{}
	if err := json.Unmarshal(o.Value(), b); err != nil {
		return nil, 0, errors.Wrapf(err, "budget %s", budget)
	}
	return b, o.Version(), nil
}

// Write replaces a budget whose version is unchanged, 0 for a new one. It
// fails with escrow.ErrConflict, or with an error of package object.
func Write(ctx context.Context, store *object.Store, budget string, version int64, b *escrow.Ledger) error {
	data, err := json.Marshal(b)
	if err != nil {
		return errors.Wrapf(err, "budget %s", budget)
	}
	if _, err := store.Put(ctx, config.BudgetKind, budget, version, data); err != nil {
		if errors.Is(err, object.ErrConflict) {
			return errors.Wrap(escrow.ErrConflict, budget)
		}
		return err
	}
	return nil
}

// TopUp pays amount into a budget, once for each top-up ID, however often it
// is tried. It returns the budget after it.
func TopUp(ctx context.Context, store *object.Store, budget, id string, amount int64) (*escrow.Ledger, error) {
	for {
		b, version, err := Read(ctx, store, budget)
		if err != nil {
			return nil, err
		}
		if err := b.TopUp(id, amount); err != nil {
			return nil, err
		}
		err = Write(ctx, store, budget, version, b)
		if !errors.Is(err, escrow.ErrConflict) {
			return b, err
		}
	}
}
