package meta

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// The product's own headers of forwarded requests.
const (
	headerID       = "Jacinthladder-Request"
	headerDeadline = "Jacinthladder-Deadline" // a duration, such as "600ms"
	headerTokens   = "Jacinthladder-Tokens"   // "PROMPT/OUTPUT"
	headerParts    = "Jacinthladder-Parts"    // "ID=TOKENS ID=TOKENS"
	headerEndpoint = "Jacinthladder-Endpoint"
	headerAccount  = "Jacinthladder-Account"
	headerOutcome  = "Jacinthladder-Outcome"
	headerLast     = "Last-Event-Id"
	headerKey      = "Authorization"

	outcomeNotRun = "not-run"
	keyScheme     = "Bearer "
)

// Native returns the product's own headers, for callers and endpoints that speak
// no other.
func Native() Codec {
	return Codec{
		DecodeRequest: decodePlain,
		EncodeRequest: encodePlain,
		DecodeResponse: func(status int, h http.Header) Response {
			return Response{
				ID:     h.Get(headerID),
				NotRun: status == http.StatusMisdirectedRequest || h.Get(headerOutcome) == outcomeNotRun,
			}
		},
		EchoID: func(h http.Header, id string) { h.Set(headerID, id) },
	}
}

func decodePlain(h http.Header) (Request, error) {
	q := Request{ID: h.Get(headerID), LastEventID: h.Get(headerLast)}
	if key, ok := strings.CutPrefix(h.Get(headerKey), keyScheme); ok {
		q.Key = key
	}
	if q.ID == "" {
		return q, errors.Newf("%s is missing", headerID)
	}
	if text := h.Get(headerDeadline); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil || d < 0 {
			return q, errors.Newf("%s: %q is no duration", headerDeadline, text)
		}
		q.Deadline = d
	}
	if text := h.Get(headerTokens); text != "" {
		prompt, output, _ := strings.Cut(text, "/")
		var err, err2 error
		q.PromptTokens, err = strconv.ParseInt(prompt, 10, 32)
		q.MaxOutput, err2 = strconv.ParseInt(output, 10, 32)
		if err != nil || err2 != nil || q.PromptTokens < 0 || q.MaxOutput < 0 {
			return q, errors.Newf("%s: %q is not two numbers of tokens", headerTokens, text)
		}
	}
	for _, entry := range strings.Fields(h.Get(headerParts)) {
		id, count, _ := strings.Cut(entry, "=")
		n, err := strconv.ParseInt(count, 10, 32)
		if err != nil || n < 0 || id == "" {
			return q, errors.Newf("%s: %q is no part of a prompt", headerParts, entry)
		}
		q.Parts = append(q.Parts, Part{ID: id, Tokens: n})
	}
	return q, nil
}

func encodePlain(h http.Header, s Outbound) {
	for _, name := range []string{headerKey, headerEndpoint, headerAccount, headerOutcome} {
		h.Del(name)
	}
	h.Set(headerDeadline, max(s.Deadline, time.Millisecond).Truncate(time.Millisecond).String())
	h.Set(headerEndpoint, s.Endpoint)
	if s.Account != "" {
		h.Set(headerAccount, s.Account)
	}
	if s.LastEventID != "" {
		h.Set(headerLast, s.LastEventID)
	}
}
