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
	// Model services speak the chat completions protocol and bill by token.
	Model Kind = "model"
	// Plain services take any HTTP call below their path and bill by call.
	Plain Kind = "plain"
)

// Any is the client account whose limits and ranks hold for accounts that the
// document does not name.
const Any = "*"

// Service is a checked document. It does not change.
type Service struct {
	raw       text
	version   int64
	endpoints []Endpoint
	tree      *jsonc.Tree
}

// Fault returns an error about a field, placed in the document's text.
func (s *Service) Fault(field, reason string) error { return s.tree.Fault(field, reason) }

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

// Repeatable reports whether a call may run more than once. Model calls always
// may; plain calls only where a rule of the document matches.
func (s *Service) Repeatable(method, target string) bool {
	if s.raw.Kind == Model {
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
		l = s.raw.Limits[Any]
	}
	return Limit{raw: l}
}

// Rank returns the priority of account; higher is served first.
func (s *Service) Rank(account string) int {
	if r, ok := s.raw.Ranks[account]; ok {
		return r
	}
	return s.raw.Ranks[Any]
}

// DefaultTokens returns max_tokens for a request that names no bound.
func (s *Service) DefaultTokens() int64 { return s.raw.Tokens.Default }

// MostTokens returns the highest max_tokens that a request may name.
func (s *Service) MostTokens() int64 { return s.raw.Tokens.Most }

// AimTime returns the aim for the first token: calls of middle priority are
// refused rather than made to wait longer for an endpoint.
func (s *Service) AimTime() time.Duration { return time.Duration(s.raw.Times.Aim) }

// FirstTime returns how long the first byte of an answer may take.
func (s *Service) FirstTime() time.Duration { return time.Duration(s.raw.Times.First) }

// GapTime returns how long a stream may stay silent before it is probed.
func (s *Service) GapTime() time.Duration { return time.Duration(s.raw.Times.Gap) }

// TotalTime returns how long a whole request may take.
func (s *Service) TotalTime() time.Duration { return time.Duration(s.raw.Times.Total) }

// WaitTime returns how long a request may wait for budget to come free.
func (s *Service) WaitTime() time.Duration { return time.Duration(s.raw.Times.Wait) }

// KeepTime returns how long finished answers can be replayed.
func (s *Service) KeepTime() time.Duration { return time.Duration(s.raw.Times.Keep) }

// Endure returns how long a share should last a holder without the platform.
func (s *Service) Endure() time.Duration { return time.Duration(s.raw.Escrow.Endure) }

// Alone returns what a holder may spend without a witness, in micro-units.
func (s *Service) Alone() int64 { return s.raw.Escrow.Alone }

// RetryRatio returns the retries allowed for each request, such as 0.1.
func (s *Service) RetryRatio() float64 { return s.raw.Retries.Ratio }

// Tries returns the most attempts at one request, the first included.
func (s *Service) Tries() int { return s.raw.Retries.Tries }

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

// Open returns the requests open at once over the whole fleet, 0 for no limit.
func (l Limit) Open() int { return l.raw.Open }
