package tunnel

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
)

// Dial opens a connection to the endpoint at an address by way of the peer behind nc, which it
// closes if it fails. It fails with ErrCutOff if the peer has no path to endpoints itself.
func Dial(ctx context.Context, nc net.Conn, address string) (net.Conn, error) {
	stop := context.AfterFunc(ctx, func() { nc.SetDeadline(time.Unix(1, 0)) })
	c, err := open(nc, address)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		nc.Close()
		return nil, err
	}
	return c, nil
}

// open asks the peer behind nc for a tunnel.
func open(nc net.Conn, address string) (net.Conn, error) {
	r := &http.Request{
		Method: http.MethodPost, URL: &url.URL{Path: Path}, Host: nc.RemoteAddr().String(),
		Header: http.Header{"Connection": {"Upgrade"}, "Upgrade": {protocol}, addressHeader: {address}},
	}
	if err := r.Write(nc); err != nil {
		return nil, errors.Wrap(err, "tunnel: ask a peer")
	}
	br := bufio.NewReader(nc)
	resp, err := http.ReadResponse(br, r)
	if err != nil {
		return nil, errors.Wrap(err, "tunnel: read a peer's answer")
	}
	resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusSwitchingProtocols:
		return &conn{Conn: nc, frames: br}, nil
	case http.StatusServiceUnavailable:
		return nil, ErrCutOff
	default:
		return nil, errors.Newf("tunnel: the peer answered with status %d", resp.StatusCode)
	}
}
