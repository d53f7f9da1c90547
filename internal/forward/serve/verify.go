package serve

import (
	"context"
	"io"
	"net/http"
	"time"

	"jacinthladder.dev/internal/forward/conns"
	"jacinthladder.dev/internal/forward/picker"
	"jacinthladder.dev/internal/forward/route"
)

const (
	// verifyTimeout bounds the time in which an endpoint says when it has started.
	verifyTimeout = 200 * time.Millisecond
	// maxReport is the longest report of an endpoint that is read, in bytes.
	maxReport = 64 << 10
)

// Reports asks endpoints when they have started. Its functions translate to the platform's form.
type Reports struct {
	Request func(address string) *conns.Request
	Decode  func(data []byte) (startedAt int64, err error)
}

// connect returns a connection to the endpoint of pk. If the request is a stream that may go on elsewhere
// and it is not sure which endpoint is at the address, the endpoint is asked first.
func (x *exchange) connect(ctx context.Context, pk *picker.Pick, fresh bool) (*conns.Conn, error) {
	address := pk.Endpoint().Address
	conn, err := x.Pool.Get(ctx, address, fresh)
	if err != nil {
		return nil, err
	}
	x.openedAt = conn.OpenedAt()
	if x.Reports.Request == nil || x.route.Kind != route.Stream || !x.route.Resumable || x.sameEndpoint(pk) || x.verify(pk, conn) {
		return conn, nil
	}
	conn.Close()
	if conn, err = x.Pool.Get(ctx, address, true); err != nil {
		return nil, err
	}
	x.openedAt = conn.OpenedAt()
	return conn, nil
}

// verify asks the endpoint behind conn when it has started, and records that it is the endpoint of pk if
// the start is the same. It reports whether the connection can be used for a request.
func (x *exchange) verify(pk *picker.Pick, conn *conns.Conn) bool {
	limit := time.AfterFunc(verifyTimeout, conn.Close)
	defer limit.Stop()
	r := x.Reports.Request(pk.Endpoint().Address)
	if err := conn.Send(r); err != nil {
		return false
	}
	resp, err := conn.ReadResponse(r)
	if err != nil {
		return false
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReport))
	if err != nil || !conn.Reusable() {
		return false
	}
	startedAt, err := x.Reports.Decode(data)
	if resp.StatusCode == http.StatusOK && err == nil && startedAt == pk.Endpoint().StartedAt {
		pk.Unchanged(time.Now())
	}
	return true
}
