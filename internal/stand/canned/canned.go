// Package canned has a server for tests that sends fixed bytes, so that a test decides how
// a response is framed and where it breaks off.
package canned

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

// Serve starts a server on loopback that reads one request on each connection, sends the
// given bytes and closes the connection. It returns the address of the server, which
// stops when the test ends.
func Serve(t testing.TB, response string) string {
	return ServeConns(t, func(nc net.Conn) { serveOne(nc, response) })
}

// ServeConns starts a server on loopback that calls serve with each connection, in a goroutine
// of its own. It returns the address of the server, which stops when the test ends.
func ServeConns(t testing.TB, serve func(nc net.Conn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := l.Close(); err != nil {
			t.Error(err)
		}
	})
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return // the test has ended
			}
			go serve(nc)
		}
	}()
	return l.Addr().String()
}

// serveOne reads one request from a connection, sends the response and closes the
// connection. The request is read whole, because unread data would reset the connection.
func serveOne(nc net.Conn, response string) {
	defer nc.Close()
	r, err := http.ReadRequest(bufio.NewReader(nc))
	if err != nil {
		return // the client has closed the connection
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if _, err := io.WriteString(nc, response); err != nil {
		return
	}
}
