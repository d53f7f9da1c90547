package serve

import (
	"net/http"
	"slices"
)

// hopHeaders lists the hop-by-hop headers, which concern one connection only. They
// are not forwarded.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect",
}

// removeHopHeaders removes the hop-by-hop headers from h. These are the headers in
// hopHeaders and those named in the Connection header, except protectedHeaders.
func removeHopHeaders(h http.Header) {
	for _, v := range h.Values("Connection") {
		for _, name := range splitList(v) {
			if !slices.Contains(protectedHeaders, http.CanonicalHeaderKey(name)) {
				h.Del(name)
			}
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// protectedHeaders lists the headers that are forwarded even if the Connection
// header names them.
var protectedHeaders = []string{"Host", "Content-Length", "Content-Type"}
