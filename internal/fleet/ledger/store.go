package ledger

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"jacinthladder.dev/coord/escrow"
	"jacinthladder.dev/internal/fleet/config"
	"jacinthladder.dev/internal/plat/object"
)

// NewStore returns an escrow store that keeps one ledger in each object.
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

// Read returns the ledger of a budget and its version. It fails with
// escrow.ErrNotFound if there is none, or with an error of package object.
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
		return nil, 0, errors.Wrapf(err, "decode ledger of budget %s", budget)
	}
	return l, o.Version(), nil
}

// Write replaces the ledger of a budget if its version is still the given one;
// version 0 creates it. It fails with escrow.ErrConflict if the version has
// changed, or with an error of package object.
func Write(ctx context.Context, store *object.Store, budget string, version int64, l *escrow.Ledger) error {
	data, err := json.Marshal(l)
	if err != nil {
		return errors.Wrapf(err, "encode ledger of budget %s", budget)
	}
	if _, err := store.Put(ctx, config.BudgetKind, budget, version, data); err != nil {
		if errors.Is(err, object.ErrConflict) {
			return errors.Wrap(escrow.ErrConflict, budget)
		}
		return err
	}
	return nil
}

// TopUp pays amount into a budget and returns the resulting ledger. It is
// idempotent: repeated calls with the same top-up ID pay in once.
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
