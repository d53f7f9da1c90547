package retry

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
)

func TestRetriesStayWithinTheRatio(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var p Pool
		retries := 0
		const requests = 1_000
		for range requests {
			a := p.Begin("s", 0.1, 3)
			for a.Again(context.Background(), false) {
				retries++
			}
		}
		if most := requests/10 + firstSaved; retries > most || retries < requests/10 {
			t.Errorf("%d retries for %d requests, at most %d allowed", retries, requests, most)
		}
	})
}

func TestTriesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var p Pool
		a := p.Begin("s", 1, 3)
		tries := 1
		for a.Again(context.Background(), true) {
			tries++
		}
		if tries != 3 {
			t.Errorf("%d tries of 3", tries)
		}
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		if p.Begin("s", 1, 3).Again(ended, true) {
			t.Error("another try after the request has ended")
		}
	})
}

func TestServicesHaveTheirOwnFunds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var p Pool
		for p.Begin("broken", 0, 2).Again(context.Background(), false) {
			continue
		}
		if !p.Begin("healthy", 0, 2).Again(context.Background(), false) {
			t.Error("one service's retries spent another's fund")
		}
	})
}

func ExamplePool() {
	var p Pool
	a := p.Begin("drafting", 0.1, 2)
	fmt.Println(a.Again(context.Background(), false), a.Again(context.Background(), false))
	// Output: true false
}
