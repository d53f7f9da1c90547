package tunnel

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"jacinthladder.dev/internal/fleet/memory"
	"jacinthladder.dev/internal/fleet/socket"
)

// Path is the path of the requests for tunnels.
const Path = "/tunnel"

const (
	protocol      = "jacinthladder-tunnel"
	addressHeader = "Jacinthladder-Address"
)

const (
	// serveTimeout bounds the time to open a connection to an endpoint for a peer.
	serveTimeout = 200 * time.Millisecond
	// maxTunnels is the number of tunnels that an instance serves at a time.
	maxTunnels = 2000
	// copyBytes is the length of the buffer for what a peer sends.
	copyBytes = 16 << 10
	// tunnelBytes is what a tunnel takes of the memory of the process: the buffers of the kernel for both
	// connections, and those for both directions.
	tunnelBytes = 2*(socket.ReceiveBuffer+socket.SendBuffer) + maxFrame + copyBytes
	// tunnelFiles is the number of files that a tunnel takes.
	tunnelFiles = 2
)

// ErrCutOff means that no instance that was asked has a path to endpoints.
var ErrCutOff = errors.New("tunnel: no peer has a path to endpoints")

// Handler opens connections to endpoints for peers. Set the exported fields before use.
type Handler struct {
	// Known reports whether an address is that of an endpoint.
	Known func(address string) bool
	// Dial opens a connection by this instance's own path. It fails with ErrCutOff if this
	// instance has none to any endpoint.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Bound is what all callers and tunnels may make this process hold.
	Bound *memory.Bound
	// Opened, if set, is called for each tunnel.
	Opened func()

	open    atomic.Int64
	tunnels sync.WaitGroup
}

// Wait blocks until all tunnels have ended, or ctx ends.
func (h *Handler) Wait(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		h.tunnels.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// ServeHTTP opens a connection to the endpoint that the request names, and copies what the peer and
// the endpoint send until one of them closes its connection. It answers 404 for an address at
// which no endpoint is known, 502 if no connection can be opened, and 503 if this instance has no path
// to endpoints itself.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	address := r.Header.Get(addressHeader)
	if !h.Known(address) {
		http.Error(w, "no endpoint is known at this address", http.StatusNotFound)
		return
	}
	defer h.open.Add(-1)
	if h.open.Add(1) > maxTunnels {
		http.Error(w, "too many tunnels", http.StatusServiceUnavailable)
		return
	}
	reserved, ok := h.Bound.Open(tunnelBytes, tunnelFiles, nil)
	if !ok {
		http.Error(w, "no room for a tunnel", http.StatusBadGateway)
		return
	}
	defer reserved.Close()
	ctx, cancel := context.WithTimeout(r.Context(), serveTimeout)
	defer cancel()
	endpoint, err := h.Dial(ctx, address)
	if errors.Is(err, ErrCutOff) {
		http.Error(w, "no path to endpoints", http.StatusServiceUnavailable)
		return
	}
	if err != nil {
		http.Error(w, "no connection to the endpoint", http.StatusBadGateway)
		return
	}
	defer endpoint.Close()
	peer, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		http.Error(w, "this connection cannot become a tunnel", http.StatusInternalServerError)
		return
	}
	defer peer.Close()
	h.tunnels.Add(1)
	defer h.tunnels.Done()
	if _, err := fmt.Fprintf(peer, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: %s\r\n\r\n", protocol); err != nil {
		return // the peer has gone
	}
	if h.Opened != nil {
		h.Opened()
	}
	join(peer, buffered.Reader, endpoint)
}

// uploadTimeout is how long a write to an endpoint may go on after the endpoint has closed its connection.
const uploadTimeout = 200 * time.Millisecond

// upload writes what a peer sends to an endpoint, and remembers whether a write failed.
type upload struct {
	endpoint net.Conn
	turn     chan bool // holds whether all writes have succeeded, except during a write
}

func newUpload(endpoint net.Conn) *upload {
	u := &upload{endpoint: endpoint, turn: make(chan bool, 1)}
	u.turn <- true
	return u
}

// Write writes to the endpoint.
func (u *upload) Write(p []byte) (int, error) {
	whole := <-u.turn
	n, err := u.endpoint.Write(p)
	u.turn <- whole && err == nil
	return n, err
}

// whole reports whether all writes have succeeded. A write that does not end in uploadTimeout counts as failed.
func (u *upload) whole() bool {
	timeout := time.NewTimer(uploadTimeout)
	defer timeout.Stop()
	select {
	case whole := <-u.turn:
		u.turn <- whole
		return whole
	case <-timeout.C:
		return false
	}
}

// lingerTime is the time for which an instance still reads what a peer sends after the endpoint has
// closed its connection, because a reset would destroy the end of the response.
const lingerTime = 2 * time.Second

// join copies what the peer sends to the endpoint, and what the endpoint sends to the peer in frames,
// until one of them closes its connection.
func join(peer net.Conn, fromPeer *bufio.Reader, endpoint net.Conn) {
	var copies sync.WaitGroup
	up := newUpload(endpoint)
	copies.Go(func() {
		// Without the methods of TCP connections the bytes pass through this buffer, and not through a pipe
		// of the kernel, which would keep much more.
		_, err := io.CopyBuffer(up, struct{ io.Reader }{fromPeer}, make([]byte, copyBytes))
		endpoint.Close()
		if err != nil {
			io.Copy(io.Discard, fromPeer) // until the peer closes, or for lingerTime
		}
	})
	if err := writeFrames(peer, endpoint, up.whole); err != nil {
		peer.Close() // without the last frame, which tells the peer
	} else if err := peer.SetReadDeadline(time.Now().Add(lingerTime)); err != nil {
		peer.Close()
	}
	copies.Wait()
	peer.Close()
}
