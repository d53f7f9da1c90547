package drain

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// serve starts an HTTP server with the given handler, whose connections d tracks. It
// returns the server's address, and a function that closes the listener and then drains
// the connections until the function's context ends.
func serve(t *testing.T, d *Conns, handler http.HandlerFunc) (address string, stop func(ctx context.Context) error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	tracked := d.Listener(l)
	s := &http.Server{Handler: d.Handler(handler), ConnState: d.ConnState}
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := s.Serve(tracked); !errors.Is(err, net.ErrClosed) {
			t.Error(err)
		}
	}()
	return l.Addr().String(), func(ctx context.Context) error {
		if err := d.CloseListener(tracked); err != nil {
			t.Error(err)
		}
		<-done
		return d.Drain(ctx)
	}
}

// TestDrainAnswersEveryReadRequest sends requests on connections that become idle while
// the server drains. Each request that the server has read must get its response. The
// connection of a request that was not read must close without a byte of a response.
func TestDrainAnswersEveryReadRequest(t *testing.T) {
	const rounds, callers = 20, 40
	var unanswered int
	for range rounds {
		var d Conns
		var started, answered atomic.Int64
		address, stop := serve(t, &d, func(w http.ResponseWriter, _ *http.Request) {
			started.Add(1)
			time.Sleep(time.Millisecond)
			io.WriteString(w, "ok")
		})
		var callersDone, warmedUp sync.WaitGroup
		warmedUp.Add(callers)
		for range callers {
			callersDone.Go(func() { call(t, address, &warmedUp, &answered) })
		}
		warmedUp.Wait()
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		if err := stop(ctx); err != nil {
			t.Error(err)
		}
		cancel()
		callersDone.Wait()
		unanswered += int(started.Load() - answered.Load())
	}
	if unanswered != 0 {
		t.Errorf("%d requests reached the handler but got no response while the server drained, want 0", unanswered)
	}
}

// call sends requests on one connection until the server closes it. It calls Done on
// warmedUp after the first response, and counts the responses with status 200 in
// answered.
func call(t *testing.T, address string, warmedUp *sync.WaitGroup, answered *atomic.Int64) {
	nc, err := net.Dial("tcp", address)
	if err != nil {
		t.Error(err)
		warmedUp.Done()
		return
	}
	defer nc.Close()
	first := true
	buffer := make([]byte, 4096)
	for {
		if _, err := io.WriteString(nc, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			return
		}
		n, err := nc.Read(buffer)
		if err != nil {
			return // the server closed the connection before it read the request; otherwise the test's counts differ and it fails
		}
		if strings.HasPrefix(string(buffer[:n]), "HTTP/1.1 200") {
			answered.Add(1)
		}
		if first {
			first = false
			warmedUp.Done()
		}
		if strings.Contains(string(buffer[:n]), "Connection: close") {
			return
		}
	}
}

// TestDrainWaitsForResponses checks that draining closes an idle connection at once, and
// a connection with a request in progress only after its response.
func TestDrainWaitsForResponses(t *testing.T) {
	var d Conns
	release := make(chan struct{})
	entered := make(chan struct{})
	address, stop := serve(t, &d, func(w http.ResponseWriter, _ *http.Request) {
		close(entered)
		<-release
		io.WriteString(w, "ok")
	})
	idle, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer idle.Close()
	busy := make(chan error, 1)
	go func() {
		resp, err := http.Get("http://" + address)
		if err == nil {
			err = resp.Body.Close()
		}
		busy <- err
	}()
	<-entered
	shortCtx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	if err := stop(shortCtx); err == nil {
		t.Error("Drain returned no error while a request was in progress and its context ended, want an error")
	}
	if _, err := idle.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("a read from the idle connection after Drain returned error %v, want io.EOF", err)
	}
	close(release)
	longCtx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if err := d.Drain(longCtx); err != nil {
		t.Error(err)
	}
	if err := <-busy; err != nil {
		t.Error(err)
	}
}

// Guards against requests that are taken late in a planned stop: a response that had begun
// before keep-alives were disabled says nothing of the end of its connection, so the connection must end
// with it, before the next request is read.
func TestConnectionEndsWithAResponseThatBeganBefore(t *testing.T) {
	for _, length := range []string{"", "23"} { // in chunks, and with a length
		t.Run("length "+length, func(t *testing.T) { testResponseThatBeganBefore(t, length) })
	}
}

func testResponseThatBeganBefore(t *testing.T, length string) {
	var d Conns
	var requests atomic.Int64
	entered, release := make(chan struct{}), make(chan struct{})
	address, stop := serve(t, &d, func(w http.ResponseWriter, _ *http.Request) {
		if requests.Add(1) > 1 {
			return
		}
		if length != "" {
			w.Header().Set("Content-Length", length)
		}
		io.WriteString(w, "first half, ")
		if err := http.NewResponseController(w).Flush(); err != nil {
			t.Error(err)
		}
		close(entered)
		<-release
		io.WriteString(w, "second half")
	})
	nc, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	io.WriteString(nc, request)
	<-entered
	d.DisableKeepAlives()
	close(release)
	br := bufio.NewReader(nc)
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(resp.Body); err != nil || string(body) != "first half, second half" {
		t.Errorf("got body %q, error %v, want both halves", body, err)
	}
	io.WriteString(nc, request) // an error means that the connection has ended already
	nc.SetReadDeadline(time.Now().Add(2 * time.Second))
	if _, err := br.ReadByte(); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("a read after the response returned error %v, want the end of the connection", err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := stop(ctx); err != nil {
		t.Error(err)
	}
	if n := requests.Load(); n != 1 {
		t.Errorf("%d requests reached the handler, want 1", n)
	}
}

// A response that begins after keep-alives were disabled says so, also if its request came before.
func TestResponseThatBeginsLaterAnnouncesTheEndOfItsConnection(t *testing.T) {
	for name, respond := range map[string]func(w http.ResponseWriter){
		"status": func(w http.ResponseWriter) { w.WriteHeader(http.StatusNoContent) },
		"body":   func(w http.ResponseWriter) { io.WriteString(w, "ok") },
		"flush": func(w http.ResponseWriter) {
			if err := http.NewResponseController(w).Flush(); err != nil {
				t.Error(err)
			}
		},
		"nothing": func(http.ResponseWriter) {},
	} {
		t.Run(name, func(t *testing.T) {
			var d Conns
			address, stop := serve(t, &d, func(w http.ResponseWriter, _ *http.Request) {
				d.DisableKeepAlives()
				respond(w)
			})
			resp, err := http.Get("http://" + address)
			if err != nil {
				t.Fatal(err)
			}
			resp.Body.Close()
			if !resp.Close {
				t.Error("the response does not announce the end of its connection")
			}
			if err := stop(context.Background()); err != nil {
				t.Error(err)
			}
		})
	}
}
