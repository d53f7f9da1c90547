package peers

import (
	"net/http"

	"github.com/cockroachdb/errors"

	"jacinthladder.dev/internal/forward/conns"
)

// framedTransport is an HTTP transport that fails if the response has neither a length
// nor chunks. Such a body ends with its connection, also where the sender broke it off,
// and a Protobuf message that was cut off between two fields is a valid message.
type framedTransport struct{ next *http.Transport }

// RoundTrip sends r through the transport next and checks the framing of the response.
func (f framedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := f.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if conns.FramingOf(resp) == conns.ByClose {
		return nil, errors.CombineErrors(errors.New("peers: the reply has neither a length nor chunks"), resp.Body.Close())
	}
	return resp, nil
}

// CloseIdleConnections closes the idle connections of the transport next.
func (f framedTransport) CloseIdleConnections() { f.next.CloseIdleConnections() }
