package conns

import (
	"io"

	"github.com/cockroachdb/errors"
)

// maxHeaderBytes is the largest header of a response, in bytes.
const maxHeaderBytes = 256 << 10

// errHeaderTooLong means that an endpoint has sent more than maxHeaderBytes without
// ending the header of its response.
var errHeaderTooLong = errors.New("conns: the header of the endpoint's response is too long")

// headerLimit reads from a connection. Between start and stop it reads at most
// maxHeaderBytes, and then fails.
type headerLimit struct {
	reader  io.Reader
	limited bool
	left    int // bytes that may be read, if limited
}

func (l *headerLimit) start() { l.limited, l.left = true, maxHeaderBytes }

func (l *headerLimit) stop() { l.limited = false }

// Read reads from the connection, within the limit.
func (l *headerLimit) Read(p []byte) (int, error) {
	if !l.limited {
		return l.reader.Read(p)
	}
	if l.left == 0 {
		return 0, errHeaderTooLong
	}
	n, err := l.reader.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}
