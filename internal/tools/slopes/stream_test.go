package slopes

import (
	"strings"
	"testing"
	"testing/iotest"
)

func TestCutStreamIsNotMeasuredAsComplete(t *testing.T) {
	const whole = "data: {\"choices\":[]}\n\ndata: [DONE]\n\n"
	if err := readStream(iotest.OneByteReader(strings.NewReader(whole))); err != nil {
		t.Errorf("a complete stream: got error %v", err)
	}
	for cut := range whole {
		if readStream(strings.NewReader(whole[:cut])) == nil {
			t.Errorf("a stream cut after %d of %d bytes: got no error", cut, len(whole))
		}
	}
}
