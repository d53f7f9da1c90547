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

// document is a service document with comments, which lists only the budget "one".
const document = `{
	// kept
	"name": "ledger", "kind": "plain",
	"endpoints": [{"name": "l", "zone": "a", "url": "http://127.0.0.1:1", "slots": 1}],
	"budgets": {"field": ["one"]}, // kept too
}`

// newAdmin returns an Admin whose platform stores the client account "field", its
// budgets "one" and "two", and the service document. It also returns the platform and the
// version of the document.
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
		t.Errorf("Apply based on an old version: got error %v, want ErrConflict", err)
	}
	if _, _, err := a.Apply(t.Context(), "f", []byte(document+" "), 0); !errors.Is(err, ErrExists) {
		t.Errorf("Apply of a new service with the name of one that exists: got error %v, want ErrExists", err)
	}
}

func TestWriteSucceedsWhenItsResponseIsLost(t *testing.T) {
	a, p, version := newAdmin(t)
	p.SetFaults(store.Faults{LostResponses: 1})
	if _, _, err := a.Apply(t.Context(), "f", []byte(document+"\n"), version); err != nil {
		t.Errorf("Apply whose response is lost: got error %v, want none", err)
	}
	p.SetFaults(store.Faults{LostResponses: 1})
	b, err := a.TopUp(t.Context(), "one", "payment", 500)
	if err != nil || b.Paid() != 500 {
		t.Errorf("TopUp of 500 whose response is lost: got error %v and %d paid, want no error and 500 paid", err, b.Paid())
	}
}
