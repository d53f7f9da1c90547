package conns

import "net/http"

// Framing is how a response marks the end of its body on the connection.
type Framing string

const (
	// NoBody is the framing of a response that has no body.
	NoBody Framing = "none"
	// ByLength means that the header states the length of the body.
	ByLength Framing = "length"
	// ByChunks means that the last chunk ends the body.
	ByChunks Framing = "chunks"
	// ByClose means that the body ends with its connection. A body that the sender has
	// broken off ends in the same way, unless the connection is reset.
	ByClose Framing = "close"
)

// FramingOf returns the framing of a response whose body was not read yet.
func FramingOf(resp *http.Response) Framing {
	switch {
	case resp.Body == http.NoBody:
		return NoBody
	case resp.ContentLength >= 0:
		return ByLength
	case len(resp.TransferEncoding) > 0:
		return ByChunks
	default:
		return ByClose
	}
}
