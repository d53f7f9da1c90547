// Package ports chooses loopback ports for the servers of tests.
//
// A test that passes an address to a process, or starts a server again at the same
// address, needs a port on which nothing listens yet. Between the choice and the use,
// an outgoing connection or another test could take the port. So Claim chooses ports
// below the range from which the system assigns ports to outgoing connections, and keeps
// each one claimed until the test ends.
package ports

import (
	"math/rand/v2"
	"net"
	"strconv"
	"testing"
)

const (
	// firstPort is the first of the portCount ports that Claim chooses from.
	firstPort = 12_000
	portCount = 18_000
	// maxTries is the number of ports that Claim tries before it gives up.
	maxTries = 1000
)

// The servers of tests listen at serverHost. A listener at claimHost claims a port
// for them: no other test process can open one at the same port.
const (
	serverHost = "127.0.0.1"
	claimHost  = "127.0.0.2"
)

// Claim returns an address on loopback whose port is free. No other call of Claim, in any
// process, returns it before the test has ended.
func Claim(t testing.TB) string {
	t.Helper()
	for range maxTries {
		port := strconv.Itoa(firstPort + rand.IntN(portCount))
		claim, err := net.Listen("tcp", net.JoinHostPort(claimHost, port))
		if err != nil {
			continue // claimed by another test
		}
		address := net.JoinHostPort(serverHost, port)
		if !isFree(address) {
			claim.Close()
			continue
		}
		t.Cleanup(func() { claim.Close() })
		return address
	}
	t.Fatalf("choose a free port on loopback: none found in %d attempts", maxTries)
	return ""
}

// isFree reports whether a server can listen at the address.
func isFree(address string) bool {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	l.Close()
	return true
}
