package call

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

const (
	// OutcomeHeader is the response header that carries the Outcome of the request.
	OutcomeHeader = "Jacinthladder-Outcome"
	// RequestHeader is the response header that carries the request ID.
	RequestHeader = "Jacinthladder-Request"
)

// Outcome tells the caller whether the request ran.
type Outcome string

const (
	// Answered requests ran, and the caller gets the response. A stream carries this
	// outcome from its start, when it can still be interrupted.
	Answered Outcome = "answered"
	// NotRun requests did not run and will not run later.
	NotRun Outcome = "not-run"
	// Unknown requests may have run: they were sent, and no complete response
	// arrived.
	Unknown Outcome = "unknown"
)

// Code is the machine-readable kind of a refusal, sent to clients in the error object.
type Code string

// The codes of refusals. The map statusOf has the HTTP status of each code.
const (
	BadRequest        Code = "bad_request"
	TooLarge          Code = "too_large"
	Unauthorized      Code = "unauthorized"
	UnknownModel      Code = "unknown_model"
	UnknownService    Code = "unknown_service"
	NoBudget          Code = "no_budget"
	BudgetExhausted   Code = "budget_exhausted"
	BudgetUnreachable Code = "budget_unreachable"
	KeyReused         Code = "key_reused"
	AnswerGone        Code = "answer_gone"
	ClaimUnavailable  Code = "claim_unavailable"
	RateLimit         Code = "rate_limit"
	NoCapacity        Code = "no_capacity"
	Full              Code = "full" // there is no room for the request in the memory of the process
	Leaving           Code = "leaving"
	NoAnswer          Code = "no_answer"
	Failed            Code = "failed"
)

// statusOf maps each code to the HTTP status of the response that carries a refusal
// with this code.
var statusOf = map[Code]int{
	BadRequest:        http.StatusBadRequest,
	TooLarge:          http.StatusRequestEntityTooLarge,
	Unauthorized:      http.StatusUnauthorized,
	UnknownModel:      http.StatusNotFound,
	UnknownService:    http.StatusNotFound,
	NoBudget:          http.StatusForbidden,
	BudgetExhausted:   http.StatusPaymentRequired,
	BudgetUnreachable: http.StatusServiceUnavailable,
	KeyReused:         http.StatusUnprocessableEntity,
	AnswerGone:        http.StatusGone,
	ClaimUnavailable:  http.StatusServiceUnavailable,
	RateLimit:         http.StatusTooManyRequests,
	NoCapacity:        http.StatusServiceUnavailable,
	Full:              http.StatusServiceUnavailable,
	Leaving:           http.StatusServiceUnavailable,
	NoAnswer:          http.StatusBadGateway,
	Failed:            http.StatusInternalServerError,
}

// Refusal is the error that ends a request without a complete response.
type Refusal struct {
	code       Code
	reason     string
	outcome    Outcome
	retryAfter time.Duration
}

// Refuse returns a refusal of a request that did not run, with the outcome NotRun. The
// format and its arguments make the reason, a text for the caller.
func Refuse(code Code, format string, args ...any) *Refusal {
	return &Refusal{code: code, reason: fmt.Sprintf(format, args...), outcome: NotRun}
}

// Indeterminate returns a refusal of a request that may have run, with the
// outcome Unknown. The format and its arguments make the reason, a text for the caller.
func Indeterminate(code Code, format string, args ...any) *Refusal {
	return &Refusal{code: code, reason: fmt.Sprintf(format, args...), outcome: Unknown}
}

// NewRefusal returns the refusal that another instance has sent in a message. A code
// that this version of the program does not know becomes Failed.
func NewRefusal(code Code, reason string, outcome Outcome) *Refusal {
	if _, ok := statusOf[code]; !ok {
		code = Failed
	}
	return &Refusal{code: code, reason: reason, outcome: outcome}
}

// RetryAfter returns a copy of the refusal whose HTTP response asks the caller to
// retry after d. The header Retry-After gives d in seconds, rounded up.
func (r *Refusal) RetryAfter(d time.Duration) *Refusal {
	hinted := *r
	hinted.retryAfter = d
	return &hinted
}

// Error returns the code and the reason, separated by a colon.
func (r *Refusal) Error() string { return string(r.code) + ": " + r.reason }

// Code returns the machine-readable kind of the refusal.
func (r *Refusal) Code() Code { return r.code }

// Reason returns the text for the caller that explains the refusal.
func (r *Refusal) Reason() string { return r.reason }

// Outcome returns whether the request ran.
func (r *Refusal) Outcome() Outcome { return r.outcome }

// Status returns the HTTP status of the response that carries the refusal.
func (r *Refusal) Status() int { return statusOf[r.code] }

// errorResponse is the JSON body of a refusal, in the format of the chat completions
// API.
type errorResponse struct {
	Error errorDetail `json:"error"`
}

// errorDetail is the error object in an errorResponse. Param is always empty.
type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	Param   string `json:"param"`
}

// Body returns the body of the HTTP response that carries the refusal: a JSON error
// object in the format of the chat completions API.
func (r *Refusal) Body() []byte {
	errorType := "invalid_request_error"
	if r.Status() >= http.StatusInternalServerError {
		errorType = "api_error"
	}
	data, err := json.Marshal(errorResponse{errorDetail{Message: r.reason, Type: errorType, Code: string(r.code)}})
	if err != nil {
		return []byte(`{"error":{"code":"failed"}}`)
	}
	return data
}

// Write writes the refusal to w as a complete HTTP response. If the caller has
// disconnected, the response is lost.
func (r *Refusal) Write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(OutcomeHeader, string(r.outcome))
	if r.retryAfter > 0 {
		seconds := int64((r.retryAfter + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.WriteHeader(r.Status())
	if _, err := w.Write(r.Body()); err != nil {
		return // the caller has disconnected
	}
}
