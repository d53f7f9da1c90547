package settle

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"jacinthladder.dev/coord/escrow"
	"jacinthladder.dev/internal/conf/spec"
	"jacinthladder.dev/internal/entry/call"
	"jacinthladder.dev/internal/entry/price"
	"jacinthladder.dev/internal/stand/store"
)

var quiet = &log.Logger{Handler: discard.Default, Level: log.FatalLevel}

func newCall(t *testing.T, id string) *call.Call {
	t.Helper()
	src := `{"name":"s","kind":"model","models":["m"],"prices":{"output":1},"budgets":{"a":["b"]},"endpoints":[{"name":"e","zone":"z","url":"http://127.0.0.1:1","slots":1}]}`
	s, err := spec.Parse("s", []byte(src), 1)
	if err != nil {
		t.Fatal(err)
	}
	return call.NewChat(id, "a", "", 0, s, call.Chat{Model: "m"})
}

// TestRecordsAreFiledOnceUnderLostAnswers files records while writes are
// refused, lose their answers, or both.
func TestRecordsAreFiledOnceUnderLostAnswers(t *testing.T) {
	p := store.New()
	k := NewRecorder("entry-1/ab", p.Store(""), quiet)
	random := rand.New(rand.NewPCG(1, 1))
	share := escrow.NewShare("b", "entry-1/ab/1", nil)
	filed := 0
	for i := range 500 {
		h, ok := share.Reserve(0)
		if !ok {
			t.Fatal("no room for nothing")
		}
		k.Settle(newCall(t, fmt.Sprint("r", i)), h, price.Usage{Output: 3})
		p.Set(store.Faults{Down: random.IntN(4) == 0, Lose: random.IntN(3)})
		if k.Flush(context.Background()) == nil {
			filed++
		}
	}
	p.Set(store.Faults{})
	if err := k.Close(context.Background()); err != nil {
		t.Fatal(err)
	}
	seen := map[string]int{}
	for _, name := range p.Names(UsageKind, "") {
		o, err := p.Store("").Get(context.Background(), UsageKind, name)
		if err != nil {
			t.Fatal(err)
		}
		var records []Record
		if err := json.Unmarshal(o.Value(), &records); err != nil {
			t.Fatal(err)
		}
		for _, r := range records {
			seen[r.ID]++
		}
	}
	for id, n := range seen {
		if n != 1 {
			t.Errorf("%s is filed %d times", id, n)
		}
	}
	if len(seen) != 500 || k.Pending() != 0 || k.Flushed() != 500 || filed == 0 {
		t.Errorf("%d records, %d wait, %d filed", len(seen), k.Pending(), k.Flushed())
	}
}

func TestCostAboveTheBoundIsCutToIt(t *testing.T) {
	k := NewRecorder("entry-1/ab", store.New().Store(""), quiet)
	share := escrow.NewShare("b", "entry-1/ab/1", func(err error) { t.Error(err) })
	h, _ := share.Reserve(0)
	if cost := k.Settle(newCall(t, "r"), h, price.Usage{Output: 1 << 40}); cost != 0 {
		t.Errorf("cost %d above the bound 0", cost)
	}
}
