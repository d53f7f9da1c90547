package accept

import (
	"crypto/rand"
	"encoding/hex"
	"io"
	"net/http"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"jacinthladder.dev/internal/conf/spec"
	"jacinthladder.dev/internal/entry/call"
	"jacinthladder.dev/internal/fleet/config"
)

const (
	// KeyHeader carries the caller's idempotency key.
	KeyHeader = "Idempotency-Key"
	// maxKey bounds an idempotency key in bytes.
	maxKey = 255
)

// Parser accepts requests.
type Parser struct {
	// Config returns the configuration in force.
	Config func() *config.Snapshot
	// MaxBody is the largest body in bytes.
	MaxBody int64
}

// Authenticate returns the client account whose key the request bears.
func (g *Parser) Authenticate(r *http.Request) (string, error) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return "", call.Refuse(call.Unauthorized, "no bearer key")
	}
	account, ok := g.Config().AccountForKey(token)
	if !ok {
		return "", call.Refuse(call.Unauthorized, "the key belongs to no client account")
	}
	return account, nil
}

// Chat accepts a chat completions request.
func (g *Parser) Chat(w http.ResponseWriter, r *http.Request) (*call.Call, error) {
	account, err := g.Authenticate(r)
	if err != nil {
		return nil, err
	}
	key, err := keyOf(r)
	if err != nil {
		return nil, err
	}
	body, err := g.body(w, r)
	if err != nil {
		return nil, err
	}
	q, err := parseChat(body)
	if err != nil {
		return nil, err
	}
	s, known := g.Config().ServiceForModel(q.model, account)
	if !known {
		return nil, call.Refuse(call.UnknownModel, "no service has the model %q", q.model)
	}
	if s == nil {
		return nil, call.Refuse(call.NoBudget, "account %s has no budget for the model %q", account, q.model)
	}
	c, err := q.bounded(s)
	if err != nil {
		return nil, err
	}
	return call.NewChat(newID("chatcmpl-"), account, key, xxhash.Sum64(body), s, c), nil
}

// Plain accepts a call of a plain service at /s/<service>/<path>.
func (g *Parser) Plain(w http.ResponseWriter, r *http.Request) (*call.Call, error) {
	account, err := g.Authenticate(r)
	if err != nil {
		return nil, err
	}
	key, err := keyOf(r)
	if err != nil {
		return nil, err
	}
	name := r.PathValue("service")
	s := g.Config().Service(name)
	if s == nil || s.Kind() != spec.KindPlain {
		return nil, call.Refuse(call.UnknownService, "no plain service %q", name)
	}
	if len(s.Budgets(account)) == 0 {
		return nil, call.Refuse(call.NoBudget, "account %s has no budget for %s", account, name)
	}
	body, err := g.body(w, r)
	if err != nil {
		return nil, err
	}
	path := "/" + r.PathValue("path")
	p := call.PlainCall{
		Method:      r.Method,
		Path:        path,
		ContentType: r.Header.Get("Content-Type"),
		Body:        body,
		Repeatable:  s.Retryable(r.Method, path),
	}
	if r.URL.RawQuery != "" {
		p.Path += "?" + r.URL.RawQuery
	}
	d := xxhash.New()
	for _, part := range []string{r.Method, p.Path, string(body)} {
		if _, err := d.WriteString(part + "\x00"); err != nil {
			return nil, errors.Wrap(err, "accept")
		}
	}
	return call.NewPlain(newID("call-"), account, key, d.Sum64(), s, p), nil
}

func (g *Parser) body(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, g.MaxBody))
	if err == nil {
		return body, nil
	}
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, call.Refuse(call.TooLarge, "the body is larger than %d bytes", g.MaxBody)
	}
	return nil, call.Refuse(call.BadRequest, "the body broke off")
}

func keyOf(r *http.Request) (string, error) {
	key := r.Header.Get(KeyHeader)
	if len(key) > maxKey {
		return "", call.Refuse(call.BadRequest, "the idempotency key is longer than %d bytes", maxKey)
	}
	return key, nil
}

// newID returns an ID that no other request has.
func newID(prefix string) string {
	var b [16]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(err) // the system's random source does not fail
	}
	return prefix + hex.EncodeToString(b[:])
}
