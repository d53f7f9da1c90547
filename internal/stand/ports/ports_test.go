package ports

import (
	"net"
	"sync"
	"testing"
)

// TestPortsAreClaimedOnce claims many ports at the same time, as tests in several
// processes do. No address may be returned twice, and a server can listen at each.
func TestPortsAreClaimedOnce(t *testing.T) {
	const claims = 2_000
	var mu sync.Mutex
	var work sync.WaitGroup
	seen := map[string]bool{}
	for range 4 {
		work.Go(func() {
			for range claims / 4 {
				address := Claim(t)
				mu.Lock()
				if seen[address] {
					t.Errorf("Claim returned %s twice, want each address once", address)
				}
				seen[address] = true
				mu.Unlock()
			}
		})
	}
	work.Wait()
	for address := range seen {
		l, err := net.Listen("tcp", address)
		if err != nil {
			t.Fatalf("listening at a claimed address failed: %v", err)
		}
		l.Close()
	}
}
