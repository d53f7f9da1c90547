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

// Chat is the part of a call that only model services have.
type Chat struct {
	Model        string
	Body         []byte // as sent to the engine
	PromptTokens int64  // upper bound of the prompt in tokens
	MaxTokens    int64  // upper bound of the answer in tokens
	PrefixHash   uint64 // hash of the first message, for cache affinity
	Stream       bool   // the caller wants server-sent events
	IncludeUsage bool   // the caller wants usage at the end of a stream
}

// PlainCall is the part of a call that only plain services have.
type PlainCall struct {
	Method      string
	Path        string // below the service, with its query
	ContentType string // Content-Type of the body
	Body        []byte
	Repeatable  bool
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

// WithID returns the call under another request ID: that of an attempt that this
// one takes over.
func (c *Call) WithID(id string) *Call {
	d := *c
	d.id = id
	return &d
}

// Account returns the client account that pays.
func (c *Call) Account() string { return c.account }

// Service returns the service at the version that was in force on arrival.
func (c *Call) Service() *spec.Service { return c.service }

// Key returns the caller's idempotency key, empty if it gave none.
func (c *Call) Key() string { return c.key }

// Digest returns a hash of what was asked, to tell two bodies under one key.
func (c *Call) Digest() uint64 { return c.digest }

// AcceptedAt returns when the call was accepted.
func (c *Call) AcceptedAt() time.Time { return c.acceptedAt }

// Deadline returns when the whole answer is due.
func (c *Call) Deadline() time.Time { return c.acceptedAt.Add(c.service.RequestTimeout()) }

// Priority returns the priority, higher first.
func (c *Call) Priority() int { return c.service.Priority(c.account) }

// Chat returns the model part.
func (c *Call) Chat() *Chat { return &c.chat }

// Plain returns the plain part.
func (c *Call) Plain() *PlainCall { return &c.plain }

// Repeatable reports whether the call may run more than once.
func (c *Call) Repeatable() bool {
	return c.service.Kind() == spec.KindModel || c.plain.Repeatable
}
