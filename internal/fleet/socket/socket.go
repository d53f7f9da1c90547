// Package socket opens TCP sockets for which the kernel keeps a bounded number of bytes.
//
// Without a bound the kernel keeps megabytes for a connection whose bytes nobody reads, and that memory
// is the machine's, too.
package socket

import (
	"context"
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
)

const (
	// ReceiveBuffer is what the kernel may receive for a connection that nobody has read, in bytes.
	ReceiveBuffer = 32 << 10
	// SendBuffer is what the kernel may keep of what a connection still has to send, in bytes.
	SendBuffer = 32 << 10
)

// Listen opens a TCP listener. The bounds hold from the first byte of each connection, before it is accepted.
func Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: limitBuffers}
	return config.Listen(context.Background(), "tcp", address)
}

// Dialer returns a dialer whose connections are bounded.
func Dialer() *net.Dialer { return &net.Dialer{Control: limitBuffers} }

// limitBuffers sets the sizes of the kernel's buffers of a socket.
func limitBuffers(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = errors.CombineErrors(
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, ReceiveBuffer),
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, SendBuffer),
		)
	})
	return errors.Wrap(errors.CombineErrors(err, failed), "socket: bound the buffers of the kernel")
}
