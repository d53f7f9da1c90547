package conns

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

func TestConnectionWithUnreadBodyIsNotReused(t *testing.T) {
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
			t.Cleanup(func() { nc.Close() })
			// The second chunk has not arrived yet when the connection is put back.
			io.WriteString(nc, "HTTP/1.1 500 Failed\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n")
		}
	}()
	var p Pool
	t.Cleanup(p.Close)
	first, err := p.Get(t.Context(), l.Addr().String(), false)
	if err != nil {
		t.Fatal(err)
	}
	request := &Request{Method: "GET", Target: "/", Host: "h"}
	if err := first.Send(request); err != nil {
		t.Fatal(err)
	}
	resp, err := first.ReadResponse(request)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(resp.Body, make([]byte, 4)); err != nil {
		t.Fatal(err)
	}
	p.Put(first)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	second, err := p.Get(ctx, l.Addr().String(), false)
	if err != nil {
		t.Fatal(err)
	}
	defer second.Close()
	if second.Reused() {
		t.Error("Get returned the connection whose response body was not read to its end, want a new one")
	}
}

func TestIdleConnectionWithUnsolicitedBytesIsNotReused(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	accepted := make(chan net.Conn, 2)
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { nc.Close() })
			accepted <- nc
		}
	}()
	var p Pool
	t.Cleanup(p.Close)
	first, err := p.Get(t.Context(), l.Addr().String(), false)
	if err != nil {
		t.Fatal(err)
	}
	p.Put(first)
	io.WriteString(<-accepted, "HTTP/1.1 200 OK\r\n\r\n")
	for end := time.Now().Add(2 * time.Second); first.healthy(time.Now()); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the idle connection counts as healthy 2 s after it received bytes")
		}
	}
	second, err := p.Get(t.Context(), l.Addr().String(), false)
	if err != nil {
		t.Fatal(err)
	}
	defer second.Close()
	if second.Reused() {
		t.Error("Get returned the connection that received bytes while it was idle, want a new one")
	}
}

// Endpoints that send bytes without end must not make an instance read them all.
func TestEndlessHeaderIsCutOff(t *testing.T) {
	const maxRead = 4 << 20 // bytes, with what is under way on the connection
	for name, text := range map[string]string{
		"one line": "x", "header lines": "X-Name: value\r\n", "interim responses": "HTTP/1.1 100 Continue\r\n\r\n", "empty lines": "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			ours, theirs := net.Pipe()
			t.Cleanup(func() { ours.Close() })
			sent := make(chan int, 1)
			go func() {
				n := 0
				defer func() { sent <- n }()
				if name != "interim responses" && name != "empty lines" {
					io.WriteString(theirs, "HTTP/1.1 200 OK\r\n")
				}
				for block := strings.Repeat(text, 4096); n < 4*maxRead; n += len(block) {
					if _, err := io.WriteString(theirs, block); err != nil {
						return
					}
				}
			}()
			c := newConn("", ours)
			if _, err := c.ReadResponse(&Request{Method: "GET"}); err == nil {
				t.Error("ReadResponse accepted a header without end, want an error")
			}
			c.Close()
			if n := <-sent; n > maxRead {
				t.Errorf("%d bytes of a header without end were read, want at most %d", n, maxRead)
			}
		})
	}
}

// A response may follow a long one on the same connection.
func TestHeaderLimitIsThatOfOneHeader(t *testing.T) {
	ours, theirs := net.Pipe()
	t.Cleanup(func() { ours.Close() })
	const responses, bodyBytes = 3, 2 << 20
	go func() {
		for range responses {
			fmt.Fprintf(theirs, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", bodyBytes, strings.Repeat("b", bodyBytes))
		}
	}()
	c := newConn("", ours)
	for range responses {
		resp, err := c.ReadResponse(&Request{Method: "GET"})
		if err != nil {
			t.Fatal(err)
		}
		if n, err := io.Copy(io.Discard, resp.Body); err != nil || n != bodyBytes {
			t.Fatalf("read %d bytes of a body, error %v, want %d", n, err, bodyBytes)
		}
	}
}

// Guards against headers whose lines take more memory than their bytes. Lines of the body, which may
// come with the header, do not count.
func TestHeaderWithTooManyLinesIsNotKept(t *testing.T) {
	for name, tc := range map[string]struct {
		text string
		ok   bool
	}{
		"many lines":           {"HTTP/1.1 200 OK\r\n" + strings.Repeat("a:\r\n", 20*maxHeaderLines), false},
		"many lines of a body": {"HTTP/1.1 200 OK\r\n" + strings.Repeat("a:\r\n", maxHeaderLines/2) + "\r\n" + strings.Repeat("\n", 20*maxHeaderLines), true},
	} {
		limit := &headerLimit{reader: strings.NewReader(tc.text)}
		limit.start()
		_, err := http.ReadResponse(bufio.NewReader(limit), nil)
		if tc.ok != (err == nil) {
			t.Errorf("%s: got error %v, want one only for many lines of a header", name, err)
		}
	}
}
