package owner

import (
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"jacinthladder.dev/coord/dedup"
	"jacinthladder.dev/coord/member"
	"jacinthladder.dev/internal/fleet/peers"
)

// TestTakeFromOwnerThatKnowsNothing takes an attempt over at an owner that
// became one after the attempt was registered: it has no say against it.
func TestTakeFromOwnerThatKnowsNothing(t *testing.T) {
	o := alone()
	a := dedup.Attempt{Key: "key", Request: "r-1", Process: "entry-0/1"}
	if !o.TakeOver(t.Context(), a, time.Minute) {
		t.Fatal("an owner that knows nothing of an attempt kept it where it was")
	}
	if first := o.Register(t.Context(), a, time.Minute); first.Process != o.Process() {
		t.Errorf("the attempt is with %s after it was taken over", first.Process)
	}
}

// TestEndedAttemptIsNotTaken asks for an attempt whose process ended it.
func TestEndedAttemptIsNotTaken(t *testing.T) {
	o := alone()
	a := dedup.Attempt{Key: "key", Request: "r-1", Process: "entry-0/1"}
	o.Register(t.Context(), a, time.Minute)
	if !o.End(t.Context(), a) {
		t.Fatal("a process may not end its own attempt")
	}
	if o.TakeOver(t.Context(), a, time.Minute) {
		t.Error("an attempt that has ended was taken over")
	}
}

// alone returns the owners of a fleet of one.
func alone() *Registry {
	table := member.NewTable(member.Member{Process: "entry-1/1", Zone: "ikeja", Address: "127.0.0.1:1"}, time.Second)
	return New(table, peers.NewClient(table, nil), &log.Logger{Handler: discard.New()})
}
