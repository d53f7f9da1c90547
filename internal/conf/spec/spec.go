package spec

import (
	"maps"
	"path"
	"slices"
	"time"

	"jacinthladder.dev/internal/conf/jsonc"
)

// Kind determines how a service is called and priced.
type Kind string

const (
	// KindModel is a service with the chat completions protocol, priced by token.
	KindModel Kind = "model"
	// KindPlain is a service that accepts any HTTP call below its path, priced by call.
	KindPlain Kind = "plain"
)

// AnyAccount is the key of the limits and priorities that apply to accounts without
// an entry of their own.
const AnyAccount = "*"

// Service is a validated document. It is immutable.
type Service struct {
	raw       serviceJSON
	version   int64
	endpoints []Endpoint
	sourceMap *jsonc.SourceMap
}

// ErrorAt returns an error located at a field of the document.
func (s *Service) ErrorAt(field, reason string) error { return s.sourceMap.ErrorAt(field, reason) }

// Name returns the name of the service.
func (s *Service) Name() string { return s.raw.Name }

// Kind returns the kind of the service.
func (s *Service) Kind() Kind { return s.raw.Kind }

// Version returns the document's version on the platform, 0 if it is not stored yet.
func (s *Service) Version() int64 { return s.version }

// Models returns the names of the models that the service serves.
func (s *Service) Models() []string { return slices.Clone(s.raw.Models) }

// Endpoints returns the endpoints in the order of the document.
func (s *Service) Endpoints() []Endpoint { return s.endpoints }

// Prices returns the prices of tokens and calls.
func (s *Service) Prices() Prices { return Prices{raw: s.raw.Prices} }

// Budgets returns the budgets that pay for the calls of account, in the order in
// which they are used.
func (s *Service) Budgets(account string) []string { return s.raw.Budgets[account] }

// Accounts returns the client accounts that have a budget for the service, sorted.
func (s *Service) Accounts() []string { return slices.Sorted(maps.Keys(s.raw.Budgets)) }

// Retryable reports whether a call may run more than once. Calls of a model service
// always may; calls of a plain service only if a retry rule matches.
func (s *Service) Retryable(method, target string) bool {
	if s.raw.Kind == KindModel {
		return true
	}
	return slices.ContainsFunc(s.raw.RetryRules, func(r retryRuleJSON) bool {
		ok, _ := path.Match(r.Path, target)
		return ok && r.Method == method
	})
}

// Limit returns the limits of account.
func (s *Service) Limit(account string) Limit {
	l, ok := s.raw.Limits[account]
	if !ok {
		l = s.raw.Limits[AnyAccount]
	}
	return Limit{raw: l}
}

// Priority returns the priority of account. Higher priorities are served first.
func (s *Service) Priority(account string) int {
	if r, ok := s.raw.Priorities[account]; ok {
		return r
	}
	return s.raw.Priorities[AnyAccount]
}

// DefaultTokens returns the max_tokens of a request that does not set it.
func (s *Service) DefaultTokens() int64 { return s.raw.Tokens.Default }

// MaxTokens returns the maximum of max_tokens in a request.
func (s *Service) MaxTokens() int64 { return s.raw.Tokens.Max }

// FirstTokenTarget returns the target latency of the first token. A call of medium
// priority is refused instead of waiting longer than this for an endpoint.
func (s *Service) FirstTokenTarget() time.Duration {
	return time.Duration(s.raw.Timeouts.FirstTokenTarget)
}

// FirstByteTimeout returns how long the first byte of a response may take.
func (s *Service) FirstByteTimeout() time.Duration {
	return time.Duration(s.raw.Timeouts.FirstByteTimeout)
}

// StallTimeout returns how long a stream may deliver nothing before it is probed.
func (s *Service) StallTimeout() time.Duration { return time.Duration(s.raw.Timeouts.StallTimeout) }

// RequestTimeout returns how long a whole request may take.
func (s *Service) RequestTimeout() time.Duration { return time.Duration(s.raw.Timeouts.RequestTimeout) }

// BudgetTimeout returns how long a request may wait for reserved budget to be
// released.
func (s *Service) BudgetTimeout() time.Duration { return time.Duration(s.raw.Timeouts.BudgetTimeout) }

// ReplayTTL returns how long a finished response can be replayed.
func (s *Service) ReplayTTL() time.Duration { return time.Duration(s.raw.Timeouts.ReplayTTL) }

// OutageTolerance returns how long a holder's share should last while the platform is
// unreachable.
func (s *Service) OutageTolerance() time.Duration { return time.Duration(s.raw.Escrow.OutageTolerance) }

// Unwitnessed returns how much a holder may spend without a witness, in micro-units.
func (s *Service) Unwitnessed() int64 { return s.raw.Escrow.Unwitnessed }

// RetryRatio returns the allowed number of retries per request, such as 0.1.
func (s *Service) RetryRatio() float64 { return s.raw.Retries.Ratio }

// MaxAttempts returns the maximum number of attempts at one request, including the
// first.
func (s *Service) MaxAttempts() int { return s.raw.Retries.MaxAttempts }

// Endpoint is one back-end server of a service.
type Endpoint struct {
	name  string
	zone  string
	url   string
	slots int
}

// NewEndpoint returns an endpoint that need not be part of a document.
func NewEndpoint(name, zone, url string, slots int) Endpoint {
	return Endpoint{name: name, zone: zone, url: url, slots: slots}
}

// Name returns the endpoint's name, unique within its service.
func (e Endpoint) Name() string { return e.name }

// Zone returns the availability zone of the endpoint.
func (e Endpoint) Zone() string { return e.zone }

// URL returns the base URL without a trailing slash.
func (e Endpoint) URL() string { return e.url }

// Slots returns how many requests the endpoint runs concurrently.
func (e Endpoint) Slots() int { return e.slots }

// Prices holds the prices of a service in micro-units.
type Prices struct{ raw pricesJSON }

// Input returns the price of one prompt token.
func (p Prices) Input() int64 { return p.raw.Input }

// Cached returns the price of one prompt token found in the prefix cache.
func (p Prices) Cached() int64 { return p.raw.Cached }

// Output returns the price of one generated token.
func (p Prices) Output() int64 { return p.raw.Output }

// Call returns the price of one call.
func (p Prices) Call() int64 { return p.raw.Call }

// Limit holds the limits of one client account on one service.
type Limit struct{ raw limitJSON }

// Rate returns the maximum number of requests per second in the whole fleet, 0 for
// no limit.
func (l Limit) Rate() float64 { return l.raw.Rate }

// InFlight returns the maximum number of requests in flight in the whole fleet, 0
// for no limit.
func (l Limit) InFlight() int { return l.raw.InFlight }
