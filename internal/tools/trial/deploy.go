package trial

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"

	"jacinthladder.dev/examples"
	"jacinthladder.dev/internal/conf/spec"
	"jacinthladder.dev/internal/tools/admin"
)

// endpointJSON is an entry of the field "endpoints" of a document.
type endpointJSON struct {
	Name  string `json:"name"`
	Zone  string `json:"zone"`
	URL   string `json:"url"`
	Slots int    `json:"slots"`
}

// deployDocument starts endpoints for an example document in each zone, writes
// their addresses into the document and applies it. Model services get
// enginesPerZone endpoints in a zone, plain services one.
func (f *Fleet) deployDocument(ctx context.Context, file string, add func(zone string, n int) (http.Handler, int)) error {
	src, err := examples.Files.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "trial")
	}
	var endpoints []endpointJSON
	perZone := 1
	if file == f.config.ModelDocument {
		perZone = enginesPerZone
	}
	for _, zone := range unique(f.config.Zones) {
		for range perZone {
			h, slots := add(zone, len(endpoints)+1)
			url, err := f.serve(h)
			if err != nil {
				return err
			}
			name := fmt.Sprintf("%s-%d", zone, len(endpoints)+1)
			endpoints = append(endpoints, endpointJSON{Name: name, Zone: zone, URL: url, Slots: slots})
		}
	}
	if src, err = setField(src, "/endpoints", endpoints); err != nil {
		return err
	}
	if f.config.Edit != nil {
		if src, err = f.config.Edit(file, src); err != nil {
			return err
		}
	}
	return f.apply(ctx, file, src)
}

// patchOp is an operation of a JSON Patch.
type patchOp struct {
	Op    string `json:"op"`
	Path  string `json:"path"`
	Value any    `json:"value"`
}

// setField sets the field of a document that a JSON Pointer names, with a JSON
// Patch.
func setField(src []byte, path string, value any) ([]byte, error) {
	v, err := hujson.Parse(src)
	if err != nil {
		return nil, errors.Wrap(err, "trial: parse document")
	}
	ops, err := json.Marshal([]patchOp{{Op: "add", Path: path, Value: value}})
	if err != nil {
		return nil, errors.Wrap(err, "trial: encode patch")
	}
	if err := v.Patch(ops); err != nil {
		return nil, errors.Wrap(err, "trial: patch document")
	}
	return v.Pack(), nil
}

// unique returns the names in order, without duplicates.
func unique(names []string) []string {
	var result []string
	seen := map[string]bool{}
	for _, n := range names {
		if !seen[n] {
			seen[n] = true
			result = append(result, n)
		}
	}
	return result
}

// apply creates the client accounts and budgets that a document names, pays in
// their initial amounts and applies the document.
func (f *Fleet) apply(ctx context.Context, file string, src []byte) error {
	s, err := spec.Parse(file, src, 0)
	if err != nil {
		return err
	}
	for _, account := range s.Accounts() {
		if err := f.createAccount(ctx, account, s.Budgets(account)); err != nil {
			return err
		}
	}
	_, _, err = f.Admin.Apply(ctx, file, src, 0)
	return err
}

// createAccount creates a client account and its budgets, unless they exist, and
// pays in the initial amount of each budget. A budget that several documents
// name is paid once.
func (f *Fleet) createAccount(ctx context.Context, account string, budgets []string) error {
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
			amount = f.config.DefaultBudget
		}
		if _, err := f.Admin.TopUp(ctx, b, "start", amount); err != nil {
			return err
		}
	}
	return nil
}
