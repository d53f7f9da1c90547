package serve

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"jacinthladder.dev/internal/forward/meta"
)

// Code names the reason of a refusal.
type Code string

// The reasons.
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

// Refusal is a final answer of the fleet's own. It is an error.
type Refusal struct {
	code   Code
	reason string
	after  time.Duration // when to come back, 0 if there is no use in it
}

func refuse(code Code, format string, args ...any) *Refusal {
	return &Refusal{code: code, reason: fmt.Sprintf(format, args...)}
}

func (r *Refusal) retry(after time.Duration) *Refusal {
	r.after = after
	return r
}

// Error returns the reason.
func (r *Refusal) Error() string { return fmt.Sprintf("%s: %s", r.code, r.reason) }

// Status returns the HTTP status.
func (r *Refusal) Status() int { return statusOf[r.code] }

type refusalText struct {
	Error struct {
		Code    Code   `json:"code"`
		Message string `json:"message"`
	} `json:"error"`
}

// write sends the refusal. It carries no seal of an endpoint.
func (r *Refusal) write(w http.ResponseWriter, d *meta.Codec, id string) {
	var t refusalText
	t.Error.Code, t.Error.Message = r.code, r.reason
	body, err := json.Marshal(t)
	if err != nil {
		panic(err) // two strings always encode
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if r.after > 0 {
		h.Set("Retry-After", strconv.FormatFloat(r.after.Seconds(), 'f', 2, 64))
	}
	if id != "" {
		d.EchoID(h, id)
	}
	w.WriteHeader(r.Status())
	if _, err := w.Write(body); err != nil {
		return // the caller is gone
	}
}
