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
	// ErrConflict means that the object was changed after the version that an edit
	// was based on.
	ErrConflict = errors.New("the object was changed after the given version; nothing was written")
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("there is no such object")
	// ErrExists means that an object to be created exists already.
	ErrExists = errors.New("there is one with this name already")
)

// Admin reads and changes the objects of a platform.
type Admin struct {
	Store *object.Store
}

// Check parses a service document, and checks that each budget in it exists and
// belongs to the account that it is listed for.
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

// budgetProblem returns why an account cannot use a budget, or an empty string if it
// can.
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

// Apply writes a service document. Base is the version that the document was edited
// from, 0 for a new service. Apply returns the version that is now in force.
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

// Attach adds a budget to a service's document, after those that the document lists
// for the budget's account. It keeps the document's comments.
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

// withBudget returns a document with a budget added for an account, or the document
// unchanged if it already lists the budget.
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

// read returns an object. It fails with ErrNotFound if the object does not exist.
func (a *Admin) read(ctx context.Context, kind, name string) (object.Object, error) {
	o, err := a.Store.Get(ctx, kind, name)
	return o, notFound(err, kind, name)
}

// notFound replaces an error that means that an object is absent by ErrNotFound with
// the object's kind and name.
func notFound(err error, kind, name string) error {
	if errors.IsAny(err, object.ErrNotFound, escrow.ErrNotFound) {
		return errors.Wrapf(ErrNotFound, "%s %s", kind, name)
	}
	return err
}

// write replaces an object if it still has the base version. After a conflict or a
// lost response it reads the object to learn the outcome.
func (a *Admin) write(ctx context.Context, kind, name string, base int64, value []byte) (int64, error) {
	version, err := a.Store.Put(ctx, kind, name, base, value)
	if errors.Is(err, object.ErrConflict) || errors.Is(err, object.ErrUnknownOutcome) {
		return a.resolveWrite(ctx, kind, name, base, value, err)
	}
	return version, err
}

// resolveWrite reads an object after a write that failed with cause, which may have
// taken effect nevertheless. The write counts as successful if the object has the
// value that was written.
func (a *Admin) resolveWrite(ctx context.Context, kind, name string, base int64, value []byte, cause error) (int64, error) {
	o, err := a.read(ctx, kind, name)
	if err != nil {
		return 0, errors.CombineErrors(cause, err)
	}
	switch {
	case bytes.Equal(o.Value(), value):
		return o.Version(), nil
	case o.Version() == base:
		return 0, errors.Wrap(cause, "the write has not taken effect so far; try again")
	case base == 0:
		return 0, errors.Wrapf(ErrExists, "%s %s is at version %d", kind, name, o.Version())
	default:
		return 0, errors.Wrapf(ErrConflict, "%s %s is at version %d, not %d", kind, name, o.Version(), base)
	}
}

// joinLines joins the lines of a text and ends each with a newline.
func joinLines(parts ...string) string { return strings.Join(parts, "\n") + "\n" }
