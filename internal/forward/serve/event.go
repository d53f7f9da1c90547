package serve

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

// maxEvent is the length of the longest event of a stream that is relayed, in bytes.
const maxEvent = 1 << 20

var (
	// errInsideEvent means that a stream has ended inside an event.
	errInsideEvent = errors.New("the stream ended inside an event")
	// errEventTooLong means that an event of a stream is longer than maxEvent.
	errEventTooLong = errors.New("an event of the stream is too long")
)

// readEvent reads one event and appends it, with its final empty line, to b, for whose growing
// length it asks grow. It returns the length of the event in bytes and its ID, which is empty if the event
// has none. At the end of the stream it returns io.EOF, or errInsideEvent if the bytes
// since the last event are not a complete one. After an error, b is as before.
func readEvent(br *bufio.Reader, b *bytes.Buffer, grow func(length int) bool) (n int, id string, err error) {
	start := b.Len()
	for {
		lineStart := b.Len()
		err := readLine(br, b, start+maxEvent, grow)
		n := b.Len() - start
		if err != nil {
			b.Truncate(start)
			if n > 0 && errors.Is(err, io.EOF) {
				err = errInsideEvent
			}
			return n, id, err
		}
		line := bytes.TrimRight(b.Bytes()[lineStart:], "\r\n")
		if len(line) == 0 {
			return n, id, nil
		}
		if rest, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(rest))
		}
	}
}

// readLine reads a line of any length and appends it, with its line break, to b. It
// fails with errEventTooLong if b would be longer than limit, and with errNoSpace if grow
// refuses its length.
func readLine(br *bufio.Reader, b *bytes.Buffer, limit int, grow func(length int) bool) error {
	for {
		part, err := br.ReadSlice('\n')
		length := b.Len() + len(part)
		switch {
		case length > limit:
			return errEventTooLong
		case !grow(length):
			return errNoSpace
		}
		b.Write(part)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

// errNotFollowing means that an endpoint was asked to resume a stream after an event, and its first
// event does not follow that one.
var errNotFollowing = errors.New("the first event does not follow the last one of the stream")

// follows reports whether the event with the given ID may follow the event with the ID from in a
// stream, where IDs increase. An empty from stands for the begin of the stream.
func follows(from, id string) bool {
	if from == "" {
		return true
	}
	last, err := strconv.ParseInt(from, 10, 64)
	if err != nil {
		return id != "" && id != from // not numbers: that is all that is known
	}
	next, err := strconv.ParseInt(id, 10, 64)
	return err == nil && next > last
}
