package meta

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Headers of the native codec.
const (
	headerID          = "Jacinthladder-Request"
	headerDeadline    = "Jacinthladder-Deadline" // a duration, such as "600ms"
	headerTokens      = "Jacinthladder-Tokens"   // "PROMPT/OUTPUT": prompt tokens and the largest number of generated tokens
	headerParts       = "Jacinthladder-Parts"    // "ID=TOKENS ID=TOKENS": parts of the prompt, in order
	headerEndpoint    = "Jacinthladder-Endpoint"
	headerAccount     = "Jacinthladder-Account"
	headerOutcome     = "Jacinthladder-Outcome"
	headerLeaving     = "Jacinthladder-Leaving" // "true" in the responses of an endpoint that is leaving
	headerRetryAfter  = "Retry-After"           // seconds, may have a fraction
	headerLimit       = "Jacinthladder-Limit"   // requests per second that the endpoint takes from all instances, may have a fraction
	headerBrittle     = "Jacinthladder-Brittle" // requests per second that the endpoint can turn away without falling over
	headerLastEventID = "Last-Event-Id"
	headerResumes     = "Jacinthladder-Resumes" // ID of the request that brought the first event of the stream
	headerKey         = "Authorization"

	outcomeNotRun = "not-run"
	keyScheme     = "Bearer "
)

// Native returns the codec of the product's own headers. It is for callers and
// endpoints that use no other set of headers.
func Native() Codec {
	return Codec{
		DecodeRequest: decodeNative,
		EncodeRequest: encodeNative,
		DecodeResponse: func(status int, h http.Header) Response {
			r := Response{
				ID:          h.Get(headerID),
				Misdirected: status == http.StatusMisdirectedRequest,
				RetryAfter:  RetryAfter(status, h.Get(headerRetryAfter)),
			}
			r.NotRun = r.Misdirected || h.Get(headerOutcome) == outcomeNotRun
			r.Leaving = !r.Misdirected && h.Get(headerLeaving) == "true"
			if !r.Misdirected {
				r.Limit, r.Brittle = ParseRateLimit(h.Get(headerLimit)), ParseRateLimit(h.Get(headerBrittle))
			}
			return r
		},
		EchoID: func(h http.Header, id string) { h.Set(headerID, id) },
	}
}

// maxRetryAfter bounds the time for which a response can keep requests away from its
// endpoint, because an endpoint that has become free does not say so.
const maxRetryAfter = time.Minute

// RetryAfter returns the time for which an endpoint wants no further requests, given the
// status of its response and the value of the header Retry-After in seconds. It is 0 if
// the status is not 503 or the value is not a positive number, and at most a minute.
func RetryAfter(status int, value string) time.Duration {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if status != http.StatusServiceUnavailable || err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}

// decodeNative decodes the native headers of a caller's request. The texts of its
// errors are sent to the caller.
func decodeNative(h http.Header) (Request, error) {
	r := Request{ID: h.Get(headerID), LastEventID: h.Get(headerLastEventID), Resumes: h.Get(headerResumes)}
	if key, ok := strings.CutPrefix(h.Get(headerKey), keyScheme); ok {
		r.Key = key
	}
	if r.ID == "" {
		return r, errors.Newf("%s is missing", headerID)
	}
	if text := h.Get(headerDeadline); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil || d < 0 {
			return r, errors.Newf("%s: %q is no duration", headerDeadline, text)
		}
		r.Deadline = d
	}
	if text := h.Get(headerTokens); text != "" {
		prompt, output, _ := strings.Cut(text, "/")
		var err, err2 error
		r.PromptTokens, err = strconv.ParseInt(prompt, 10, 32)
		r.MaxOutput, err2 = strconv.ParseInt(output, 10, 32)
		if err != nil || err2 != nil || r.PromptTokens < 0 || r.MaxOutput < 0 {
			return r, errors.Newf("%s: %q is not two numbers of tokens", headerTokens, text)
		}
	}
	for _, entry := range strings.Fields(h.Get(headerParts)) {
		id, count, _ := strings.Cut(entry, "=")
		n, err := strconv.ParseInt(count, 10, 32)
		if err != nil || n < 0 || id == "" {
			return r, errors.Newf("%s: %q is no part of a prompt", headerParts, entry)
		}
		r.Parts = append(r.Parts, Part{ID: id, Tokens: n})
	}
	return r, nil
}

// encodeNative replaces the caller's metadata in native headers by out. The request
// ID, the token counts and the prompt parts stay as the caller sent them. The
// deadline is at least one millisecond.
func encodeNative(h http.Header, out Outbound) {
	for _, name := range []string{headerKey, headerEndpoint, headerAccount, headerOutcome} {
		h.Del(name)
	}
	h.Set(headerDeadline, max(out.Deadline, time.Millisecond).Truncate(time.Millisecond).String())
	h.Set(headerEndpoint, out.Endpoint)
	if out.Account != "" {
		h.Set(headerAccount, out.Account)
	}
	if out.LastEventID != "" {
		h.Set(headerLastEventID, out.LastEventID)
	}
}
