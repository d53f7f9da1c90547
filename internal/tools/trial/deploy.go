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

// endpointJSON is an entry of the field "endpoints" of a service document.
type endpointJSON struct {
	Name  string `json:"name"`
	Zone  string `json:"zone"`
	URL   string `json:"url"`
	Slots int    `json:"slots"`
}

// deployDocument starts stand-in endpoints in each zone for the service document in an
// example file, writes their addresses into the document and applies it. A model
// service gets enginesPerZone endpoints in each zone, a plain service one. The function
// add creates endpoint n of the service and returns its handler and its number of slots.
func (f *Fleet) deployDocument(ctx context.Context, file string, add func(zone string, n int) (http.Handler, int)) error {
	src, err := examples.Files.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "trial: read example document")
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

// patchOp is an operation of a JSON Patch (RFC 6902).
type patchOp struct {
	Op    string `json:"op"`
	Path  string `json:"path"`
	Value any    `json:"value"`
}

// setField returns a service document with one field set to value. The JSON Pointer
// path names the field. The comments in the document stay.
func setField(src []byte, path string, value any) ([]byte, error) {
	v, err := hujson.Parse(src)
	if err != nil {
		return nil, errors.Wrap(err, "trial: parse service document")
	}
	ops, err := json.Marshal([]patchOp{{Op: "add", Path: path, Value: value}})
	if err != nil {
		return nil, errors.Wrap(err, "trial: encode patch of service document")
	}
	if err := v.Patch(ops); err != nil {
		return nil, errors.Wrap(err, "trial: set field of service document")
	}
	return v.Pack(), nil
}

// unique returns the names without duplicates, in the order of their first occurrence.
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

// apply creates the client accounts and budgets that a service document names, pays
// the initial amounts into the budgets and applies the document.
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

// createAccount creates a client account and its budgets, unless they exist, and pays
// the initial amount into each budget. The amount is paid once even if several service
// documents name the budget.
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
