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
	BadRequest  Code = "bad_request"
	BadKey      Code = "unknown_key"
	NoRoute     Code = "unknown_route"
	HeaderSize  Code = "header_too_large"
	BodySize    Code = "body_too_large"
	Slow        Code = "body_too_slow"
	Exhausted   Code = "budget_exhausted"
	Unreachable Code = "budget_unreachable"
	Unready     Code = "no_configuration"
	Full        Code = "no_capacity"
	Unanswered  Code = "no_answer"
	Late        Code = "timeout"
)

var statusOf = map[Code]int{
	BadRequest:  http.StatusBadRequest,
	BadKey:      http.StatusUnauthorized,
	NoRoute:     http.StatusNotFound,
	HeaderSize:  http.StatusRequestHeaderFieldsTooLarge,
	BodySize:    http.StatusRequestEntityTooLarge,
	Slow:        http.StatusRequestTimeout,
	Exhausted:   http.StatusPaymentRequired,
	Unreachable: http.StatusServiceUnavailable,
	Unready:     http.StatusServiceUnavailable,
	Full:        http.StatusServiceUnavailable,
	Unanswered:  http.StatusBadGateway,
	Late:        http.StatusGatewayTimeout,
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
func (r *Refusal) write(w http.ResponseWriter, d *meta.Dialect, id string) {
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
		d.Echo(h, id)
	}
	w.WriteHeader(r.Status())
	if _, err := w.Write(body); err != nil {
		return // the caller is gone
	}
}
