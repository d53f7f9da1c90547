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

// TestTakeOverAtNewOwner takes an attempt over at a member that became an owner
// after the attempt was registered. Such an owner must not prevent the takeover.
func TestTakeOverAtNewOwner(t *testing.T) {
	r := newSingleMember()
	a := dedup.Attempt{Key: "key", Request: "r-1", Process: "entry-0/1"}
	if !r.TakeOver(t.Context(), a, time.Minute) {
		t.Fatal("an owner without an entry for the attempt refused the takeover")
	}
	if registered := r.Register(t.Context(), a, time.Minute); registered.Process != r.Process() {
		t.Errorf("the attempt belongs to %s after the takeover", registered.Process)
	}
}

// TestEndedAttemptIsNotTakenOver tries to take over an attempt that has ended.
func TestEndedAttemptIsNotTakenOver(t *testing.T) {
	r := newSingleMember()
	a := dedup.Attempt{Key: "key", Request: "r-1", Process: "entry-0/1"}
	r.Register(t.Context(), a, time.Minute)
	if !r.End(t.Context(), a) {
		t.Fatal("a process could not end its own attempt")
	}
	if r.TakeOver(t.Context(), a, time.Minute) {
		t.Error("an attempt that has ended was taken over")
	}
}

// newSingleMember returns the registry of a fleet with one member.
func newSingleMember() *Registry {
	table := member.NewTable(member.Member{Process: "entry-1/1", Zone: "ikeja", Address: "127.0.0.1:1"}, time.Second)
	return New(table, peers.NewClient(table, nil), &log.Logger{Handler: discard.New()})
}
