package serve

import (
	"bytes"
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"jacinthladder.dev/internal/fleet/memory"
)

const (
	// freeSpace is how many bytes of an incomplete response each request may keep.
	freeSpace = 16 << 10
	// spaceStep is the number of bytes by which the space of a request beyond that grows.
	spaceStep = 32 << 10
	// maxSpace bounds the bytes that all requests together keep beyond freeSpace each.
	maxSpace = 16 << 20
)

// errNoSpace means that all requests together keep too much of incomplete responses.
var errNoSpace = errors.New("too much is kept of incomplete responses")

// space is the memory in which one request keeps what it can't relay yet of a response. All requests
// share what each may use beyond freeSpace, so that an endpoint which sends bytes without end can't
// exhaust the memory of the instance.
type space struct {
	shared   *atomic.Int64       // bytes taken by all requests
	taken    int64               // of these, by this one
	reserved *memory.Reservation // from which they are taken, too
}

// grow makes room for length bytes, and reports whether there is any.
func (s *space) grow(length int) bool {
	if length <= freeSpace {
		return true
	}
	steps := (length - freeSpace + spaceStep - 1) / spaceStep
	more := int64(steps*spaceStep) - s.taken
	if more <= 0 {
		return true
	}
	if s.shared.Add(more) > maxSpace || !s.reserved.Grow(more) {
		s.shared.Add(-more)
		return false
	}
	s.taken += more
	return true
}

// release gives the room back.
func (s *space) release() {
	s.shared.Add(-s.taken)
	s.reserved.Shrink(s.taken)
	s.taken = 0
}

// readAll reads from r until its end, or until it has read more than limit bytes or there is no room for
// more. Whole reports that it has reached the end.
func (s *space) readAll(r io.Reader, limit int) (data []byte, whole bool, err error) {
	var b bytes.Buffer
	limited := io.LimitReader(r, int64(limit)+1)
	for s.grow(b.Len() + freeSpace) {
		n, err := b.ReadFrom(io.LimitReader(limited, freeSpace))
		if err != nil {
			return nil, false, err
		}
		if n < freeSpace {
			return b.Bytes(), b.Len() <= limit, nil
		}
	}
	return b.Bytes(), false, nil
}
