package dedup

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jacinthladder.dev/internal/tools/seeds"
)

func TestMain(m *testing.M) { seeds.Main(m, "100") }

func TestOwnersAreInTwoZones(t *testing.T) {
	members := []Candidate{{"a/1", "x"}, {"b/1", "x"}, {"c/1", "y"}, {"d/1", "x"}}
	for i := range 100 {
		key := fmt.Sprint("key ", i)
		owners := Owners(key, members)
		if len(owners) != 2 || (owners[0] == "c/1") == (owners[1] == "c/1") {
			t.Fatalf("for %s, Owners returned %v, want two owners, of which exactly one is c/1, the only member of zone y", key, owners)
		}
		reversed := slices.Clone(members)
		slices.Reverse(reversed)
		if !slices.Equal(owners, Owners(key, reversed)) {
			t.Fatalf("Owners returned other owners of %s for the same members in reverse order, want the same owners in the same order", key)
		}
	}
	if got := Owners("key", nil); got != nil {
		t.Errorf("Owners returned %v without members, want nil", got)
	}
	if got := Owners("key", members[:2]); len(got) != 1 {
		t.Errorf("Owners returned %v for two members in one zone, want one owner", got)
	}
}

// TestRegistryAgainstModel compares a registry with a model over random operations.
// The model consists of two maps by key: the process that may bill the attempt, and
// whether the attempt has ended. The test checks that the attempt at a key belongs
// to at most one process at a time, which alone may bill it.
func TestRegistryAgainstModel(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var reg Registry
		now := time.Unix(0, 0)
		billing := map[string]string{}
		ended := map[string]bool{}
		process := rapid.SampledFrom([]string{"a/1", "b/1", "c/1"})
		key := rapid.SampledFrom([]string{"k", "l"})
		r.Repeat(map[string]func(*rapid.T){
			"register": func(r *rapid.T) {
				k, p := key.Draw(r, "key"), process.Draw(r, "process")
				if billing[k] == "" {
					billing[k] = p
				}
				if got := reg.Register(Attempt{Key: k, Process: p}, now, time.Hour); got.Process != billing[k] {
					r.Fatalf("Register of key %s returned an attempt of process %s, want that of %s", k, got.Process, billing[k])
				}
			},
			"take": func(r *rapid.T) {
				k, from, to := key.Draw(r, "key"), process.Draw(r, "from"), process.Draw(r, "to")
				if billing[k] == from && !ended[k] {
					billing[k] = to
				}
				want := billing[k] == to && !ended[k]
				if got := reg.TakeOver(k, from, to); got != want {
					r.Fatalf("TakeOver of key %s from process %s to %s returned %v, want %v", k, from, to, got, want)
				}
			},
			"end": func(r *rapid.T) {
				k, p := key.Draw(r, "key"), process.Draw(r, "process")
				want := billing[k] == "" || billing[k] == p
				ended[k] = ended[k] || billing[k] != "" && want
				if got := reg.End(k, p); got != want {
					r.Fatalf("End of key %s by process %s returned %v, want %v", k, p, got, want)
				}
			},
			"drop": func(r *rapid.T) {
				k, p := key.Draw(r, "key"), process.Draw(r, "process")
				if billing[k] == p {
					delete(billing, k)
					delete(ended, k)
				}
				reg.Remove(k, p)
			},
		})
	})
}

func TestRegistryExpiresEntries(t *testing.T) {
	var reg Registry
	now := time.Unix(0, 0)
	reg.Register(Attempt{Key: "k", Process: "a/1"}, now, time.Second)
	later := now.Add(time.Minute)
	if got := reg.Register(Attempt{Key: "k", Process: "b/1"}, later, time.Second); got.Process != "b/1" {
		t.Errorf("Register after the expiry of the attempt of a/1 returned %+v, want the attempt of b/1", got)
	}
	reg.Register(Attempt{Key: "l", Process: "b/1"}, later.Add(time.Minute), time.Second)
	if reg.Len() != 1 {
		t.Errorf("the registry has %d attempts after Register has removed the expired one, want only the new one", reg.Len())
	}
}

func ExampleRegistry() {
	var reg Registry
	first := Attempt{Key: "order-7", Request: "r1", Process: "entry-1/ab"}
	retry := Attempt{Key: "order-7", Request: "r2", Process: "entry-2/cd"}
	fmt.Println(reg.Register(first, time.Now(), time.Minute).Request)
	fmt.Println(reg.Register(retry, time.Now(), time.Minute).Request)
	fmt.Println(reg.TakeOver("order-7", first.Process, retry.Process))
	fmt.Println(reg.End("order-7", first.Process), reg.End("order-7", retry.Process))
	// Output:
	// r1
	// r1
	// true
	// false true
}
