package prepay

import (
	"fmt"
	"testing"
	"time"

	"jacinthladder.dev/internal/forward/route"
)

// TestKillOfAllInstancesStrandsLittleOfAnIdleBudget checks that the least targets of all
// shares together are at most 3 % of what is paid in, however many instances draw.
func TestKillOfAllInstancesStrandsLittleOfAnIdleBudget(t *testing.T) {
	const prepaid = 1_000_000
	for _, drawing := range []int{1, 2, 5, 15, 27, 100} {
		t.Run(fmt.Sprint(drawing, " instances draw"), func(t *testing.T) {
			r := &Reserver{EmptyTTL: func() time.Duration { return time.Second }, Drawing: func() int { return drawing }}
			p := r.Policy(&route.Account{Name: "field", Metered: true, Prepaid: prepaid})
			if held := p.MinTarget * int64(drawing); held > prepaid*3/100 || p.MinTarget == 0 {
				t.Errorf("the least targets of %d shares are %d tokens each, %d together, want some and at most %d together", drawing, p.MinTarget, held, prepaid*3/100)
			}
		})
	}
}
