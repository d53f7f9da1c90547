package send

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"

	"jacinthladder.dev/internal/conf/spec"
	"jacinthladder.dev/internal/entry/call"
	"jacinthladder.dev/internal/stand/canned"
)

// repeater is a plain service that writes its last response on a connection once more, before
// the response to the next request.
type repeater struct {
	echoes      bool // responses name the request
	refuseFirst bool // the first request of each connection is refused, without a run

	mu   sync.Mutex
	runs map[string]int // by request ID
}

func (p *repeater) serve(nc net.Conn) {
	defer nc.Close()
	br := bufio.NewReader(nc)
	last := ""
	for n := 0; ; n++ {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		io.WriteString(nc, last)
		last = p.respond(r.Header.Get(requestHeader), n == 0)
		io.WriteString(nc, last)
	}
}

// respond runs the request with the given ID, unless it is to be refused, and returns the
// response.
func (p *repeater) respond(id string, first bool) string {
	header := ""
	if p.echoes {
		header = requestHeader + ": " + id + "\r\n"
	}
	if first && p.refuseFirst {
		return "HTTP/1.1 503 Leaving\r\n" + header + leavingHeader + ": true\r\nContent-Length: 0\r\n\r\n"
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runs[id]++
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", header, len(id), id)
}

// A response that is written once more on a kept connection belongs to no call.
func TestResponseThatIsRepeatedBelongsToNoCall(t *testing.T) {
	service, err := spec.Parse("s", []byte(`{"name": "s", "kind": "plain", "endpoints": [{"name": "e", "zone": "z", "url": "http://127.0.0.1:1", "slots": 1}], "prices": {"call": 1}, "budgets": {"a": ["b"]}}`), 1)
	if err != nil {
		t.Fatal(err)
	}
	for name, p := range map[string]*repeater{
		"answer with its ID":    {echoes: true},
		"answer without an ID":  {},
		"refusal with its ID":   {echoes: true, refuseFirst: true},
		"refusal without an ID": {refuseFirst: true},
	} {
		t.Run(name, func(t *testing.T) {
			p.runs = map[string]int{}
			base := "http://" + canned.ServeConns(t, p.serve)
			s := NewSender()
			t.Cleanup(s.Close)
			for n := range 50 {
				id := fmt.Sprint("call-", n)
				c := call.NewPlain(id, "a", "", 0, service, call.PlainCall{Method: http.MethodGet, Path: "/", Retryable: true})
				resp, err := s.Call(t.Context(), base, c)
				p.mu.Lock()
				runs := p.runs[id]
				p.mu.Unlock()
				switch {
				case err == nil && string(resp.Body) != id:
					t.Errorf("call %s got the answer %q of another call", id, resp.Body)
				case errors.IsAny(err, ErrNotAccepted, ErrLeaving) && runs > 0:
					t.Errorf("call %s failed with %v, although it ran", id, err)
				}
			}
		})
	}
}
