package serve

import (
	"bufio"
	"bytes"
	"io"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
)

func TestEventIsNotSplitWhereALineFillsTheBuffer(t *testing.T) {
	const bufferSize = 4096 // of a bufio.Reader
	for _, length := range []int{bufferSize - 1, bufferSize, bufferSize + 1, 2 * bufferSize} {
		event := "id: 12\ndata: " + strings.Repeat("x", length-len("data: ")) + "\ndata: y\n\n"
		br := bufio.NewReader(strings.NewReader(event + "data: z\n\n"))
		var b bytes.Buffer
		n, id, err := readEvent(br, &b, anyLength)
		if n != len(event) || id != "12" || err != nil || b.String() != event {
			t.Errorf("a line of %d bytes: readEvent returned %d bytes, ID %q and error %v, want %d bytes and ID 12", length, n, id, err, len(event))
		}
	}
}

func TestTooLongEventEndsTheStream(t *testing.T) {
	for name, line := range map[string]string{"one line": "x", "many lines": "data: x\n"} {
		var b bytes.Buffer
		_, _, err := readEvent(bufio.NewReader(strings.NewReader(strings.Repeat(line, maxEvent+1))), &b, anyLength)
		if !errors.Is(err, errEventTooLong) || b.Len() != 0 {
			t.Errorf("%s: readEvent returned error %v and kept %d bytes, want errEventTooLong and none", name, err, b.Len())
		}
	}
	var b bytes.Buffer
	if _, _, err := readEvent(bufio.NewReader(strings.NewReader("data: x\n")), &b, anyLength); errors.Is(err, io.EOF) || b.Len() != 0 {
		t.Errorf("an event without its end: readEvent returned error %v and kept %d bytes, want errInsideEvent and none", err, b.Len())
	}
}

func anyLength(int) bool { return true }

// Guards against requests that together keep more of incomplete responses than the memory holds.
func TestRequestsShareTheSpaceForIncompleteResponses(t *testing.T) {
	var shared atomic.Int64
	var kept int
	var spaces []*space
	for range 200 {
		s := &space{shared: &shared}
		spaces = append(spaces, s)
		var b bytes.Buffer
		for n := range maxEvent/spaceStep + 1 {
			if !s.grow(n * spaceStep) {
				break
			}
			b.Reset()
			b.Write(make([]byte, n*spaceStep))
		}
		kept += b.Len()
		if data, whole, err := s.readAll(strings.NewReader(strings.Repeat("x", freeSpace/2)), maxBuffered); len(data) != freeSpace/2 || !whole || err != nil {
			t.Fatalf("a short response: got %d bytes, whole %t, error %v, want all of it", len(data), whole, err)
		}
	}
	if most := maxSpace + len(spaces)*freeSpace; kept > most {
		t.Errorf("200 requests keep %d bytes, want at most %d", kept, most)
	}
	var b bytes.Buffer
	full := &space{shared: &shared}
	if _, _, err := readEvent(bufio.NewReader(strings.NewReader(strings.Repeat("x", maxEvent))), &b, full.grow); !errors.Is(err, errNoSpace) || b.Len() != 0 {
		t.Errorf("without room: readEvent returned error %v and kept %d bytes, want errNoSpace and none", err, b.Len())
	}
	for _, s := range spaces {
		s.release()
	}
	if n := shared.Load(); n != 0 {
		t.Errorf("%d bytes are taken after all requests have ended, want 0", n)
	}
}
