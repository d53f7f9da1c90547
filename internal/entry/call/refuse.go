package call

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

const (
	// OutcomeHeader says whether a refused request ran.
	OutcomeHeader = "Jacinthladder-Outcome"
	// RequestHeader carries the request ID.
	RequestHeader = "Jacinthladder-Request"
)

// Outcome says whether a request ran.
type Outcome string

const (
	// Answered requests ran and the caller got the whole answer.
	Answered Outcome = "answered"
	// NotRun requests never ran and never will.
	NotRun Outcome = "not-run"
	// Unknown requests may have run: they left, and no answer came.
	Unknown Outcome = "unknown"
)

// Code names the reason of a refusal.
type Code string

// The reasons, each with its HTTP status in statusOf.
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
	Leaving           Code = "leaving"
	NoAnswer          Code = "no_answer"
	Failed            Code = "failed"
)

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
	Leaving:           http.StatusServiceUnavailable,
	NoAnswer:          http.StatusBadGateway,
	Failed:            http.StatusInternalServerError,
}

// Refusal ends a request without a whole answer. It is an error.
type Refusal struct {
	code       Code
	reason     string
	outcome    Outcome
	retryAfter time.Duration
}

// Refuse returns a refusal of a request that did not run.
func Refuse(code Code, format string, args ...any) *Refusal {
	return &Refusal{code: code, reason: fmt.Sprintf(format, args...), outcome: NotRun}
}

// Indeterminate returns a refusal of a request that may have run.
func Indeterminate(code Code, format string, args ...any) *Refusal {
	return &Refusal{code: code, reason: fmt.Sprintf(format, args...), outcome: Unknown}
}

// NewRefusal returns a refusal that another instance made.
func NewRefusal(code Code, reason string, outcome Outcome) *Refusal {
	if _, ok := statusOf[code]; !ok {
		code = Failed
	}
	return &Refusal{code: code, reason: reason, outcome: outcome}
}

// RetryAfter returns the refusal with a hint when to come back.
func (f *Refusal) RetryAfter(d time.Duration) *Refusal {
	g := *f
	g.retryAfter = d
	return &g
}

// Error returns the code and the reason.
func (f *Refusal) Error() string { return string(f.code) + ": " + f.reason }

// Code returns the code.
func (f *Refusal) Code() Code { return f.code }

// Reason returns the reason in words.
func (f *Refusal) Reason() string { return f.reason }

// Outcome returns whether the request ran.
func (f *Refusal) Outcome() Outcome { return f.outcome }

// Status returns the HTTP status.
func (f *Refusal) Status() int { return statusOf[f.code] }

type errorResponse struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	Param   string `json:"param"`
}

// Body returns the error object that chat completions clients read.
func (f *Refusal) Body() []byte {
	kind := "invalid_request_error"
	if f.Status() >= http.StatusInternalServerError {
		kind = "api_error"
	}
	data, err := json.Marshal(errorResponse{errorDetail{Message: f.reason, Type: kind, Code: string(f.code)}})
	if err != nil {
		return []byte(`{"error":{"code":"failed"}}`)
	}
	return data
}

// Write sends the refusal as the whole answer.
func (f *Refusal) Write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(OutcomeHeader, string(f.outcome))
	if f.retryAfter > 0 {
		seconds := int64((f.retryAfter + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.WriteHeader(f.Status())
	if _, err := w.Write(f.Body()); err != nil {
		return // the caller is gone, and there is nobody to tell
	}
}
