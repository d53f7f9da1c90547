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

// discardLog is a logger that drops all messages.
var discardLog = &log.Logger{Handler: discard.Default, Level: log.FatalLevel}

// newCall returns a call with the request ID id of a model service. The only price of
// the service is 1 micro-unit per response token.
func newCall(t *testing.T, id string) *call.Call {
	t.Helper()
	src := `{"name":"s","kind":"model","models":["m"],"prices":{"output":1},"budgets":{"a":["b"]},"endpoints":[{"name":"e","zone":"z","url":"http://127.0.0.1:1","slots":1}]}`
	s, err := spec.Parse("s", []byte(src), 1)
	if err != nil {
		t.Fatal(err)
	}
	return call.NewChat(id, "a", "", 0, s, call.Chat{Model: "m"})
}

// TestRecordsAreWrittenOnceWhenResponsesAreLost writes records while the platform
// refuses writes, loses their responses, or both. Every record must be stored
// exactly once.
func TestRecordsAreWrittenOnceWhenResponsesAreLost(t *testing.T) {
	platform := store.New()
	recorder := NewRecorder("entry-1/ab", platform.Store(""), discardLog)
	random := rand.New(rand.NewPCG(1, 1))
	share := escrow.NewShare("b", "entry-1/ab/1", nil)
	succeeded := 0
	for i := range 500 {
		hold, ok := share.Reserve(0)
		if !ok {
			t.Fatal("Share.Reserve of 0 micro-units on an open share failed, want a reservation")
		}
		recorder.Settle(newCall(t, fmt.Sprint("r", i)), hold, price.Usage{Output: 3})
		platform.SetFaults(store.Faults{Down: random.IntN(4) == 0, LostResponses: random.IntN(3)})
		if recorder.Flush(context.Background()) == nil {
			succeeded++
		}
	}
	platform.SetFaults(store.Faults{})
	if err := recorder.Close(context.Background()); err != nil {
		t.Fatal(err)
	}
	seen := map[string]int{}
	for _, name := range platform.Names(UsageKind, "") {
		o, err := platform.Store("").Get(context.Background(), UsageKind, name)
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
			t.Errorf("the usage record of request %s is stored %d times, want once", id, n)
		}
	}
	if len(seen) != 500 || recorder.Pending() != 0 || recorder.Flushed() != 500 || succeeded == 0 {
		t.Errorf("after 500 settled requests: records of %d requests are stored, %d records are pending and %d flushed, want 500, 0 and 500, and at least one Flush without an error", len(seen), recorder.Pending(), recorder.Flushed())
	}
}

// TestCostAboveReservationIsReduced settles a call for which 0 micro-units were
// reserved and whose engine reports 1<<40 response tokens. Only the reserved amount
// may be charged.
func TestCostAboveReservationIsReduced(t *testing.T) {
	recorder := NewRecorder("entry-1/ab", store.New().Store(""), discardLog)
	share := escrow.NewShare("b", "entry-1/ab/1", func(err error) { t.Error(err) })
	hold, _ := share.Reserve(0)
	if cost := recorder.Settle(newCall(t, "r"), hold, price.Usage{Output: 1 << 40}); cost != 0 {
		t.Errorf("Settle charged %d for a cost above the reservation, want the reserved amount 0", cost)
	}
}
