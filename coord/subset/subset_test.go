package subset

import (
	"fmt"
	"slices"
	"testing"
)

func names(prefix string, count int) []string {
	all := make([]string, count)
	for i := range all {
		all[i] = fmt.Sprint(prefix, i)
	}
	return all
}

func TestPickIsStableAndEven(t *testing.T) {
	endpoints := names("e", 650)
	uses := map[string]int{}
	moved := 0
	for _, owner := range names("node", 260) {
		picked := Pick(owner, endpoints, 32)
		for _, e := range picked {
			uses[e]++
		}
		// One endpoint goes: only those who had it change, and only by one.
		after := Pick(owner, endpoints[1:], 32)
		for _, e := range after {
			if !slices.Contains(picked, e) {
				moved++
			}
		}
	}
	if moved != uses[endpoints[0]] {
		t.Errorf("%d moved, %d had the endpoint that went", moved, uses[endpoints[0]])
	}
	mean := 260 * 32 / 650
	for e, n := range uses {
		if n > 3*mean {
			t.Errorf("%s is used by %d, the mean is %d", e, n, mean)
		}
	}
	if len(uses) != 650 {
		t.Errorf("%d of 650 are used", len(uses))
	}
}

func TestPickOfFew(t *testing.T) {
	if got := Pick("o", []string{"a"}, 3); len(got) != 1 {
		t.Errorf("picked %v of one", got)
	}
	if got := Pick("o", nil, 3); len(got) != 0 {
		t.Errorf("picked %v of none", got)
	}
}

func ExamplePick() {
	fmt.Println(len(Pick("entry-1", []string{"e1", "e2", "e3"}, 2)))
	// Output: 2
}
