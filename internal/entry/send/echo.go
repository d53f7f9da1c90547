package send

import (
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
)

// maxEchoing is the number of endpoints that are remembered as naming the request in their
// responses. Beyond it, all are forgotten.
const maxEchoing = 1 << 16

// echoes remembers the endpoints whose responses name the request that they belong to, by their
// base URL. A faulty endpoint can write a response once more on a connection that it keeps open,
// so only such endpoints get further requests on the same connection. The zero value is ready
// to use.
type echoes struct {
	mu    sync.Mutex
	bases map[string]bool
}

// has reports whether the responses of an endpoint name the request.
func (e *echoes) has(base string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.bases[base]
}

// set records whether a response of an endpoint named the request.
func (e *echoes) set(base string, named bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !named {
		delete(e.bases, base)
		return
	}
	if e.bases == nil || len(e.bases) >= maxEchoing {
		e.bases = map[string]bool{}
	}
	e.bases[base] = true
}

// errForeign means that a response on a reused connection does not name the request, so that it
// may belong to an earlier one. The request may have run.
var errForeign = errors.New("send: the response does not name the request")

// do sends a request that has the given ID in a header to the endpoint with the URL base. It
// reuses a connection only if the endpoint's responses name the request, and then fails if this
// one does not.
func (s *Sender) do(r *http.Request, base, header string) (*http.Response, error) {
	client, reuse := s.unpooled, s.echoes.has(base)
	if reuse {
		client = s.pooled
	}
	resp, err := client.Do(r)
	if err != nil {
		return nil, err
	}
	named := resp.Header.Get(header) == r.Header.Get(header)
	s.echoes.set(base, named)
	if reuse && !named {
		s.pooled.CloseIdleConnections()
		return nil, errors.CombineErrors(errForeign, resp.Body.Close())
	}
	return resp, nil
}
