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
