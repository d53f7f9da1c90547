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
	subsets := map[string]int{}
	replaced := 0
	for _, member := range names("node", 260) {
		picked := Pick(member, endpoints, 32)
		for _, e := range picked {
			subsets[e]++
		}
		// After one endpoint is removed, only the subsets that contained it
		// change, by one endpoint each.
		after := Pick(member, endpoints[1:], 32)
		for _, e := range after {
			if !slices.Contains(picked, e) {
				replaced++
			}
		}
	}
	if replaced != subsets[endpoints[0]] {
		t.Errorf("%d subsets changed, %d contained the removed endpoint", replaced, subsets[endpoints[0]])
	}
	mean := 260 * 32 / 650
	for e, n := range subsets {
		if n > 3*mean {
			t.Errorf("%s is in %d subsets, the mean is %d", e, n, mean)
		}
	}
	if len(subsets) != 650 {
		t.Errorf("%d of 650 endpoints are in a subset", len(subsets))
	}
}

func TestPickOfFew(t *testing.T) {
	if got := Pick("o", []string{"a"}, 3); len(got) != 1 {
		t.Errorf("picked %v of one candidate", got)
	}
	if got := Pick("o", nil, 3); len(got) != 0 {
		t.Errorf("picked %v of no candidates", got)
	}
}

func ExamplePick() {
	fmt.Println(len(Pick("entry-1", []string{"e1", "e2", "e3"}, 2)))
	// Output: 2
}
