package tunnel

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"

	"github.com/cockroachdb/errors"
)

const (
	// maxFrame is the length of the longest frame, in bytes, without its header.
	maxFrame = 32 << 10
	// frameHeader is the length of the header of a frame: the length of its data in two bytes. A
	// frame without data is the last one.
	frameHeader = 2
)

// errBroken means that the connection to the endpoint has ended after a write to it had failed. The system
// reports a reset only once, so the connection may have ended by one.
var errBroken = errors.New("tunnel: the connection to the endpoint broke")

// writeFrames copies src to dst in frames, until src ends or fails. It writes the last frame only if
// src has ended and whole reports that this was no reset.
func writeFrames(dst io.Writer, src io.Reader, whole func() bool) error {
	buffer := make([]byte, frameHeader+maxFrame)
	for {
		n, err := src.Read(buffer[frameHeader:])
		ended := errors.Is(err, io.EOF)
		if n > 0 {
			binary.BigEndian.PutUint16(buffer, uint16(n))
			if _, err := dst.Write(buffer[:frameHeader+n]); err != nil {
				return errors.Wrap(err, "tunnel: write a frame")
			}
		}
		if ended && !whole() {
			return errBroken
		}
		if ended {
			_, err := dst.Write(make([]byte, frameHeader))
			return errors.Wrap(err, "tunnel: write the last frame")
		}
		if err != nil {
			return errors.Wrap(err, "tunnel: read from the endpoint")
		}
	}
}

// conn is the instance's end of a tunnel. It reads what the frames hold.
type conn struct {
	net.Conn
	frames *bufio.Reader
	left   int  // bytes of the current frame that are not read yet
	ended  bool // the last frame was read
}

// Read returns io.EOF after the last frame, and io.ErrUnexpectedEOF if the tunnel ends without it.
func (c *conn) Read(p []byte) (int, error) {
	if c.ended {
		return 0, io.EOF
	}
	if c.left == 0 {
		var header [frameHeader]byte
		if _, err := io.ReadFull(c.frames, header[:]); err != nil {
			return 0, broken(err)
		}
		if c.left = int(binary.BigEndian.Uint16(header[:])); c.left == 0 {
			c.ended = true
			return 0, io.EOF
		}
	}
	n, err := c.frames.Read(p[:min(len(p), c.left)])
	c.left -= n
	return n, broken(err)
}

// broken returns the error of a tunnel that has ended without its last frame.
func broken(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
