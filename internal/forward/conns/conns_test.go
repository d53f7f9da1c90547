package conns

import (
	"context"
	"io"
	"net"
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
