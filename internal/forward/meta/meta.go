package meta

import (
	"net/http"
	"time"
)

// Part is one part of a prompt. Requests share parts.
type Part struct {
	ID     string
	Tokens int64
}

// Request is what a caller says of its request beside method, path and body.
type Request struct {
	ID       string
	Key      string        // of the client account, empty if none was given
	Deadline time.Duration // that the caller waits, 0 if it did not say
	Prompt   int64         // tokens read
	Output   int64         // most tokens generated
	Parts    []Part
	LastID   string // of the last event that the caller has, for a stream that goes on
}

// Bound returns the most tokens that the request can consume.
func (r *Request) Bound() int64 { return r.Prompt + r.Output }

// Sent is what an endpoint is told beside the caller's own headers.
type Sent struct {
	Deadline time.Duration // that is left
	Endpoint string        // the ID of the endpoint that is meant
	Account  string        // that pays, empty if none
	LastID   string        // of the last event delivered
}

// Answer is what an endpoint says of its answer beside status and body.
type Answer struct {
	ID     string // of the request that it answers, empty if it does not say
	NotRun bool   // the request did not run at this endpoint
	Idle   time.Duration
}

// Dialect reads and writes headers.
type Dialect struct {
	// Decode reads a request's headers.
	Decode func(h http.Header) (Request, error)
	// Encode turns a caller's headers into those for an endpoint.
	Encode func(h http.Header, s Sent)
	// Answer reads the headers of an endpoint's answer.
	Answer func(status int, h http.Header) Answer
	// Echo names the request in an answer of the fleet's own.
	Echo func(h http.Header, id string)
}
