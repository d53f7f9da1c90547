package meta

import (
	"net/http"
	"time"
)

// Part is one part of a prompt. Several requests may have the same part.
type Part struct {
	ID     string
	Tokens int64
}

// Request is the metadata of a caller's request.
type Request struct {
	ID           string
	Key          string        // API key of the client account, empty if the request has none
	Deadline     time.Duration // how long the caller waits, 0 if not stated
	PromptTokens int64         // tokens in the prompt
	MaxOutput    int64         // most tokens that may be generated
	Parts        []Part
	LastEventID  string // ID of the last event that the caller has, if it resumes a stream
}

// MaxTokens returns the most tokens that the request can consume.
func (r *Request) MaxTokens() int64 { return r.PromptTokens + r.MaxOutput }

// Outbound is the metadata that is added to a request to an endpoint.
type Outbound struct {
	Deadline    time.Duration // time left
	Endpoint    string        // ID of the endpoint that the request is sent to
	Account     string        // account that pays, empty if none
	LastEventID string        // ID of the last event delivered to the caller
}

// Response is the metadata of an endpoint's response.
type Response struct {
	ID          string        // of the request, empty if not stated
	NotRun      bool          // the request did not run at this endpoint
	IdleTimeout time.Duration // of the connection, 0 if not stated
}

// Codec decodes and encodes the headers of requests and responses.
type Codec struct {
	// DecodeRequest decodes the headers of a caller's request. The text of its error
	// is sent to the caller.
	DecodeRequest func(h http.Header) (Request, error)
	// EncodeRequest replaces the metadata in a caller's headers by that for an
	// endpoint.
	EncodeRequest func(h http.Header, s Outbound)
	// DecodeResponse decodes the status and headers of an endpoint's response.
	DecodeResponse func(status int, h http.Header) Response
	// EchoID sets the request ID in the headers of a response that the fleet
	// generates itself.
	EchoID func(h http.Header, id string)
}
