package spec

import (
	"maps"
	"path"
	"slices"
	"time"

	"jacinthladder.dev/internal/conf/jsonc"
)

// Kind says how a service is called and priced.
type Kind string

const (
	// KindModel services speak the chat completions protocol and bill by token.
	KindModel Kind = "model"
	// KindPlain services take any HTTP call below their path and bill by call.
	KindPlain Kind = "plain"
)

// AnyAccount is the client account whose limits and ranks hold for accounts that the
// document does not name.
const AnyAccount = "*"

// Service is a checked document. It does not change.
type Service struct {
	raw       text
	version   int64
	endpoints []Endpoint
	tree      *jsonc.SourceMap
}

// ErrorAt returns an error about a field, placed in the document's text.
func (s *Service) ErrorAt(field, reason string) error { return s.tree.ErrorAt(field, reason) }

// Name returns the name that callers and operators use.
func (s *Service) Name() string { return s.raw.Name }

// Kind returns how the service is called.
func (s *Service) Kind() Kind { return s.raw.Kind }

// Version returns the platform's version of the document, 0 before it has one.
func (s *Service) Version() int64 { return s.version }

// Models returns the names of the models that the service serves.
func (s *Service) Models() []string { return slices.Clone(s.raw.Models) }

// Endpoints returns the back ends, in the order of the document.
func (s *Service) Endpoints() []Endpoint { return s.endpoints }

// Prices returns what tokens and calls cost.
func (s *Service) Prices() Prices { return Prices{raw: s.raw.Prices} }

// Budgets returns the budgets that account may draw on here, in order.
func (s *Service) Budgets(account string) []string { return s.raw.Budgets[account] }

// Accounts returns the client accounts that have a budget attached, sorted.
func (s *Service) Accounts() []string { return slices.Sorted(maps.Keys(s.raw.Budgets)) }

// Retryable reports whether a call may run more than once. Model calls always
// may; plain calls only where a rule of the document matches.
func (s *Service) Retryable(method, target string) bool {
	if s.raw.Kind == KindModel {
		return true
	}
	return slices.ContainsFunc(s.raw.Repeat, func(r ruleText) bool {
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

// Priority returns the priority of account; higher is served first.
func (s *Service) Priority(account string) int {
	if r, ok := s.raw.Ranks[account]; ok {
		return r
	}
	return s.raw.Ranks[AnyAccount]
}

// DefaultTokens returns max_tokens for a request that names no bound.
func (s *Service) DefaultTokens() int64 { return s.raw.Tokens.Default }

// MaxTokens returns the highest max_tokens that a request may name.
func (s *Service) MaxTokens() int64 { return s.raw.Tokens.Most }

// FirstTokenTarget returns the aim for the first token: calls of middle priority are
// refused rather than made to wait longer for an endpoint.
func (s *Service) FirstTokenTarget() time.Duration { return time.Duration(s.raw.Times.Aim) }

// FirstByteTimeout returns how long the first byte of an answer may take.
func (s *Service) FirstByteTimeout() time.Duration { return time.Duration(s.raw.Times.First) }

// StallTimeout returns how long a stream may stay silent before it is probed.
func (s *Service) StallTimeout() time.Duration { return time.Duration(s.raw.Times.Gap) }

// RequestTimeout returns how long a whole request may take.
func (s *Service) RequestTimeout() time.Duration { return time.Duration(s.raw.Times.Total) }

// BudgetTimeout returns how long a request may wait for budget to come free.
func (s *Service) BudgetTimeout() time.Duration { return time.Duration(s.raw.Times.Wait) }

// ReplayTTL returns how long finished answers can be replayed.
func (s *Service) ReplayTTL() time.Duration { return time.Duration(s.raw.Times.Keep) }

// OutageTime returns how long a share should last a holder without the platform.
func (s *Service) OutageTime() time.Duration { return time.Duration(s.raw.Escrow.Endure) }

// EscrowSlack returns what a holder may spend without a witness, in micro-units.
func (s *Service) EscrowSlack() int64 { return s.raw.Escrow.Alone }

// RetryRatio returns the retries allowed for each request, such as 0.1.
func (s *Service) RetryRatio() float64 { return s.raw.Retries.Ratio }

// MaxAttempts returns the most attempts at one request, the first included.
func (s *Service) MaxAttempts() int { return s.raw.Retries.Tries }

// Endpoint is one back end of a service.
type Endpoint struct {
	name  string
	zone  string
	url   string
	slots int
}

// NewEndpoint returns an endpoint for callers that have no document.
func NewEndpoint(name, zone, url string, slots int) Endpoint {
	return Endpoint{name: name, zone: zone, url: url, slots: slots}
}

// Name returns the endpoint's name, unique within its service.
func (e Endpoint) Name() string { return e.name }

// Zone returns the availability zone the endpoint stands in.
func (e Endpoint) Zone() string { return e.zone }

// URL returns the base address, without a trailing slash.
func (e Endpoint) URL() string { return e.url }

// Slots returns how many requests the endpoint runs at once.
func (e Endpoint) Slots() int { return e.slots }

// Prices are in micro-units.
type Prices struct{ raw pricesText }

// Input returns the price of one prompt token.
func (p Prices) Input() int64 { return p.raw.Input }

// Cached returns the price of one prompt token found in the prefix cache.
func (p Prices) Cached() int64 { return p.raw.Cached }

// Output returns the price of one generated token.
func (p Prices) Output() int64 { return p.raw.Output }

// Call returns the price of one call.
func (p Prices) Call() int64 { return p.raw.Call }

// Limit bounds one client account on one service.
type Limit struct{ raw limText }

// Rate returns the requests per second over the whole fleet, 0 for no limit.
func (l Limit) Rate() float64 { return l.raw.Rate }

// InFlight returns the requests open at once over the whole fleet, 0 for no limit.
func (l Limit) InFlight() int { return l.raw.Open }
