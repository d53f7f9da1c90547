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
		turned := slices.Clone(members)
		slices.Reverse(turned)
		if !slices.Equal(owners, Owners(key, turned)) {
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
// operations: at any time one process at most may bill a key.
func TestRegistryAgainstModel(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var g Registry
		now := time.Unix(0, 0)
		holder := map[string]string{}
		ended := map[string]bool{}
		process := rapid.SampledFrom([]string{"a/1", "b/1", "c/1"})
		key := rapid.SampledFrom([]string{"k", "l"})
		r.Repeat(map[string]func(*rapid.T){
			"register": func(r *rapid.T) {
				k, p := key.Draw(r, "key"), process.Draw(r, "process")
				if holder[k] == "" {
					holder[k] = p
				}
				if got := g.Register(Attempt{Key: k, Process: p}, now, time.Hour); got.Process != holder[k] {
					r.Fatalf("%s is held by %s, want %s", k, got.Process, holder[k])
				}
			},
			"take": func(r *rapid.T) {
				k, from, to := key.Draw(r, "key"), process.Draw(r, "from"), process.Draw(r, "to")
				if holder[k] == from && !ended[k] {
					holder[k] = to
				}
				want := holder[k] == to && !ended[k]
				if got := g.TakeOver(k, from, to); got != want {
					r.Fatalf("take %s from %s to %s: %v, want %v", k, from, to, got, want)
				}
			},
			"end": func(r *rapid.T) {
				k, p := key.Draw(r, "key"), process.Draw(r, "process")
				want := holder[k] == "" || holder[k] == p
				ended[k] = ended[k] || holder[k] != "" && want
				if got := g.End(k, p); got != want {
					r.Fatalf("end %s by %s: %v, want %v", k, p, got, want)
				}
			},
			"drop": func(r *rapid.T) {
				k, p := key.Draw(r, "key"), process.Draw(r, "process")
				if holder[k] == p {
					delete(holder, k)
					delete(ended, k)
				}
				g.Remove(k, p)
			},
		})
	})
}

func TestRegistryForgetsInTime(t *testing.T) {
	var g Registry
	now := time.Unix(0, 0)
	g.Register(Attempt{Key: "k", Process: "a/1"}, now, time.Second)
	later := now.Add(time.Minute)
	if got := g.Register(Attempt{Key: "k", Process: "b/1"}, later, time.Second); got.Process != "b/1" {
		t.Errorf("an attempt whose time is over still holds: %+v", got)
	}
	g.Register(Attempt{Key: "l", Process: "b/1"}, later.Add(time.Minute), time.Second)
	if g.Len() != 1 {
		t.Errorf("%d entries are kept", g.Len())
	}
}

func ExampleRegistry() {
	var g Registry
	first := Attempt{Key: "order-7", Request: "r1", Process: "entry-1/ab"}
	retry := Attempt{Key: "order-7", Request: "r2", Process: "entry-2/cd"}
	fmt.Println(g.Register(first, time.Now(), time.Minute).Request)
	fmt.Println(g.Register(retry, time.Now(), time.Minute).Request)
	fmt.Println(g.TakeOver("order-7", first.Process, retry.Process))
	fmt.Println(g.End("order-7", first.Process), g.End("order-7", retry.Process))
	// Output:
	// r1
	// r1
	// true
	// false true
}
