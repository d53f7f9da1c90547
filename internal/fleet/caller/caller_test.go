package caller

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"jacinthladder.dev/internal/fleet/memory"
	"jacinthladder.dev/internal/fleet/socket"
)

// server is an HTTP server whose connections are bounded. It reads bodies and says how long they are. It refuses
// requests below /strange without reading their bodies, and those below /slow are served when release is closed.
type server struct {
	t       *testing.T
	bound   *memory.Bound
	address string
	release chan struct{}
	slow    chan struct{} // gets a value when a request below /slow is served
}

func newServer(t *testing.T, bytes int64, files int) *server {
	t.Helper()
	l, err := socket.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{t: t, bound: memory.NewBound(bytes, files), address: l.Addr().String(), release: make(chan struct{}), slow: make(chan struct{}, 10)}
	conns := &Conns{Bound: s.bound}
	hs := &http.Server{Handler: conns.Handler(s), ConnContext: conns.Context, ConnState: conns.ConnState}
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := hs.Serve(conns.Listener(l)); !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
	}()
	t.Cleanup(func() {
		hs.Close()
		<-done
	})
	return s
}

const testLimit = 1 << 20

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/strange" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	body, err := ReadBody(w, r, testLimit)
	switch {
	case errors.Is(err, memory.ErrNoRoom):
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case errors.Is(err, memory.ErrTooLarge):
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	case err != nil:
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.URL.Path == "/slow" {
		s.slow <- struct{}{}
		<-s.release
	}
	fmt.Fprintf(w, "%d bytes", len(body))
}

// dial opens a connection and sends text.
func (s *server) dial(text string) (net.Conn, *bufio.Reader) {
	s.t.Helper()
	nc, err := net.Dial("tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { nc.Close() })
	if err := nc.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		s.t.Fatal(err)
	}
	if text != "" {
		if _, err := io.WriteString(nc, text); err != nil {
			s.t.Fatal(err)
		}
	}
	return nc, bufio.NewReader(nc)
}

// answer reads a response and returns its status and body.
func (s *server) answer(br *bufio.Reader) (int, string) {
	s.t.Helper()
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		s.t.Fatalf("read a response: error %v, want none", err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		s.t.Fatalf("read the body of a response: error %v, want none", err)
	}
	return resp.StatusCode, string(body)
}

// checkEnds checks that the server closes a connection.
func (s *server) checkEnds(br *bufio.Reader) {
	s.t.Helper()
	var timeout net.Error
	if _, err := io.Copy(io.Discard, br); errors.As(err, &timeout) && timeout.Timeout() {
		s.t.Error("the server keeps the connection, want it closed")
	}
}

func post(path string, length, sent int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, length, strings.Repeat("x", sent))
}

// A connection serves one request after the other if their bodies are read, and gives back what they take.
func TestConnectionIsKeptAfterAWholeBody(t *testing.T) {
	s := newServer(t, 4<<20, 100)
	nc, br := s.dial("")
	for range 3 {
		for _, text := range []string{post("/", 100_000, 100_000), "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n186a0\r\n" + strings.Repeat("x", 100_000) + "\r\n0\r\n\r\n"} {
			go io.WriteString(nc, text)
			if status, body := s.answer(br); status != http.StatusOK || body != "100000 bytes" {
				t.Fatalf("got status %d and body %q, want 200 and \"100000 bytes\"", status, body)
			}
		}
	}
	nc.Close()
	for end := time.Now().Add(5 * time.Second); s.bound.Held() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if held := s.bound.Held(); held != 0 {
		t.Errorf("%d bytes are held after the connection has ended, want none", held)
	}
}

// A refusal is sent at once though the caller sends no end of its body, and the connection ends.
func TestRefusalDoesNotWaitForTheRestOfABody(t *testing.T) {
	const chunked = " HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct {
		text string
		room int64
	}{
		"not read, length":  {post("/strange", 1000, 10), 4 << 20},
		"not read, chunks":  {"POST /strange" + chunked + "5\r\nx", 4 << 20},
		"too large, length": {post("/", testLimit+1, 10), 4 << 20},
		"too large, chunks": {"POST /" + chunked + "200000\r\n" + strings.Repeat("x", testLimit+1), 4 << 20},
		"malformed, chunks": {"POST /" + chunked + "odd\r\n", 4 << 20},
		"no room":           {post("/", 10_000, 10), connBytes + 5000},
	} {
		t.Run(name, func(t *testing.T) {
			s := newServer(t, c.room, 100)
			_, br := s.dial(c.text)
			if status, _ := s.answer(br); status < http.StatusBadRequest {
				t.Errorf("got status %d, want a refusal", status)
			}
			s.checkEnds(br)
		})
	}
}

// Connections that wait for their callers are ended for others: one with a body that stops short of its end, which
// gets a refusal, one with half a head, and one without a request.
func TestConnectionThatWaitsIsEndedForOthers(t *testing.T) {
	for name, text := range map[string]string{"body": post("/", 1000, 999), "head": "GET / HTTP/1.1\r\nHost: h\r\n", "nothing": ""} {
		t.Run(name, func(t *testing.T) {
			s := newServer(t, 1<<30, 2*connFiles)
			_, waiting := s.dial(text)
			time.Sleep(400 * time.Millisecond)
			s.dial("") // takes the rest of the files, and ends the first one
			if name == "body" {
				if status, _ := s.answer(waiting); status != http.StatusServiceUnavailable {
					t.Errorf("got status %d for a body that was ended, want 503", status)
				}
			}
			s.checkEnds(waiting)
			_, br := s.dial(post("/", 10, 10))
			if status, _ := s.answer(br); status != http.StatusOK {
				t.Errorf("got status %d, want 200", status)
			}
		})
	}
}

// A request that runs is not ended for others, and its caller gets the answer.
func TestRequestThatRunsIsNotEnded(t *testing.T) {
	s := newServer(t, 1<<30, connFiles)
	_, running := s.dial(post("/slow", 10, 10))
	<-s.slow
	time.Sleep(400 * time.Millisecond)
	if refused, err := net.Dial("tcp", s.address); err == nil { // the reset may come before the dial returns
		defer refused.Close()
		if err := refused.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
			t.Fatal(err)
		}
		s.checkEnds(bufio.NewReader(refused))
	}
	close(s.release)
	if status, body := s.answer(running); status != http.StatusOK || body != "10 bytes" {
		t.Errorf("got status %d and body %q, want 200 and \"10 bytes\"", status, body)
	}
}

// A request whose head was read just before its connection was ended does not begin: the server would take the end of the
// connection for a caller that has gone, and break the request off.
func TestRequestOnAnEndedConnectionDoesNotBegin(t *testing.T) {
	s := newServer(t, 1<<30, 10*connFiles)
	nc, _ := s.dial("")
	c := &conn{Conn: nc, bound: s.bound}
	if !c.open() || !c.end() {
		t.Fatal("a connection that waits for its caller was not ended, want it ended")
	}
	called := false
	h := (&Conns{Bound: s.bound}).Handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { called = true }))
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil).WithContext((&Conns{}).Context(t.Context(), c)))
	if called || w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") == "" {
		t.Errorf("the request began: %t, status %d, Retry-After %q, want a refusal with a time", called, w.Code, w.Header().Get("Retry-After"))
	}
}

// A head for which there is no room is refused, in short lines too.
func TestHeadWithoutRoomIsRefused(t *testing.T) {
	s := newServer(t, connBytes+200_000, 100)
	var head strings.Builder
	head.WriteString("GET / HTTP/1.1\r\nHost: h\r\n")
	for i := range 2000 {
		fmt.Fprintf(&head, "%x:\r\n", i)
	}
	_, br := s.dial(head.String())
	if status, _ := s.answer(br); status != http.StatusServiceUnavailable {
		t.Errorf("got status %d, want 503", status)
	}
	s.checkEnds(br)
}
