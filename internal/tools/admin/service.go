package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"

	"jacinthladder.dev/coord/escrow"
	"jacinthladder.dev/internal/conf/spec"
	"jacinthladder.dev/internal/fleet/config"
	"jacinthladder.dev/internal/fleet/ledger"
	"jacinthladder.dev/internal/plat/object"
)

var (
	// ErrOvertaken means that someone else changed the object meanwhile.
	ErrOvertaken = errors.New("someone else has changed it meanwhile; nothing was written")
	// ErrMissing means that there is no such object.
	ErrMissing = errors.New("there is no such object")
	// ErrExists means that there is such an object already.
	ErrExists = errors.New("there is one with this name already")
)

// Admin changes what the platform keeps.
type Admin struct {
	Store *object.Store
}

// Check reads a service document, and checks it against the budgets that it
// names.
func (a *Admin) Check(ctx context.Context, file string, src []byte) (*spec.Service, error) {
	s, err := spec.Parse(file, src, 0)
	if err != nil {
		return nil, err
	}
	for _, account := range s.Accounts() {
		for i, name := range s.Budgets(account) {
			reason, err := a.fault(ctx, account, name)
			if err != nil {
				return nil, err
			}
			if reason != "" {
				return nil, s.ErrorAt(fmt.Sprintf("budgets.%s[%d]", account, i), reason)
			}
		}
	}
	return s, nil
}

// fault says what is wrong with a budget for an account, nothing if all is well.
func (a *Admin) fault(ctx context.Context, account, name string) (string, error) {
	b, _, err := ledger.Read(ctx, a.Store, name)
	switch {
	case errors.Is(err, escrow.ErrNotFound):
		return fmt.Sprintf("there is no budget %q", name), nil
	case err != nil:
		return "", err
	case b.Account() != account:
		return fmt.Sprintf("budget %q belongs to account %q", name, b.Account()), nil
	default:
		return "", nil
	}
}

// Apply puts a document in force. Base is the version that it was made from, 0
// for a new service. It returns the version in force.
func (a *Admin) Apply(ctx context.Context, file string, src []byte, base int64) (*spec.Service, int64, error) {
	s, err := a.Check(ctx, file, src)
	if err != nil {
		return nil, 0, err
	}
	version, err := a.write(ctx, config.ServiceKind, s.Name(), base, src)
	return s, version, err
}

// Service returns a service's document and its version.
func (a *Admin) Service(ctx context.Context, name string) ([]byte, int64, error) {
	o, err := a.read(ctx, config.ServiceKind, name)
	return o.Value(), o.Version(), err
}

// Attach adds a budget to a service's document, behind those that its account
// has there. The document's comments stay.
func (a *Admin) Attach(ctx context.Context, budget, service string) (int64, error) {
	b, _, err := ledger.Read(ctx, a.Store, budget)
	if err != nil {
		return 0, missing(err, "budget", budget)
	}
	for {
		src, version, err := a.Service(ctx, service)
		if err != nil {
			return 0, err
		}
		next, err := attached(service, src, b.Account(), budget)
		if err != nil {
			return 0, err
		}
		if bytes.Equal(next, src) {
			return version, nil
		}
		_, version, err = a.Apply(ctx, service, next, version)
		if !errors.Is(err, ErrOvertaken) {
			return version, err
		}
	}
}

type patchOp struct {
	Op    string `json:"op"`
	Path  string `json:"path"`
	Value any    `json:"value"`
}

// attached returns a document with one more budget for an account.
func attached(file string, src []byte, account, budget string) ([]byte, error) {
	s, err := spec.Parse(file, src, 0)
	if err != nil {
		return nil, err
	}
	op := patchOp{Op: "add", Path: "/budgets/" + account + "/-", Value: budget}
	if len(s.Budgets(account)) == 0 {
		op = patchOp{Op: "add", Path: "/budgets/" + account, Value: []string{budget}}
	}
	for _, have := range s.Budgets(account) {
		if have == budget {
			return src, nil
		}
	}
	patch, err := json.Marshal([]patchOp{op})
	if err != nil {
		return nil, errors.Wrap(err, "patch")
	}
	v, err := hujson.Parse(bytes.Clone(src))
	if err != nil {
		return nil, errors.Wrap(err, file)
	}
	if err := v.Patch(patch); err != nil {
		return nil, errors.Wrap(err, "patch")
	}
	return v.Pack(), nil
}

// read returns an object, or ErrMissing.
func (a *Admin) read(ctx context.Context, kind, name string) (object.Object, error) {
	o, err := a.Store.Get(ctx, kind, name)
	return o, missing(err, kind, name)
}

func missing(err error, kind, name string) error {
	if errors.IsAny(err, object.ErrNotFound, escrow.ErrNotFound) {
		return errors.Wrapf(ErrMissing, "%s %s", kind, name)
	}
	return err
}

// write writes an object that still has the base version. After a lost answer
// it reads what came of it.
func (a *Admin) write(ctx context.Context, kind, name string, base int64, value []byte) (int64, error) {
	version, err := a.Store.Put(ctx, kind, name, base, value)
	if errors.Is(err, object.ErrConflict) || errors.Is(err, object.ErrUnknownOutcome) {
		return a.settle(ctx, kind, name, base, value, err)
	}
	return version, err
}

func (a *Admin) settle(ctx context.Context, kind, name string, base int64, value []byte, cause error) (int64, error) {
	o, err := a.read(ctx, kind, name)
	if err != nil {
		return 0, errors.CombineErrors(cause, err)
	}
	switch {
	case bytes.Equal(o.Value(), value):
		return o.Version(), nil
	case o.Version() == base:
		return 0, errors.Wrap(cause, "it did not take effect so far; try again")
	case base == 0:
		return 0, errors.Wrapf(ErrExists, "%s %s is at version %d", kind, name, o.Version())
	default:
		return 0, errors.Wrapf(ErrOvertaken, "%s %s is at version %d, not %d", kind, name, o.Version(), base)
	}
}

// lines joins the parts of a report.
func lines(parts ...string) string { return strings.Join(parts, "\n") + "\n" }
