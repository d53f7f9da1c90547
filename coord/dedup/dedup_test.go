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
			t.Fatalf("%s: owners %v", key, owners)
		}
		reversed := slices.Clone(members)
		slices.Reverse(reversed)
		if !slices.Equal(owners, Owners(key, reversed)) {
			t.Fatalf("%s: owners depend on the order of members", key)
		}
	}
	if got := Owners("key", nil); got != nil {
		t.Errorf("owners without members: %v", got)
	}
	if got := Owners("key", members[:2]); len(got) != 1 {
		t.Errorf("owners in one zone: %v", got)
	}
}

// TestRegistryAgainstModel compares a registry with a plain map over random
// operations: at any time at most one process may bill a key.
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
					r.Fatalf("%s belongs to %s, want %s", k, got.Process, billing[k])
				}
			},
			"take": func(r *rapid.T) {
				k, from, to := key.Draw(r, "key"), process.Draw(r, "from"), process.Draw(r, "to")
				if billing[k] == from && !ended[k] {
					billing[k] = to
				}
				want := billing[k] == to && !ended[k]
				if got := reg.TakeOver(k, from, to); got != want {
					r.Fatalf("take %s from %s to %s: %v, want %v", k, from, to, got, want)
				}
			},
			"end": func(r *rapid.T) {
				k, p := key.Draw(r, "key"), process.Draw(r, "process")
				want := billing[k] == "" || billing[k] == p
				ended[k] = ended[k] || billing[k] != "" && want
				if got := reg.End(k, p); got != want {
					r.Fatalf("end %s by %s: %v, want %v", k, p, got, want)
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
		t.Errorf("an expired attempt is still registered: %+v", got)
	}
	reg.Register(Attempt{Key: "l", Process: "b/1"}, later.Add(time.Minute), time.Second)
	if reg.Len() != 1 {
		t.Errorf("%d entries are kept, want 1", reg.Len())
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
