package crowd

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

const (
	// pieceSize is the length of the pieces in which a body is sent piece by piece, and
	// pieceInterval the time between two of them.
	pieceSize     = 64 << 10
	pieceInterval = 2 * time.Millisecond
	// largeChunk and smallChunk are the lengths of the chunks of a body.
	largeChunk = 64 << 10
	smallChunk = 16
	// maxFar bounds the bytes of a body that is far over the limit.
	maxFar = 64 << 20
	// maxHead bounds the bytes of a head, and maxBehind those that follow a request.
	maxHead   = 240 << 10
	maxBehind = 16 << 20
	// readBuffer is the receive buffer of a caller that does not read its answer, in bytes.
	readBuffer = 4 << 10
)

// Form is what each caller of a crowd does.
type Form struct {
	Name  string
	Size  int  // number of callers
	Deaf  bool // the callers do not read their answers
	Large bool // the callers ask for a large answer
	send  func(w io.Writer, head, body string) error
}

// Forms returns what callers do that keep to no limit, each with a crowd of the given size.
func Forms(size int) []Form {
	return []Form{
		{Name: "whole bodies at once", Size: size, send: func(w io.Writer, head, body string) error {
			return write(w, head, lengthOf(len(body)), body)
		}},
		{Name: "bodies short of their end", Size: size, send: func(w io.Writer, head, body string) error {
			return write(w, head, lengthOf(len(body)), body[:len(body)-1])
		}},
		{Name: "bodies piece by piece, short of their end", Size: size, send: func(w io.Writer, head, body string) error {
			if err := write(w, head, lengthOf(len(body))); err != nil {
				return err
			}
			return pieces(w, body[:len(body)-1])
		}},
		{Name: "whole bodies in large chunks", Size: size, send: func(w io.Writer, head, body string) error {
			if err := chunks(w, head, body, largeChunk); err != nil {
				return err
			}
			return write(w, "0\r\n\r\n")
		}},
		{Name: "large chunks, short of their end", Size: size, send: func(w io.Writer, head, body string) error {
			return chunks(w, head, body[:len(body)-1], largeChunk)
		}},
		{Name: "very small chunks, short of their end", Size: size, send: func(w io.Writer, head, body string) error {
			return chunks(w, head, body[:len(body)-1], smallChunk)
		}},
		{Name: "a length far over the limit", Size: size, send: func(w io.Writer, head, _ string) error {
			if err := write(w, head, lengthOf(1<<30)); err != nil {
				return err
			}
			return pieces(w, fill(maxFar))
		}},
		{Name: "chunks far over the limit", Size: size, send: func(w io.Writer, head, _ string) error {
			return chunks(w, head, fill(maxFar), largeChunk)
		}},
		{Name: "heads without an end", Size: size, send: func(w io.Writer, head, _ string) error {
			return write(w, head, shortLines(maxHead))
		}},
		{Name: "heads of one long line", Size: 4 * size, send: func(w io.Writer, head, _ string) error {
			return write(w, head, "X-Long: ", fill(maxHead))
		}},
		{Name: "bytes behind a request", Size: 4 * size, send: func(w io.Writer, head, _ string) error {
			if err := write(w, head, lengthOf(1), "x"); err != nil {
				return err
			}
			return pieces(w, fill(maxBehind))
		}},
		{Name: "large answers that are not read", Size: size, Deaf: true, Large: true, send: func(w io.Writer, head, _ string) error {
			return write(w, head, lengthOf(1), "x")
		}},
		{Name: "connections without a request", Size: 10 * size, send: func(io.Writer, string, string) error { return nil }},
	}
}

// write sends texts one after the other in one call.
func write(w io.Writer, texts ...string) error {
	_, err := io.WriteString(w, strings.Join(texts, ""))
	return err
}

// lengthOf returns the end of a head that states the length of a body.
func lengthOf(length int) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n", length) }

// fill returns a text of the given length.
func fill(length int) string { return strings.Repeat("x", length) }

// pieces sends a part of a body in pieces, with a pause after each.
func pieces(w io.Writer, part string) error {
	for len(part) > 0 {
		n := min(pieceSize, len(part))
		if err := write(w, part[:n]); err != nil {
			return err
		}
		part = part[n:]
		time.Sleep(pieceInterval)
	}
	return nil
}

// chunks sends a head and a part of a body in chunks of one size, without the last chunk.
func chunks(w io.Writer, head, part string, size int) error {
	if err := write(w, head, "Transfer-Encoding: chunked\r\n\r\n"); err != nil {
		return err
	}
	out := bufio.NewWriterSize(w, largeChunk)
	for len(part) > 0 {
		n := min(size, len(part))
		if _, err := fmt.Fprintf(out, "%x\r\n%s\r\n", n, part[:n]); err != nil {
			return err
		}
		part = part[n:]
	}
	return out.Flush()
}

// shortLines returns different lines of a head, which take more memory than their bytes.
func shortLines(length int) string {
	var b strings.Builder
	for i := 0; b.Len() < length; i++ {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}

// limitReads makes the kernel keep few bytes for a caller that does not read.
func limitReads(nc net.Conn) error { return nc.(*net.TCPConn).SetReadBuffer(readBuffer) }
