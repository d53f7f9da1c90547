package retry

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
)

func TestRetriesStayWithinTheRatio(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var p Throttle
		retries := 0
		const requests = 1_000
		for range requests {
			a := p.Begin("s", 0.1, 3)
			for a.Next(context.Background(), false) {
				retries++
			}
		}
		if most := requests/10 + initialCredit; retries > most || retries < requests/10 {
			t.Errorf("%d retries for %d requests, at most %d allowed", retries, requests, most)
		}
	})
}

func TestTriesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var p Throttle
		a := p.Begin("s", 1, 3)
		tries := 1
		for a.Next(context.Background(), true) {
			tries++
		}
		if tries != 3 {
			t.Errorf("%d tries of 3", tries)
		}
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		if p.Begin("s", 1, 3).Next(ended, true) {
			t.Error("another try after the request has ended")
		}
	})
}

func TestServicesHaveTheirOwnFunds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var p Throttle
		for p.Begin("broken", 0, 2).Next(context.Background(), false) {
			continue
		}
		if !p.Begin("healthy", 0, 2).Next(context.Background(), false) {
			t.Error("one service's retries spent another's fund")
		}
	})
}

func ExampleThrottle() {
	var p Throttle
	a := p.Begin("drafting", 0.1, 2)
	fmt.Println(a.Next(context.Background(), false), a.Next(context.Background(), false))
	// Output: true false
}
