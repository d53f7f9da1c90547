package send

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"jacinthladder.dev/internal/conf/spec"
	"jacinthladder.dev/internal/entry/call"
	"jacinthladder.dev/internal/stand/canned"
)

// Guards against a response that is taken for complete although its connection was reset, because the upload that
// was under way has taken the error of the reset, and against a response without a valid status.
func TestBrokenResponseToAnUploadIsNotComplete(t *testing.T) {
	const uploadLength, tries = 4 << 20, 40
	service, err := spec.Parse("s", []byte(`{"name": "s", "kind": "plain", "endpoints": [{"name": "e", "zone": "z", "url": "http://127.0.0.1:1", "slots": 1}], "prices": {"call": 1}, "budgets": {"a": ["b"]}}`), 1)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name, response string
		read           int64         // bytes of the request that are read before the response
		pause          time.Duration // between the response and the reset
	}{
		{"reset at once", "HTTP/1.1 200 OK\r\n\r\npart of a response", 0, 0},
		{"reset later", "HTTP/1.1 200 OK\r\n\r\npart of a response", 0, 20 * time.Millisecond},
		{"reset in the middle", "HTTP/1.1 200 OK\r\n\r\npart of a response", 1 << 20, 0},
		{"reset later in the middle", "HTTP/1.1 200 OK\r\n\r\npart of a response", 1 << 20, 20 * time.Millisecond},
		{"status 000", "HTTP/1.1 000 Odd\r\nContent-Length: 4\r\n\r\nbody", uploadLength, time.Second},
		{"status 099", "HTTP/1.1 099 Odd\r\nContent-Length: 4\r\n\r\nbody", uploadLength, time.Second},
	} {
		for _, retryable := range []bool{false, true} {
			t.Run(c.name, func(t *testing.T) {
				base := "http://" + canned.ServeConns(t, func(nc net.Conn) {
					defer nc.Close()
					r, err := http.ReadRequest(bufio.NewReader(nc))
					if err != nil {
						return
					}
					if _, err := io.CopyN(io.Discard, r.Body, c.read); err != nil {
						return
					}
					io.WriteString(nc, c.response)
					time.Sleep(c.pause)
					nc.(*net.TCPConn).SetLinger(0)
				})
				s := NewSender()
				t.Cleanup(s.Close)
				var calls sync.WaitGroup
				for range tries {
					calls.Go(func() {
						plain := call.PlainCall{Method: http.MethodPost, Path: "/x", Body: []byte(strings.Repeat("x", uploadLength)), Retryable: retryable}
						resp, err := s.Call(context.Background(), base, call.NewPlain("id", "a", "", 0, service, plain))
						if !errors.Is(err, ErrBroken) {
							t.Errorf("got status %d, body %.100q and error %v, want ErrBroken", resp.Status, resp.Body, err)
						}
					})
				}
				calls.Wait()
			})
		}
	}
}
