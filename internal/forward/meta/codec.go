package meta

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Part is one part of a prompt. Parts with the same ID in several requests have the
// same content.
type Part struct {
	ID     string // identifies the content of the part
	Tokens int64  // length of this part of the prompt, in tokens
}

// Request is the metadata of a caller's request, decoded from its headers.
type Request struct {
	ID           string        // request ID that the caller has set
	Key          string        // API key of the client account, empty if the request has none
	Deadline     time.Duration // how long the caller waits for the response, 0 if not stated
	PromptTokens int64         // tokens in the prompt
	MaxOutput    int64         // largest number of tokens that may be generated
	Parts        []Part        // parts of the prompt, in order; empty if not stated
	LastEventID  string        // ID of the last event that the caller has, if it resumes a stream
	Resumes      string        // ID of the request that brought the first event of the stream that this one resumes, empty if not stated
}

// MaxTokens returns the largest number of tokens that the request can consume: those
// of the prompt and the generated ones.
func (r *Request) MaxTokens() int64 { return r.PromptTokens + r.MaxOutput }

// Outbound is the metadata that the fleet adds to a request when it sends the
// request to an endpoint.
type Outbound struct {
	Deadline    time.Duration // time left for the response
	Endpoint    string        // ID of the endpoint that the request is sent to
	Account     string        // name of the client account that pays, empty if none
	LastEventID string        // ID of the last event of the stream delivered to the caller, empty if none
}

// Response is the metadata of an endpoint's response, decoded from its status and
// headers.
type Response struct {
	ID          string        // ID of the request that is answered, empty if not stated
	NotRun      bool          // the endpoint reports that it did not run the request
	IdleTimeout time.Duration // after which the endpoint closes the idle connection, 0 if not stated
	Leaving     bool          // the endpoint reports that it is leaving and must get no new requests
	RetryAfter  time.Duration // for which the endpoint, which turned the request away, wants no further ones, 0 if not stated
	Brittle     RateLimit     // if named, the requests per second that the endpoint can turn away without falling over
	Limit       RateLimit     // on the requests that the endpoint gets from all instances together
	Misdirected bool          // another endpoint at the same address responds, which says nothing about the expected one
}

// RateLimit is the highest rate of requests that an endpoint takes from all instances
// together. It holds for as long as the endpoint's responses name it. The zero value is no
// limit.
type RateLimit struct {
	Named     bool
	PerSecond float64 // requests per second, may be 0
}

// ParseRateLimit parses a limit as a decimal number of requests per second. A text that is
// no such number names no limit.
func ParseRateLimit(text string) RateLimit {
	perSecond, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !(perSecond >= 0) || math.IsInf(perSecond, 1) {
		return RateLimit{}
	}
	return RateLimit{Named: true, PerSecond: perSecond}
}

// String returns the rate as a decimal number, or "none".
func (l RateLimit) String() string {
	if !l.Named {
		return "none"
	}
	return strconv.FormatFloat(l.PerSecond, 'f', -1, 64)
}

// Codec converts between the headers of requests and responses and their metadata,
// for one set of header names.
type Codec struct {
	// DecodeRequest decodes the headers of a caller's request. The text of its error
	// is sent to the caller. With an error, the returned request may be incomplete.
	DecodeRequest func(h http.Header) (Request, error)
	// EncodeRequest changes the headers of a caller's request for an endpoint. It
	// replaces the metadata that the caller sent by s. The request ID and the
	// description of the prompt stay.
	EncodeRequest func(h http.Header, s Outbound)
	// DecodeResponse decodes the metadata of an endpoint's response from the
	// response's status and headers.
	DecodeResponse func(status int, h http.Header) Response
	// EchoID sets the request ID in the headers of a response that the fleet itself
	// generates.
	EchoID func(h http.Header, id string)
}
