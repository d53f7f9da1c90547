package spec

import (
	"maps"
	"path"
	"slices"
	"time"

	"jacinthladder.dev/internal/conf/jsonc"
)

// Kind is the kind of a service. It determines the protocol of calls to the service and
// how they are priced.
type Kind string

const (
	// KindModel is the kind of a service with the chat completions protocol, whose calls
	// are priced by their tokens.
	KindModel Kind = "model"
	// KindPlain is the kind of a service that accepts any HTTP call below its path, with
	// one price for every call.
	KindPlain Kind = "plain"
)

// AnyAccount stands in a service document for all client accounts without an entry of
// their own. It is a key of the limits and of the priorities.
const AnyAccount = "*"

// Service is the validated content of a service document. It is immutable. Use Parse to
// create one.
type Service struct {
	raw       serviceJSON
	version   int64 // version of the document on the platform, 0 if it is not stored yet
	endpoints []Endpoint
	sourceMap *jsonc.SourceMap // locates errors in the document
}

// ErrorAt returns an error with the given reason and the position of a field in the text of
// the service document. Field is a path such as "endpoints[2].zone".
func (s *Service) ErrorAt(field, reason string) error { return s.sourceMap.ErrorAt(field, reason) }

// Name returns the name of the service.
func (s *Service) Name() string { return s.raw.Name }

// Kind returns the kind of the service.
func (s *Service) Kind() Kind { return s.raw.Kind }

// Version returns the version of the service document on the platform, 0 if it is not
// stored yet.
func (s *Service) Version() int64 { return s.version }

// Models returns the names of the models that the service serves, none for a plain service.
func (s *Service) Models() []string { return slices.Clone(s.raw.Models) }

// Endpoints returns the endpoints of the service in the order of the service document. The
// caller must not change the slice.
func (s *Service) Endpoints() []Endpoint { return s.endpoints }

// Prices returns the prices at which calls of the service are charged.
func (s *Service) Prices() Prices { return Prices{raw: s.raw.Prices} }

// Budgets returns the names of the budgets that pay for calls of a client account. A call
// is charged to the first of them that can pay for it. The result is empty if the account
// may not call the service.
func (s *Service) Budgets(account string) []string { return s.raw.Budgets[account] }

// Accounts returns the sorted names of the client accounts that may call the service,
// because they have a budget for it.
func (s *Service) Accounts() []string { return slices.Sorted(maps.Keys(s.raw.Budgets)) }

// Retryable reports whether a call may run more than once. Method is its HTTP method and
// target is its path. Calls of a model service may always run more than once. Calls of a
// plain service may only if a retry rule of the service document matches.
func (s *Service) Retryable(method, target string) bool {
	if s.raw.Kind == KindModel {
		return true
	}
	return slices.ContainsFunc(s.raw.RetryRules, func(r retryRuleJSON) bool {
		ok, _ := path.Match(r.Path, target)
		return ok && r.Method == method
	})
}

// Limit returns the limits of a client account on the service. For an account without an
// entry in the service document these are the limits of AnyAccount, or no limits.
func (s *Service) Limit(account string) Limit {
	l, ok := s.raw.Limits[account]
	if !ok {
		l = s.raw.Limits[AnyAccount]
	}
	return Limit{raw: l}
}

// Priority returns the priority of calls of a client account, from 0 to 9. Calls with a
// higher priority are served first. For an account without an entry in the service
// document this is the priority of AnyAccount, or 0.
func (s *Service) Priority(account string) int {
	if r, ok := s.raw.Priorities[account]; ok {
		return r
	}
	return s.raw.Priorities[AnyAccount]
}

// DefaultTokens returns the value of max_tokens that applies to a request that does not
// set it.
func (s *Service) DefaultTokens() int64 { return s.raw.Tokens.Default }

// MaxTokens returns the largest max_tokens that a request may set.
func (s *Service) MaxTokens() int64 { return s.raw.Tokens.Max }

// FirstTokenTarget returns the target time from a request to its first token. A call of
// medium priority, which is 4 of 0 to 9, is refused if it would wait longer than this for
// an endpoint. Calls of a higher priority may wait longer, calls of a lower priority less
// long.
func (s *Service) FirstTokenTarget() time.Duration {
	return time.Duration(s.raw.Timeouts.FirstTokenTarget)
}

// FirstByteTimeout returns how long the first data of a streamed response may take. If a
// connection to the endpoint breaks or stalls after this time and no data has arrived on
// any connection, the instance gives up the attempt at this endpoint.
func (s *Service) FirstByteTimeout() time.Duration {
	return time.Duration(s.raw.Timeouts.FirstByteTimeout)
}

// StallTimeout returns how long a stream from an endpoint may deliver nothing. After that
// its connection is closed, and the stream is resumed on a new connection.
func (s *Service) StallTimeout() time.Duration { return time.Duration(s.raw.Timeouts.StallTimeout) }

// RequestTimeout returns how long a request may take from its acceptance to the end of its
// response.
func (s *Service) RequestTimeout() time.Duration { return time.Duration(s.raw.Timeouts.RequestTimeout) }

// BudgetTimeout returns how long a request may wait for the release of budget that other
// requests have reserved.
func (s *Service) BudgetTimeout() time.Duration { return time.Duration(s.raw.Timeouts.BudgetTimeout) }

// ReplayTTL returns how long a finished response is kept for replay to retries with the
// same idempotency key. It may be discarded earlier to free memory.
func (s *Service) ReplayTTL() time.Duration { return time.Duration(s.raw.Timeouts.ReplayTTL) }

// OutageTolerance returns how long an instance's share of a budget should last while the
// platform is unreachable.
func (s *Service) OutageTolerance() time.Duration { return time.Duration(s.raw.Escrow.OutageTolerance) }

// Unwitnessed returns the amount, in micro-units, that an instance may spend from its share
// of a budget beyond the bound that the witnesses of the share have acknowledged. The
// witnesses are peers that record an upper bound of what the share spends.
func (s *Service) Unwitnessed() int64 { return s.raw.Escrow.Unwitnessed }

// RetryRatio returns how many retries are allowed for each request to the service, on
// average. With 0.1, retries add at most about a tenth to the load.
func (s *Service) RetryRatio() float64 { return s.raw.Retries.Ratio }

// MaxAttempts returns the maximum number of attempts at one request, including the first
// attempt.
func (s *Service) MaxAttempts() int { return s.raw.Retries.MaxAttempts }

// Endpoint is one back-end server that runs calls of a service.
type Endpoint struct {
	name  string
	zone  string
	url   string
	slots int
}

// NewEndpoint returns an endpoint with the given values, without validation. The endpoint
// need not be part of a service document.
func NewEndpoint(name, zone, url string, slots int) Endpoint {
	return Endpoint{name: name, zone: zone, url: url, slots: slots}
}

// Name returns the endpoint's name, which is unique within its service.
func (e Endpoint) Name() string { return e.name }

// Zone returns the availability zone of the endpoint.
func (e Endpoint) Zone() string { return e.zone }

// URL returns the base URL of the endpoint, without a trailing slash.
func (e Endpoint) URL() string { return e.url }

// Slots returns how many requests the endpoint runs concurrently.
func (e Endpoint) Slots() int { return e.slots }

// Prices holds the prices of a service in micro-units. The price of a call applies to plain
// services, the other prices to model services.
type Prices struct{ raw pricesJSON }

// Input returns the price of one prompt token that is not found in the prefix cache, in
// micro-units.
func (p Prices) Input() int64 { return p.raw.Input }

// Cached returns the price of one prompt token that is found in the prefix cache, in
// micro-units.
func (p Prices) Cached() int64 { return p.raw.Cached }

// Output returns the price of one generated token, in micro-units.
func (p Prices) Output() int64 { return p.raw.Output }

// Call returns the price of one call of a plain service, in micro-units.
func (p Prices) Call() int64 { return p.raw.Call }

// Limit holds the limits of one client account on one service.
type Limit struct{ raw limitJSON }

// Rate returns the maximum number of the account's requests per second in the whole fleet,
// 0 for no limit.
func (l Limit) Rate() float64 { return l.raw.Rate }

// InFlight returns the maximum number of the account's requests in flight in the whole
// fleet, 0 for no limit.
func (l Limit) InFlight() int { return l.raw.InFlight }
