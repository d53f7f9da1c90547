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
	// ErrConflict means that the object was changed after the version that the edit
	// is based on. Nothing was written.
	ErrConflict = errors.New("the object was changed after the given version; nothing was written")
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("there is no such object")
	// ErrExists means that an object to be created has the name of one that exists.
	// Nothing was written.
	ErrExists = errors.New("there is one with this name already")
)

// Admin reads and changes the client accounts, service documents and budgets that a
// platform stores.
type Admin struct {
	Store *object.Store
}

// Check parses a service document and returns the service. It fails unless each budget
// in the document exists and belongs to the client account that lists it. Errors name
// the document by file.
func (a *Admin) Check(ctx context.Context, file string, src []byte) (*spec.Service, error) {
	s, err := spec.Parse(file, src, 0)
	if err != nil {
		return nil, err
	}
	for _, account := range s.Accounts() {
		for i, name := range s.Budgets(account) {
			reason, err := a.budgetProblem(ctx, account, name)
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

// budgetProblem returns why a client account cannot use a budget, or an empty string
// if it can. It returns an error only if the budget cannot be read.
func (a *Admin) budgetProblem(ctx context.Context, account, name string) (string, error) {
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

// Apply checks a service document as Check does and writes it. The argument base is
// the version of the document that was edited, 0 for a new service. Apply returns the
// service and the version of the document that is now in force.
func (a *Admin) Apply(ctx context.Context, file string, src []byte, base int64) (*spec.Service, int64, error) {
	s, err := a.Check(ctx, file, src)
	if err != nil {
		return nil, 0, err
	}
	version, err := a.write(ctx, config.ServiceKind, s.Name(), base, src)
	return s, version, err
}

// Service returns the document of a service, and the document's version.
func (a *Admin) Service(ctx context.Context, name string) ([]byte, int64, error) {
	o, err := a.read(ctx, config.ServiceKind, name)
	return o.Value(), o.Version(), err
}

// Attach adds a budget to the document of a service, after the budgets that the
// document lists for the same client account. It keeps the document's comments, and
// changes nothing if the document lists the budget already. It returns the version of
// the document that is now in force. If another edit interferes, Attach starts again.
func (a *Admin) Attach(ctx context.Context, budget, service string) (int64, error) {
	b, _, err := ledger.Read(ctx, a.Store, budget)
	if err != nil {
		return 0, notFound(err, "budget", budget)
	}
	for {
		src, version, err := a.Service(ctx, service)
		if err != nil {
			return 0, err
		}
		next, err := withBudget(service, src, b.Account(), budget)
		if err != nil {
			return 0, err
		}
		if bytes.Equal(next, src) {
			return version, nil
		}
		_, version, err = a.Apply(ctx, service, next, version)
		if !errors.Is(err, ErrConflict) {
			return version, err
		}
	}
}

// patchOp is an operation of a JSON Patch (RFC 6902).
type patchOp struct {
	Op    string `json:"op"`
	Path  string `json:"path"`
	Value any    `json:"value"`
}

// withBudget returns a service document with a budget added for a client account, or
// the document unchanged if it already lists the budget for the account. Errors name
// the document by file.
func withBudget(file string, src []byte, account, budget string) ([]byte, error) {
	parsed, err := spec.Parse(file, src, 0)
	if err != nil {
		return nil, err
	}
	op := patchOp{Op: "add", Path: "/budgets/" + account + "/-", Value: budget}
	if len(parsed.Budgets(account)) == 0 {
		op = patchOp{Op: "add", Path: "/budgets/" + account, Value: []string{budget}}
	}
	for _, existing := range parsed.Budgets(account) {
		if existing == budget {
			return src, nil
		}
	}
	patch, err := json.Marshal([]patchOp{op})
	if err != nil {
		return nil, errors.Wrap(err, "patch: encode the addition of a budget to the service document")
	}
	v, err := hujson.Parse(bytes.Clone(src))
	if err != nil {
		return nil, errors.Wrap(err, file)
	}
	if err := v.Patch(patch); err != nil {
		return nil, errors.Wrap(err, "patch: add a budget to the service document")
	}
	return v.Pack(), nil
}

// read returns an object. It fails with ErrNotFound if the object does not exist.
func (a *Admin) read(ctx context.Context, kind, name string) (object.Object, error) {
	o, err := a.Store.Get(ctx, kind, name)
	return o, notFound(err, kind, name)
}

// notFound returns ErrNotFound with the object's kind and name if err means that the
// object does not exist, and err otherwise.
func notFound(err error, kind, name string) error {
	if errors.IsAny(err, object.ErrNotFound, escrow.ErrNotFound) {
		return errors.Wrapf(ErrNotFound, "%s %s", kind, name)
	}
	return err
}

// write replaces an object if its version is still base, and creates it if base is 0.
// It returns the object's new version. After a conflict or a lost response it reads
// the object to learn the outcome.
func (a *Admin) write(ctx context.Context, kind, name string, base int64, value []byte) (int64, error) {
	version, err := a.Store.Put(ctx, kind, name, base, value)
	if errors.Is(err, object.ErrConflict) || errors.Is(err, object.ErrUnknownOutcome) {
		return a.resolveWrite(ctx, kind, name, base, value, err)
	}
	return version, err
}

// resolveWrite reads an object after a write that failed with the error cause but may
// have taken effect. If the object has the value that was written, the write counts as
// successful and resolveWrite returns the object's version. Otherwise it returns an
// error that says why the value is absent.
func (a *Admin) resolveWrite(ctx context.Context, kind, name string, base int64, value []byte, cause error) (int64, error) {
	o, err := a.read(ctx, kind, name)
	if err != nil {
		return 0, errors.CombineErrors(cause, err)
	}
	switch {
	case bytes.Equal(o.Value(), value):
		return o.Version(), nil
	case o.Version() == base:
		return 0, errors.Wrap(cause, "the object is unchanged, so the write has not taken effect so far; try again")
	case base == 0:
		return 0, errors.Wrapf(ErrExists, "%s %s is at version %d", kind, name, o.Version())
	default:
		return 0, errors.Wrapf(ErrConflict, "%s %s is at version %d, not %d", kind, name, o.Version(), base)
	}
}

// joinLines joins the lines of a text and ends each with a newline.
func joinLines(parts ...string) string { return strings.Join(parts, "\n") + "\n" }
