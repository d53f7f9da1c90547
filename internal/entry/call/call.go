package call

import (
	"time"

	"jacinthladder.dev/internal/conf/spec"
)

// Call is one accepted request of a client account to a service. It is immutable. The
// getters describe its fields.
type Call struct {
	id         string
	account    string
	service    *spec.Service
	key        string
	digest     uint64
	acceptedAt time.Time
	chat       Chat
	plain      PlainCall
}

// Chat is the part of a call that is specific to model services.
type Chat struct {
	Model        string
	Body         []byte // JSON body of the request that is sent to the engine
	PromptTokens int64  // upper bound of the tokens in the prompt
	MaxTokens    int64  // upper bound of the tokens in the response
	PrefixHash   uint64 // hash of the first message; calls with equal hashes prefer the same engine, which may have the message in its cache
	Stream       bool   // the caller asked for server-sent events instead of one JSON object
	IncludeUsage bool   // the caller asked for the token usage at the end of a stream
}

// PlainCall is the part of a call that is specific to plain services.
type PlainCall struct {
	Method      string
	Path        string // path with the query, appended to the endpoint's base URL
	ContentType string // media type of the body, empty if the caller gave none
	Body        []byte
	Retryable   bool // a retry rule of the service allows the call to run more than once
}

// NewChat returns a call of the model service s with the request ID id. Its time of
// acceptance is now. The argument key is the caller's idempotency key, or "" if there
// is none. The digest is a hash of the request's content.
func NewChat(id, account, key string, digest uint64, s *spec.Service, c Chat) *Call {
	return &Call{id: id, account: account, key: key, digest: digest, service: s, acceptedAt: time.Now(), chat: c}
}

// NewPlain returns a call of the plain service s with the request ID id. Its time of
// acceptance is now. The argument key is the caller's idempotency key, or "" if there
// is none. The digest is a hash of the request's content.
func NewPlain(id, account, key string, digest uint64, s *spec.Service, p PlainCall) *Call {
	return &Call{id: id, account: account, key: key, digest: digest, service: s, acceptedAt: time.Now(), plain: p}
}

// ID returns the request ID, unique in the fleet.
func (c *Call) ID() string { return c.id }

// WithID returns a copy of the call with the request ID id. An instance needs it when
// it takes over the attempt of an instance that is gone: it continues the attempt
// under the request ID with which the attempt began.
func (c *Call) WithID(id string) *Call {
	renamed := *c
	renamed.id = id
	return &renamed
}

// Account returns the name of the client account that pays for the call.
func (c *Call) Account() string { return c.account }

// Service returns the service document that was in force when the call was accepted.
func (c *Call) Service() *spec.Service { return c.service }

// Key returns the caller's idempotency key, or "" if there is none.
func (c *Call) Key() string { return c.key }

// Digest returns a hash of the request's content. Two requests with the same
// idempotency key are the same request only if their digests are equal.
func (c *Call) Digest() uint64 { return c.digest }

// AcceptedAt returns the time at which the call was accepted.
func (c *Call) AcceptedAt() time.Time { return c.acceptedAt }

// Deadline returns the time by which the response must be complete: the time of
// acceptance plus the service's request time-out.
func (c *Call) Deadline() time.Time { return c.acceptedAt.Add(c.service.RequestTimeout()) }

// Priority returns the priority, from 0 to 9, that the service document gives the
// client account. Calls with a higher priority are served first.
func (c *Call) Priority() int { return c.service.Priority(c.account) }

// Chat returns the part of the call that is specific to model services. It is the
// zero value in a call of a plain service.
func (c *Call) Chat() *Chat { return &c.chat }

// Plain returns the part of the call that is specific to plain services. It is the
// zero value in a call of a model service.
func (c *Call) Plain() *PlainCall { return &c.plain }

// Size returns the length of the body that is sent to an endpoint, in bytes.
func (c *Call) Size() int64 { return int64(len(c.chat.Body) + len(c.plain.Body)) }

// Retryable reports whether the call may run more than once. A call of a model service
// always may; a call of a plain service only if a retry rule of the service matches.
func (c *Call) Retryable() bool {
	return c.service.Kind() == spec.KindModel || c.plain.Retryable
}
