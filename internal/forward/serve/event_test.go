package serve

import (
	"bufio"
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
)

func TestEventIsNotSplitWhereALineFillsTheBuffer(t *testing.T) {
	const bufferSize = 4096 // of a bufio.Reader
	for _, length := range []int{bufferSize - 1, bufferSize, bufferSize + 1, 2 * bufferSize} {
		event := "id: 12\ndata: " + strings.Repeat("x", length-len("data: ")) + "\ndata: y\n\n"
		br := bufio.NewReader(strings.NewReader(event + "data: z\n\n"))
		var b bytes.Buffer
		n, id, err := readEvent(br, &b)
		if n != len(event) || id != "12" || err != nil || b.String() != event {
			t.Errorf("a line of %d bytes: readEvent returned %d bytes, ID %q and error %v, want %d bytes and ID 12", length, n, id, err, len(event))
		}
	}
}

func TestTooLongEventEndsTheStream(t *testing.T) {
	for name, line := range map[string]string{"one line": "x", "many lines": "data: x\n"} {
		var b bytes.Buffer
		_, _, err := readEvent(bufio.NewReader(strings.NewReader(strings.Repeat(line, maxEvent+1))), &b)
		if !errors.Is(err, errEventTooLong) || b.Len() != 0 {
			t.Errorf("%s: readEvent returned error %v and kept %d bytes, want errEventTooLong and none", name, err, b.Len())
		}
	}
	var b bytes.Buffer
	if _, _, err := readEvent(bufio.NewReader(strings.NewReader("data: x\n")), &b); errors.Is(err, io.EOF) || b.Len() != 0 {
		t.Errorf("an event without its end: readEvent returned error %v and kept %d bytes, want errInsideEvent and none", err, b.Len())
	}
}
