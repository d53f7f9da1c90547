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
	ID           string
	Key          string        // of the client account, empty if none was given
	Deadline     time.Duration // that the caller waits, 0 if it did not say
	PromptTokens int64         // tokens read
	MaxOutput    int64         // most tokens generated
	Parts        []Part
	LastEventID  string // of the last event that the caller has, for a stream that goes on
}

// MaxTokens returns the most tokens that the request can consume.
func (r *Request) MaxTokens() int64 { return r.PromptTokens + r.MaxOutput }

// Outbound is what an endpoint is told beside the caller's own headers.
type Outbound struct {
	Deadline    time.Duration // that is left
	Endpoint    string        // the ID of the endpoint that is meant
	Account     string        // that pays, empty if none
	LastEventID string        // of the last event delivered
}

// Response is what an endpoint says of its answer beside status and body.
type Response struct {
	ID          string // of the request that it answers, empty if it does not say
	NotRun      bool   // the request did not run at this endpoint
	IdleTimeout time.Duration
}

// Codec reads and writes headers.
type Codec struct {
	// DecodeRequest reads a request's headers.
	DecodeRequest func(h http.Header) (Request, error)
	// EncodeRequest turns a caller's headers into those for an endpoint.
	EncodeRequest func(h http.Header, s Outbound)
	// DecodeResponse reads the headers of an endpoint's answer.
	DecodeResponse func(status int, h http.Header) Response
	// EchoID names the request in an answer of the fleet's own.
	EchoID func(h http.Header, id string)
}
