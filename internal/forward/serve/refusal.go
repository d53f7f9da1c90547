package serve

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"jacinthladder.dev/internal/forward/meta"
)

// Code identifies the reason for a refusal. The body of the refusal carries it to
// the caller, and finish records it as the outcome of the request.
type Code string

// Codes of refusals.
const (
	BadRequest        Code = "bad_request"
	UnknownKey        Code = "unknown_key"
	UnknownRoute      Code = "unknown_route"
	HeaderTooLarge    Code = "header_too_large"
	BodyTooLarge      Code = "body_too_large"
	BodyTooSlow       Code = "body_too_slow"
	BudgetExhausted   Code = "budget_exhausted"
	BudgetUnreachable Code = "budget_unreachable" // this instance's share of the budget is too small and cannot be refilled now
	NoConfig          Code = "no_configuration"
	PromptBlocked     Code = "prompt_blocked"  // endpoints crash under a part of the prompt
	RequestBlocked    Code = "request_blocked" // endpoints crash under the request itself
	NoCapacity        Code = "no_capacity"     // no endpoint took the request, so it did not run
	OriginUnknown     Code = "origin_unknown"  // it is not known which software version began the stream that the request resumes
	VersionGone       Code = "version_gone"    // no endpoint of the version that began the stream is left
	Full              Code = "full"            // there is no room for the request in the memory of the process, and it did not run
	Stopping          Code = "stopping"        // this instance performs a planned stop, and the request did not run
	NoResponse        Code = "no_answer"       // the request may have run, but no complete response arrived
	Timeout           Code = "timeout"         // like NoResponse, at the deadline of the request
)

// statusOf maps each code to the HTTP status of the refusal.
var statusOf = map[Code]int{
	BadRequest:        http.StatusBadRequest,
	UnknownKey:        http.StatusUnauthorized,
	UnknownRoute:      http.StatusNotFound,
	HeaderTooLarge:    http.StatusRequestHeaderFieldsTooLarge,
	BodyTooLarge:      http.StatusRequestEntityTooLarge,
	BodyTooSlow:       http.StatusRequestTimeout,
	BudgetExhausted:   http.StatusPaymentRequired,
	BudgetUnreachable: http.StatusServiceUnavailable,
	NoConfig:          http.StatusServiceUnavailable,
	PromptBlocked:     http.StatusServiceUnavailable,
	RequestBlocked:    http.StatusServiceUnavailable,
	NoCapacity:        http.StatusServiceUnavailable,
	OriginUnknown:     http.StatusServiceUnavailable,
	VersionGone:       http.StatusServiceUnavailable,
	Full:              http.StatusServiceUnavailable,
	Stopping:          http.StatusServiceUnavailable,
	NoResponse:        http.StatusBadGateway,
	Timeout:           http.StatusGatewayTimeout,
}

// Refusal is the error of a request that the fleet itself answers, instead of
// relaying a response of an endpoint.
type Refusal struct {
	code       Code
	message    string        // text for the caller
	retryAfter time.Duration // time after which the caller should retry, 0 to state none
}

// refuse returns a refusal with a code and a formatted message for the caller.
func refuse(code Code, format string, args ...any) *Refusal {
	return &Refusal{code: code, message: fmt.Sprintf(format, args...)}
}

// withRetryAfter sets the time after which the caller should retry. It returns the
// same refusal, for chaining.
func (r *Refusal) withRetryAfter(after time.Duration) *Refusal {
	r.retryAfter = after
	return r
}

// Error returns the code and the message for the caller.
func (r *Refusal) Error() string { return fmt.Sprintf("%s: %s", r.code, r.message) }

// Status returns the HTTP status that statusOf lists for the code of the refusal.
func (r *Refusal) Status() int { return statusOf[r.code] }

// errorResponse is the JSON body of a refusal.
type errorResponse struct {
	Error struct {
		Code    Code   `json:"code"`
		Message string `json:"message"`
	} `json:"error"`
}

// write sends the refusal as the response to the request with the given ID. If id is
// empty, the request ID is unknown and left out. The response has no headers of an
// endpoint and therefore no seal.
func (r *Refusal) write(w http.ResponseWriter, c *meta.Codec, id string) {
	var response errorResponse
	response.Error.Code, response.Error.Message = r.code, r.message
	body, err := json.Marshal(response)
	if err != nil {
		panic(err) // strings always encode
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if r.retryAfter > 0 {
		hundredths := math.Ceil(r.retryAfter.Seconds() * 100)
		h.Set("Retry-After", strconv.FormatFloat(hundredths/100, 'f', 2, 64))
	}
	if id != "" {
		c.EchoID(h, id)
	}
	w.WriteHeader(r.Status())
	if _, err := w.Write(body); err != nil {
		return // the caller has disconnected
	}
}
