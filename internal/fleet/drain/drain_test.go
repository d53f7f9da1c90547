package drain

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// serve starts a server whose handler counts the requests that it has begun.
func serve(t *testing.T, d *Conns, handler http.HandlerFunc) (address string, stop func(ctx context.Context) error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	kept := d.Listener(l)
	s := &http.Server{Handler: d.Handler(handler), ConnState: d.ConnState}
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := s.Serve(kept); !errors.Is(err, net.ErrClosed) {
			t.Error(err)
		}
	}()
	return l.Addr().String(), func(ctx context.Context) error {
		if err := d.CloseListener(kept); err != nil {
			t.Error(err)
		}
		<-done
		return d.Drain(ctx)
	}
}

// Requests go on idle connections while the server drains: each that was read is
// answered, and each that was not ends without a byte of an answer.
func TestDrainAnswersWhatItHasRead(t *testing.T) {
	const rounds, callers = 20, 40
	var lost int
	for range rounds {
		var d Conns
		var begun, answered atomic.Int64
		address, stop := serve(t, &d, func(w http.ResponseWriter, _ *http.Request) {
			begun.Add(1)
			time.Sleep(time.Millisecond)
			io.WriteString(w, "ok")
		})
		var work, warm sync.WaitGroup
		warm.Add(callers)
		for range callers {
			work.Go(func() { call(t, address, &warm, &answered) })
		}
		warm.Wait()
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		if err := stop(ctx); err != nil {
			t.Error(err)
		}
		cancel()
		work.Wait()
		lost += int(begun.Load() - answered.Load())
	}
	if lost != 0 {
		t.Errorf("%d requests were read and not answered", lost)
	}
}

// call sends requests on one connection until it ends.
func call(t *testing.T, address string, warm *sync.WaitGroup, answered *atomic.Int64) {
	nc, err := net.Dial("tcp", address)
	if err != nil {
		t.Error(err)
		warm.Done()
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
			return // closed before it was read, or the test fails by the counts
		}
		if strings.HasPrefix(string(buffer[:n]), "HTTP/1.1 200") {
			answered.Add(1)
		}
		if first {
			first = false
			warm.Done()
		}
		if strings.Contains(string(buffer[:n]), "Connection: close") {
			return
		}
	}
}

// An idle connection ends at once, a busy one with its answer.
func TestDrainWaitsForAnswers(t *testing.T) {
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
	short, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	if err := stop(short); err == nil {
		t.Error("drained beside an open request")
	}
	if _, err := idle.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("idle connection: %v, want its end", err)
	}
	close(release)
	long, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if err := d.Drain(long); err != nil {
		t.Error(err)
	}
	if err := <-busy; err != nil {
		t.Error(err)
	}
}
