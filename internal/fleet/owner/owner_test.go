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

// TestTakeOverAtNewOwner takes over an attempt that the owner of its key has not stored,
// because that process became the owner after the attempt was registered. Such an owner
// must accept the takeover.
func TestTakeOverAtNewOwner(t *testing.T) {
	r := newSingleMember()
	a := dedup.Attempt{Key: "key", Request: "r-1", Process: "entry-0/1"}
	if !r.TakeOver(t.Context(), a, time.Minute) {
		t.Fatal("TakeOver of an attempt that the owner of its key has not stored returned false, want true")
	}
	if registered := r.Register(t.Context(), a, time.Minute); registered.Process != r.Process() {
		t.Errorf("Register after the takeover returned an attempt of process %s, want entry-1/1, the process that took over the attempt", registered.Process)
	}
}

// TestEndedAttemptIsNotTakenOver checks that TakeOver returns false for an attempt that
// its process has ended.
func TestEndedAttemptIsNotTakenOver(t *testing.T) {
	r := newSingleMember()
	a := dedup.Attempt{Key: "key", Request: "r-1", Process: "entry-0/1"}
	r.Register(t.Context(), a, time.Minute)
	if _, ok := r.End(t.Context(), a); !ok {
		t.Fatal("End of an attempt by its own process returned false, want true")
	}
	if r.TakeOver(t.Context(), a, time.Minute) {
		t.Error("TakeOver of an ended attempt returned true, want false")
	}
}

// newSingleMember returns the registry of the only member of a fleet, the process
// "entry-1/1", which therefore owns every key.
func newSingleMember() *Registry {
	table := member.NewTable(member.Member{Process: "entry-1/1", Zone: "ikeja", Address: "127.0.0.1:1"}, time.Second)
	return New(table, peers.NewClient(table, nil), &log.Logger{Handler: discard.New()})
}
