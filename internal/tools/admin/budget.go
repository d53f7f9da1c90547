package admin

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"

	"jacinthladder.dev/coord/escrow"
	"jacinthladder.dev/internal/conf/spec"
	"jacinthladder.dev/internal/fleet/config"
	"jacinthladder.dev/internal/fleet/ledger"
	"jacinthladder.dev/internal/plat/object"
)

// CreateAccount creates a client account with one bearer key, of which only a hash is
// stored. It returns the version of the account object.
func (a *Admin) CreateAccount(ctx context.Context, name, key string) (int64, error) {
	if !spec.ValidName(name) {
		return 0, errors.Newf("account name: %q is not a valid name (lower-case letters, digits, . - _)", name)
	}
	if len(key) < minKeyBytes {
		return 0, errors.Newf("the bearer key is shorter than the minimum of %d bytes", minKeyBytes)
	}
	value, err := json.Marshal(config.Account{Name: name, Keys: []string{config.HashKey(key)}})
	if err != nil {
		return 0, errors.Wrap(err, "encode the object of the new client account")
	}
	return a.write(ctx, config.AccountKind, name, 0, value)
}

// minKeyBytes is the minimum length in bytes of the bearer key of a client account.
const minKeyBytes = 16

// NewKey returns a new random bearer key for a client account.
func NewKey() string {
	var b [24]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(err) // the system's random source does not fail
	}
	return "jl-" + hex.EncodeToString(b[:])
}

// Account returns a client account and the version of its object.
func (a *Admin) Account(ctx context.Context, name string) (config.Account, int64, error) {
	o, err := a.read(ctx, config.AccountKind, name)
	if err != nil {
		return config.Account{}, 0, err
	}
	var account config.Account
	if err := json.Unmarshal(o.Value(), &account); err != nil {
		return config.Account{}, 0, errors.Wrapf(err, "decode account %s", name)
	}
	return account, o.Version(), nil
}

// AddKey adds a bearer key to the keys of a client account, of which only hashes are
// stored. It returns the new version of the account object.
func (a *Admin) AddKey(ctx context.Context, name, key string) (int64, error) {
	if len(key) < minKeyBytes {
		return 0, errors.Newf("the bearer key is shorter than the minimum of %d bytes", minKeyBytes)
	}
	account, version, err := a.Account(ctx, name)
	if err != nil {
		return 0, err
	}
	account.Keys = append(account.Keys, config.HashKey(key))
	value, err := json.Marshal(account)
	if err != nil {
		return 0, errors.Wrap(err, "encode the object of the client account with the added key")
	}
	return a.write(ctx, config.AccountKind, name, version, value)
}

// CreateBudget creates a budget for an existing client account, with nothing paid in.
func (a *Admin) CreateBudget(ctx context.Context, name, account string) error {
	if !spec.ValidName(name) {
		return errors.Newf("budget name: %q is not a valid name (lower-case letters, digits, . - _)", name)
	}
	if _, err := a.read(ctx, config.AccountKind, account); err != nil {
		return err
	}
	value, err := json.Marshal(escrow.NewLedger(account))
	if err != nil {
		return errors.Wrap(err, "encode the ledger of the new budget")
	}
	_, err = a.write(ctx, config.BudgetKind, name, 0, value)
	return err
}

// TopUp pays an amount in micro-units into a budget and returns the budget's ledger.
// The argument id identifies the payment: repeated calls with the same ID pay only
// once.
func (a *Admin) TopUp(ctx context.Context, name, id string, amount int64) (*escrow.Ledger, error) {
	b, err := ledger.TopUp(ctx, a.Store, name, id, amount)
	if errors.Is(err, object.ErrUnknownOutcome) {
		// Retry with the same ID, which pays only once.
		b, err = ledger.TopUp(ctx, a.Store, name, id, amount)
	}
	return b, notFound(err, "budget", name)
}

// Budget returns the ledger of a budget.
func (a *Admin) Budget(ctx context.Context, name string) (*escrow.Ledger, error) {
	b, _, err := ledger.Read(ctx, a.Store, name)
	return b, notFound(err, "budget", name)
}

// ForceClose closes a share of a budget and returns the budget's ledger. The holder of
// the share must have ended, and spent must be the total in micro-units that was spent
// from the share. ForceClose cannot check either and relies on the operator's
// statement.
func (a *Admin) ForceClose(ctx context.Context, name, share string, spent int64) (*escrow.Ledger, error) {
	for {
		b, version, err := ledger.Read(ctx, a.Store, name)
		if err != nil {
			return nil, notFound(err, "budget", name)
		}
		if err := b.ForceClose(share, spent); err != nil {
			return nil, err
		}
		err = ledger.Write(ctx, a.Store, name, version, b)
		if !errors.Is(err, escrow.ErrConflict) {
			return b, err
		}
	}
}

// Explain returns a text for operators: how much of a budget is paid, spent, held by
// open shares, stranded in sealed shares and free, in micro-units, and a table of the
// shares. The figures are as the holders of the shares last reported them.
func Explain(name string, b *escrow.Ledger) string {
	var out strings.Builder
	var used, idle, stranded int64
	for _, id := range b.ShareIDs() {
		r := b.Row(id)
		used += r.Used()
		if r.State() == escrow.Sealed {
			stranded += r.Bound() - r.Used()
			continue
		}
		idle += r.Idle()
	}
	fmt.Fprint(&out, joinLines(
		fmt.Sprintf("budget %s of account %s, in micro-units", name, b.Account()),
		fmt.Sprintf("  paid      %d", b.Paid()),
		fmt.Sprintf("  spent     %d  (%d by closed shares, %d reported by open ones)", b.Spent()+used, b.Spent(), used),
		fmt.Sprintf("  held      %d  (by open shares, spent since their last report or still to spend)", idle),
		fmt.Sprintf("  stranded  %d  (sealed shares may have spent it; released when their holder is heard from)", stranded),
		fmt.Sprintf("  free      %d", b.Free()),
	))
	if len(b.ShareIDs()) == 0 {
		return out.String()
	}
	table := tabwriter.NewWriter(&out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "  share\tstate\tgranted\treturned\tsent\treceived\tused\tidle\twrites\t")
	for _, id := range b.ShareIDs() {
		r := b.Row(id)
		fmt.Fprintf(table, "  %s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n",
			id, r.State(), r.Granted(), r.Returned(), r.Sent(), r.Received(), r.Used(), r.Idle(), r.Seq())
	}
	if err := table.Flush(); err != nil {
		return out.String() // writes to a strings.Builder do not fail
	}
	return out.String()
}
