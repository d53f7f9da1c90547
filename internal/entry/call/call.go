package call

import (
	"time"

	"jacinthladder.dev/internal/conf/spec"
)

// Call is one accepted request.
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
	Body         []byte // as sent to the engine
	PromptTokens int64  // upper bound of the prompt in tokens
	MaxTokens    int64  // upper bound of the response in tokens
	PrefixHash   uint64 // hash of the first message, for cache affinity
	Stream       bool   // the caller wants server-sent events
	IncludeUsage bool   // the caller wants usage at the end of a stream
}

// PlainCall is the part of a call that is specific to plain services.
type PlainCall struct {
	Method      string
	Path        string // relative to the service, with the query
	ContentType string // of the body
	Body        []byte
	Retryable   bool
}

// NewChat returns a call of a model service.
func NewChat(id, account, key string, digest uint64, s *spec.Service, c Chat) *Call {
	return &Call{id: id, account: account, key: key, digest: digest, service: s, acceptedAt: time.Now(), chat: c}
}

// NewPlain returns a call of a plain service.
func NewPlain(id, account, key string, digest uint64, s *spec.Service, p PlainCall) *Call {
	return &Call{id: id, account: account, key: key, digest: digest, service: s, acceptedAt: time.Now(), plain: p}
}

// ID returns the request ID, unique in the fleet.
func (c *Call) ID() string { return c.id }

// WithID returns a copy of the call with another request ID: that of an attempt
// that the call takes over.
func (c *Call) WithID(id string) *Call {
	renamed := *c
	renamed.id = id
	return &renamed
}

// Account returns the client account that pays for the call.
func (c *Call) Account() string { return c.account }

// Service returns the service at the version in force when the call was accepted.
func (c *Call) Service() *spec.Service { return c.service }

// Key returns the caller's idempotency key, or "" if there is none.
func (c *Call) Key() string { return c.key }

// Digest returns a hash of the request, which distinguishes two requests under
// one idempotency key.
func (c *Call) Digest() uint64 { return c.digest }

// AcceptedAt returns the time at which the call was accepted.
func (c *Call) AcceptedAt() time.Time { return c.acceptedAt }

// Deadline returns the time by which the response must be complete.
func (c *Call) Deadline() time.Time { return c.acceptedAt.Add(c.service.RequestTimeout()) }

// Priority returns the priority; a higher one is served first.
func (c *Call) Priority() int { return c.service.Priority(c.account) }

// Chat returns the part that is specific to model services.
func (c *Call) Chat() *Chat { return &c.chat }

// Plain returns the part that is specific to plain services.
func (c *Call) Plain() *PlainCall { return &c.plain }

// Retryable reports whether the call may run more than once.
func (c *Call) Retryable() bool {
	return c.service.Kind() == spec.KindModel || c.plain.Retryable
}
