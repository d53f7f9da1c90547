package accept

import (
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"jacinthladder.dev/internal/conf/spec"
	"jacinthladder.dev/internal/entry/call"
	"jacinthladder.dev/internal/fleet/caller"
	"jacinthladder.dev/internal/fleet/config"
	"jacinthladder.dev/internal/fleet/memory"
)

const (
	// KeyHeader is the request header that carries the caller's idempotency key.
	KeyHeader = "Idempotency-Key"
	// maxKeyLength is the maximum length of an idempotency key, in bytes. A request
	// with a longer key is refused.
	maxKeyLength = 255
	// requestBytes is what a request takes of the memory of the process beside its head and its body: its
	// connection to an endpoint, its response as far as it is text, and buffers.
	requestBytes = 64 << 10
	// fullRetryAfter is the time after which a caller is told to retry if there is no room for its request.
	fullRetryAfter = time.Second
)

// Parser authenticates HTTP requests and turns them into calls.
type Parser struct {
	// Config returns the service documents and client accounts in force.
	Config func() *config.Snapshot
	// MaxBody is the maximum size of a request body, in bytes. A request with a larger
	// body is refused.
	MaxBody int64
}

// Authenticate returns the name of the client account to which the bearer key in the
// header Authorization of r belongs. If r has no such key, or the key belongs to no
// account, the error is a refusal.
func (p *Parser) Authenticate(r *http.Request) (string, error) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return "", call.Refuse(call.Unauthorized, "no bearer key")
	}
	account, ok := p.Config().AccountForKey(token)
	if !ok {
		return "", call.Refuse(call.Unauthorized, "the key belongs to no client account")
	}
	return account, nil
}

// Chat authenticates the chat completions request r, checks it and returns it as a
// call of a model service. The error is a refusal. The argument w is the writer of the
// response to r; it is used to close the connection if the body of r is too large.
func (p *Parser) Chat(w http.ResponseWriter, r *http.Request) (*call.Call, error) {
	account, err := p.Authenticate(r)
	if err != nil {
		return nil, err
	}
	key, err := idempotencyKey(r)
	if err != nil {
		return nil, err
	}
	body, err := p.readBody(w, r)
	if err != nil {
		return nil, err
	}
	if !memory.From(r.Context()).Grow(parsedBytes(body)) {
		return nil, refuseFull()
	}
	q, err := parseChat(body)
	if err != nil {
		return nil, err
	}
	s, known := p.Config().ServiceForModel(q.model, account)
	if !known {
		return nil, call.Refuse(call.UnknownModel, "no service has the model %q", q.model)
	}
	if s == nil {
		return nil, call.Refuse(call.NoBudget, "account %s has no budget for the model %q", account, q.model)
	}
	c, err := q.withLimits(s)
	if err != nil {
		return nil, err
	}
	return call.NewChat(newID("chatcmpl-"), account, key, xxhash.Sum64(body), s, c), nil
}

// Plain authenticates a request to /s/<service>/<path> and returns it as a call of
// that plain service. The error is a refusal. The argument w is the writer of the
// response to r; it is used to close the connection if the body of r is too large.
func (p *Parser) Plain(w http.ResponseWriter, r *http.Request) (*call.Call, error) {
	account, err := p.Authenticate(r)
	if err != nil {
		return nil, err
	}
	key, err := idempotencyKey(r)
	if err != nil {
		return nil, err
	}
	name := r.PathValue("service")
	s := p.Config().Service(name)
	if s == nil || s.Kind() != spec.KindPlain {
		return nil, call.Refuse(call.UnknownService, "no plain service %q", name)
	}
	if len(s.Budgets(account)) == 0 {
		return nil, call.Refuse(call.NoBudget, "account %s has no budget for %s", account, name)
	}
	body, err := p.readBody(w, r)
	if err != nil {
		return nil, err
	}
	path := "/" + r.PathValue("path")
	plain := call.PlainCall{
		Method:      r.Method,
		Path:        path,
		ContentType: r.Header.Get("Content-Type"),
		Body:        body,
		Retryable:   s.Retryable(r.Method, path),
	}
	if r.URL.RawQuery != "" {
		plain.Path += "?" + r.URL.RawQuery
	}
	hash := xxhash.New()
	for _, part := range []string{r.Method, plain.Path, string(body)} {
		if _, err := hash.WriteString(part + "\x00"); err != nil {
			return nil, errors.Wrap(err, "accept")
		}
	}
	return call.NewPlain(newID("call-"), account, key, hash.Sum64(), s, plain), nil
}

// readBody returns the body of r. A body that is larger than MaxBody, for which there is no room or that can't be
// read to its end is refused.
func (p *Parser) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	if !memory.From(r.Context()).Grow(requestBytes) {
		return nil, refuseFull()
	}
	body, err := caller.ReadBody(w, r, p.MaxBody)
	switch {
	case err == nil:
		return body, nil
	case errors.Is(err, memory.ErrTooLarge):
		return nil, call.Refuse(call.TooLarge, "the body is larger than %d bytes", p.MaxBody)
	case errors.Is(err, memory.ErrNoRoom):
		return nil, refuseFull()
	}
	return nil, call.Refuse(call.BadRequest, "the body broke off")
}

// refuseFull returns the refusal of a request for which there is no room in the memory of the process.
func refuseFull() error {
	return call.Refuse(call.Full, "there is no room for the request now").RetryAfter(fullRetryAfter)
}

// idempotencyKey returns the idempotency key of r, or "" if it has none. A key longer
// than maxKeyLength is refused.
func idempotencyKey(r *http.Request) (string, error) {
	key := r.Header.Get(KeyHeader)
	if len(key) > maxKeyLength {
		return "", call.Refuse(call.BadRequest, "the idempotency key is longer than %d bytes", maxKeyLength)
	}
	return key, nil
}

// newID returns a request ID: prefix, then 128 random bits as hexadecimal digits.
func newID(prefix string) string {
	var b [16]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(err) // crypto/rand does not fail on supported systems
	}
	return prefix + hex.EncodeToString(b[:])
}
