package admin

import (
	"context"
	"encoding/json"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/sebdah/goldie/v2"

	"jacinthladder.dev/coord/escrow"
	"jacinthladder.dev/internal/stand/store"
)

func TestExplainListsEveryShare(t *testing.T) {
	text := `{"account":"field-north","paid":1000,"spent":100,"rows":{
		"entry-1/aa/1":{"granted":300,"used":120,"sent":{"entry-2/bb/1":30},"seq":4,"state":"open"},
		"entry-2/bb/1":{"granted":100,"used":10,"received":{"entry-1/aa/1":30},"seq":2,"state":"open"},
		"entry-3/cc/1":{"granted":200,"returned":50,"used":60,"seq":3,"state":"sealed","bound":150}}}`
	b := &escrow.Ledger{}
	if err := json.Unmarshal([]byte(text), b); err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "explain", []byte(Explain("field-north-main", b)))
}

const document = `{
	// kept
	"name": "ledger", "kind": "plain",
	"endpoints": [{"name": "l", "zone": "a", "url": "http://127.0.0.1:1", "slots": 1}],
	"budgets": {"field": ["one"]}, // kept too
}`

// newAdmin returns an Admin whose platform has an account, two budgets and a
// service. It also returns the platform and the service's version.
func newAdmin(t *testing.T) (*Admin, *store.Platform, int64) {
	t.Helper()
	p := store.New()
	a := &Admin{Store: p.Store("")}
	ctx := context.Background()
	if _, err := a.CreateAccount(ctx, "field", NewKey()); err != nil {
		t.Fatal(err)
	}
	for _, b := range []string{"one", "two"} {
		if err := a.CreateBudget(ctx, b, "field"); err != nil {
			t.Fatal(err)
		}
	}
	_, version, err := a.Apply(ctx, "ledger.jsonc", []byte(document), 0)
	if err != nil {
		t.Fatal(err)
	}
	return a, p, version
}

func TestAttachKeepsComments(t *testing.T) {
	a, _, _ := newAdmin(t)
	if _, err := a.Attach(t.Context(), "two", "ledger"); err != nil {
		t.Fatal(err)
	}
	src, _, err := a.Service(t.Context(), "ledger")
	if err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "attached", src)
}

func TestConcurrentEditIsRejected(t *testing.T) {
	a, _, version := newAdmin(t)
	if _, _, err := a.Apply(t.Context(), "f", []byte(document+"\n"), version); err != nil {
		t.Fatal(err)
	}
	if _, _, err := a.Apply(t.Context(), "f", []byte(document+" "), version); !errors.Is(err, ErrConflict) {
		t.Errorf("apply to an old version: error %v, want ErrConflict", err)
	}
	if _, _, err := a.Apply(t.Context(), "f", []byte(document+" "), 0); !errors.Is(err, ErrExists) {
		t.Errorf("create a service that exists: error %v, want ErrExists", err)
	}
}

func TestWriteSucceedsWhenItsResponseIsLost(t *testing.T) {
	a, p, version := newAdmin(t)
	p.SetFaults(store.Faults{LostResponses: 1})
	if _, _, err := a.Apply(t.Context(), "f", []byte(document+"\n"), version); err != nil {
		t.Errorf("apply with a lost response: %v", err)
	}
	p.SetFaults(store.Faults{LostResponses: 1})
	b, err := a.TopUp(t.Context(), "one", "payment", 500)
	if err != nil || b.Paid() != 500 {
		t.Errorf("top up with a lost response: error %v, paid %d, want 500", err, b.Paid())
	}
}
