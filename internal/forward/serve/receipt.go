package serve

import (
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"jacinthladder.dev/internal/forward/conns"
	"jacinthladder.dev/internal/forward/meta"
)

// maxReason bounds the length of a logged reason in bytes, because an error of the
// HTTP parser quotes what the endpoint sent.
const maxReason = 240

// receipt describes the response that one attempt received, for the log and the
// metrics. The zero value means that no header of a response arrived.
type receipt struct {
	status  int // HTTP status
	framing conns.Framing
	partial int // bytes of a stream after its last complete event

	leaving    bool          // the endpoint reports that it is leaving
	retryAfter time.Duration // for which the endpoint wants no further requests, 0 if it does not say so
	limit      meta.RateLimit
	brittle    meta.RateLimit // if named, the rejections per second that the endpoint bears

	misdirected bool // another endpoint than the expected one responded
}

func newReceipt(resp *http.Response, header meta.Response) receipt {
	return receipt{
		status: resp.StatusCode, framing: conns.FramingOf(resp),
		leaving: header.Leaving, retryAfter: header.RetryAfter, limit: header.Limit, brittle: header.Brittle,
		misdirected: header.Misdirected,
	}
}

// addFields adds the description of the response to the fields of a log line.
func (r receipt) addFields(f log.Fields) {
	if r.status == 0 {
		return
	}
	f["status"], f["framing"], f["partial"] = r.status, string(r.framing), r.partial
	if r.leaving {
		f["leaving"] = true
	}
	if r.retryAfter > 0 {
		f["wait"] = r.retryAfter.Milliseconds()
	}
	if r.brittle.Named {
		f["brittle"] = r.brittle.PerSecond
	}
	if r.limit.Named {
		f["limit"] = r.limit.PerSecond
	}
}

// incomplete returns errIncomplete with the error that ended the response as its
// cause.
func incomplete(cause error) error {
	return errors.Mark(errors.Wrap(cause, errIncomplete.Error()), errIncomplete)
}

// reasonOf returns the message of an error, cut off at maxReason.
func reasonOf(err error) string { return limitText(err.Error()) }

// limitText returns a text from outside for the log, cut off at maxReason.
func limitText(text string) string { return text[:min(len(text), maxReason)] }
