package serve

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"jacinthladder.dev/internal/forward/meta"
)

// Code identifies the reason of a refusal. It is sent to the caller in the body of
// the refusal, and finish records it as the outcome of the request.
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
	BudgetUnreachable Code = "budget_unreachable"
	NoConfig          Code = "no_configuration"
	NoCapacity        Code = "no_capacity"
	NoResponse        Code = "no_answer"
	Timeout           Code = "timeout"
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
	NoCapacity:        http.StatusServiceUnavailable,
	NoResponse:        http.StatusBadGateway,
	Timeout:           http.StatusGatewayTimeout,
}

// Refusal is the error of a request to which the fleet itself responds, instead of
// relaying an endpoint's response.
type Refusal struct {
	code       Code
	reason     string        // message to the caller
	retryAfter time.Duration // time after which a retry may succeed, 0 if a retry is useless
}

// refuse returns a refusal with a code and a formatted message to the caller.
func refuse(code Code, format string, args ...any) *Refusal {
	return &Refusal{code: code, reason: fmt.Sprintf(format, args...)}
}

// withRetryAfter sets the time after which the caller should retry, and returns the
// refusal.
func (r *Refusal) withRetryAfter(after time.Duration) *Refusal {
	r.retryAfter = after
	return r
}

// Error returns the code and the message to the caller.
func (r *Refusal) Error() string { return fmt.Sprintf("%s: %s", r.code, r.reason) }

// Status returns the HTTP status that belongs to the code.
func (r *Refusal) Status() int { return statusOf[r.code] }

// errorResponse is the JSON body of a refusal.
type errorResponse struct {
	Error struct {
		Code    Code   `json:"code"`
		Message string `json:"message"`
	} `json:"error"`
}

// write sends the refusal as the response to the request with the given ID, empty if
// unknown. The response has no headers of an endpoint and so no seal.
func (r *Refusal) write(w http.ResponseWriter, c *meta.Codec, id string) {
	var response errorResponse
	response.Error.Code, response.Error.Message = r.code, r.reason
	body, err := json.Marshal(response)
	if err != nil {
		panic(err) // strings always encode
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if r.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(r.retryAfter.Seconds(), 'f', 2, 64))
	}
	if id != "" {
		c.EchoID(h, id)
	}
	w.WriteHeader(r.Status())
	if _, err := w.Write(body); err != nil {
		return // the caller has disconnected
	}
}
