package retry

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
)

func TestRetriesStayWithinTheRatio(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var throttle Throttle
		retries := 0
		const requests = 1_000
		for range requests {
			a := throttle.Begin("s", 0.1, 3)
			for a.Next(context.Background(), false) {
				retries++
			}
		}
		if limit := requests/10 + initialCredit; retries > limit || retries < requests/10 {
			t.Errorf("Next allowed %d retries for %d requests with a ratio of 0.1, want at most %d and at least 100", retries, requests, limit)
		}
	})
}

func TestAttemptsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var throttle Throttle
		a := throttle.Begin("s", 1, 3)
		attempts := 1
		for a.Next(context.Background(), true) {
			attempts++
		}
		if attempts != 3 {
			t.Errorf("the request had %d attempts with a limit of 3, want 3", attempts)
		}
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		if throttle.Begin("s", 1, 3).Next(ended, true) {
			t.Error("Next returned true after the context of the request had ended, want false")
		}
	})
}

func TestServicesHaveSeparateCredits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var throttle Throttle
		for throttle.Begin("broken", 0, 2).Next(context.Background(), false) {
			continue
		}
		if !throttle.Begin("healthy", 0, 2).Next(context.Background(), false) {
			t.Error("Next returned false for service healthy after retries had spent the credit of service broken, want true")
		}
	})
}

func ExampleThrottle() {
	var throttle Throttle
	a := throttle.Begin("drafting", 0.1, 2)
	fmt.Println(a.Next(context.Background(), false), a.Next(context.Background(), false))
	// Output: true false
}
