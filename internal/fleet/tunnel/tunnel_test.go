package tunnel

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// openThrough opens a tunnel through a peer to an endpoint that serves each connection with serve.
func openThrough(t *testing.T, h *Handler, serve func(nc net.Conn)) (net.Conn, error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go serve(nc)
		}
	}()
	if h.Known == nil {
		h.Known = func(address string) bool { return address == l.Addr().String() }
	}
	if h.Dial == nil {
		h.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", address)
		}
	}
	peer := httptest.NewServer(h)
	t.Cleanup(peer.Close)
	nc, err := net.Dial("tcp", peer.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	c, err := Dial(ctx, nc, l.Addr().String())
	return c, err
}

// read reads what comes through a tunnel, for 5 s at most.
func read(t *testing.T, c net.Conn) (string, error) {
	t.Helper()
	if err := c.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	data, err := io.ReadAll(c)
	return string(data), err
}

func TestTunnelPassesBothDirectionsAndTheEnd(t *testing.T) {
	long := strings.Repeat("x", 3*maxFrame+7)
	c, err := openThrough(t, &Handler{}, func(nc net.Conn) {
		defer nc.Close()
		line, err := bufio.NewReader(nc).ReadString('\n')
		if err == nil {
			io.WriteString(nc, long+line)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	io.WriteString(c, "hello\n")
	if got, err := read(t, c); got != long+"hello\n" || err != nil {
		t.Errorf("got %d bytes, error %v, want %d and no error", len(got), err, len(long)+len("hello\n"))
	}
}

func TestTunnelThatBreaksIsNoEndOfTheResponse(t *testing.T) {
	begun := make(chan net.Conn, 1)
	reset, err := openThrough(t, &Handler{}, func(nc net.Conn) {
		io.WriteString(nc, "begun")
		begun <- nc
	})
	if err != nil {
		t.Fatal(err)
	}
	defer reset.Close()
	endpoint := <-begun
	if err := endpoint.(*net.TCPConn).SetLinger(0); err != nil {
		t.Fatal(err)
	}
	endpoint.Close()
	if got, err := read(t, reset); err == nil {
		t.Errorf("the endpoint has reset its connection: got %q and no error, want an error", got)
	}
	client, server := net.Pipe()
	go func() {
		server.Write([]byte{0, 5, 'b', 'e', 'g', 'u', 'n'})
		server.Close() // as when a peer dies
	}()
	c := &conn{Conn: client, frames: bufio.NewReader(client)}
	if got, err := io.ReadAll(c); string(got) != "begun" || !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("the peer has gone: got %q, error %v, want io.ErrUnexpectedEOF", got, err)
	}
}

func TestTunnelClosesTheEndpointsConnectionWithItsOwn(t *testing.T) {
	closed := make(chan struct{})
	c, err := openThrough(t, &Handler{}, func(nc net.Conn) {
		io.Copy(io.Discard, nc)
		close(closed)
	})
	if err != nil {
		t.Fatal(err)
	}
	c.Close()
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Error("the endpoint's connection is open a second after the tunnel was closed")
	}
}

func TestTunnelsLeadToKnownEndpointsOnly(t *testing.T) {
	unknown := &Handler{Known: func(string) bool { return false }}
	if _, err := openThrough(t, unknown, func(net.Conn) { t.Error("a connection to an unknown address was opened") }); err == nil || errors.Is(err, ErrCutOff) {
		t.Errorf("got error %v, want one that is not ErrCutOff", err)
	}
	cutOff := &Handler{Dial: func(context.Context, string) (net.Conn, error) { return nil, ErrCutOff }}
	if _, err := openThrough(t, cutOff, func(net.Conn) {}); !errors.Is(err, ErrCutOff) {
		t.Errorf("got error %v, want ErrCutOff", err)
	}
	if statusOf(t, unknown) != http.StatusNotFound {
		t.Error("an unknown address does not get status 404")
	}
}

// statusOf returns the status of a request for a tunnel to an address at which nothing is known.
func statusOf(t *testing.T, h *Handler) int {
	t.Helper()
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodPost, Path, nil)
	r.Header.Set(addressHeader, "127.0.0.1:1")
	h.ServeHTTP(w, r)
	return w.Code
}
