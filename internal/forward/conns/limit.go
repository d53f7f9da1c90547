package conns

import (
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

const (
	// maxHeaderBytes is the largest header of a response, in bytes.
	maxHeaderBytes = 64 << 10
	// maxHeaderLines is the number of lines of the largest header of a response. A line takes more
	// memory than its bytes.
	maxHeaderLines = 512
)

// errHeaderTooLong means that an endpoint has sent more than maxHeaderBytes or maxHeaderLines without
// ending the header of its response.
var errHeaderTooLong = errors.New("conns: the header of the endpoint's response is too long")

// headerLimit reads from a connection. Between start and stop it fails after maxHeaderBytes or
// maxHeaderLines. What it reads last may be a part of the body.
type headerLimit struct {
	reader  io.Reader
	limited bool
	left    int // bytes that may be read, if limited
	lines   int // lines that may be read, if limited
}

func (l *headerLimit) start() { l.limited, l.left, l.lines = true, maxHeaderBytes, maxHeaderLines }

func (l *headerLimit) stop() { l.limited = false }

// Read reads from the connection, within the limit.
func (l *headerLimit) Read(p []byte) (int, error) {
	if !l.limited {
		return l.reader.Read(p)
	}
	if l.left == 0 || l.lines < 0 {
		return 0, errHeaderTooLong
	}
	n, err := l.reader.Read(p[:min(len(p), l.left)])
	l.left -= n
	l.lines -= bytes.Count(p[:n], []byte{'\n'})
	return n, err
}
