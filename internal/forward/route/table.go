package route

import (
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Kind says what may be repeated.
type Kind int

const (
	// AtMostOnce marks requests that run at most once.
	AtMostOnce Kind = iota
	// Idempotent marks requests that may run again.
	Idempotent
	// Stream marks requests that are answered by a stream of events.
	Stream
)

// String returns the kind as logs show it.
func (k Kind) String() string { return [...]string{"once", "idempotent", "stream"}[k] }

// WeightedService is a service that a route sends a part of its requests to.
type WeightedService struct {
	Service string
	Weight  float64
}

// Route is one forwarded route. Routes are values that nobody changes.
type Route struct {
	Name        string
	Host        string
	Prefix      string // of the path, with a slash at both ends
	Kind        Kind
	Timeout     time.Duration // after which a request gets its final answer
	Objective   time.Duration // for the answer, or for the first event
	MaxEventGap time.Duration // longest pause between events, 0 if unbounded
	Priority    int           // priority, 0 first
	Services    []WeightedService
	MaxAttempts int  // endpoints that one request may be sent to
	Anonymous   bool // no key needed
	Sticky      bool // requests share parts of prompts
	Resumable   bool // a stream may go on at another endpoint
}

// Repeatable reports whether requests of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// PickService draws the service of a request by weight.
func (r *Route) PickService() string {
	var sum float64
	for _, t := range r.Services {
		sum += t.Weight
	}
	at := rand.Float64() * sum
	for _, t := range r.Services {
		if at -= t.Weight; at < 0 {
			return t.Service
		}
	}
	return r.Services[len(r.Services)-1].Service
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots          int   // requests at once
	KVTokens       int64 // tokens
	TokensPerEvent int64 // tokens in one event
}

// Service is what endpoints of one name have in common.
type Service struct {
	Name     string
	MaxConns int // connections that an endpoint takes from all callers
	Engine   *Engine
}

// Account is one client account.
type Account struct {
	Name        string
	Keys        []string
	Priority    int
	HasPriority bool  // Rank goes before the route's
	Prepaid     int64 // tokens paid for in all, if Metered
	Metered     bool
}

// Limits bound what callers may send, and how slowly. 0 means no bound.
type Limits struct {
	MaxHeader     int
	MaxBody       int64
	HeaderTimeout time.Duration // to send the header
	IdleTimeout   time.Duration // between two requests of a connection
}

// Config is a configuration before it is checked.
type Config struct {
	Version  int64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}

// Table is one version of the configuration.
type Table struct {
	version  int64
	routes   map[string][]*Route // by host
	services map[string]*Service
	accounts []*Account
	keys     map[string]*Account
	limits   Limits
}

// ErrInvalid means that a configuration does not hold together.
var ErrInvalid = errors.New("route: configuration")

// NewTable checks a draft and returns it as a table. It takes the draft over.
func NewTable(d Config) (*Table, error) {
	t := &Table{
		version: d.Version, limits: d.Limits,
		routes: map[string][]*Route{}, services: map[string]*Service{}, keys: map[string]*Account{},
	}
	for i := range d.Services {
		t.services[d.Services[i].Name] = &d.Services[i]
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		if r.Host == "" || !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
			return nil, errors.Wrapf(ErrInvalid, "route %q: host %q, prefix %q", r.Name, r.Host, r.Prefix)
		}
		if len(r.Services) == 0 || r.MaxAttempts < 1 {
			return nil, errors.Wrapf(ErrInvalid, "route %q has %d services and %d tries", r.Name, len(r.Services), r.MaxAttempts)
		}
		host := strings.ToLower(r.Host)
		t.routes[host] = append(t.routes[host], r)
	}
	for i := range d.Accounts {
		a := &d.Accounts[i]
		t.accounts = append(t.accounts, a)
		for _, k := range a.Keys {
			t.keys[k] = a
		}
	}
	return t, nil
}

// Version returns the operator's number of the configuration.
func (t *Table) Version() int64 { return t.version }

// Limits returns the bounds on what callers send.
func (t *Table) Limits() Limits { return t.limits }

// Accounts returns all client accounts.
func (t *Table) Accounts() []*Account { return t.accounts }

// HasAccounts reports whether the configuration has client accounts at all.
func (t *Table) HasAccounts() bool { return len(t.accounts) > 0 }

// AccountByKey returns the account that a key belongs to, nil if there is none.
func (t *Table) AccountByKey(key string) *Account { return t.keys[key] }

// Services returns all services.
func (t *Table) Services() []*Service {
	all := make([]*Service, 0, len(t.services))
	for _, s := range t.services {
		all = append(all, s)
	}
	return all
}

// Service returns a service, nil if there is none.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Match returns the route of a request, nil if there is none. Path is as it was
// sent, escapes included.
func (t *Table) Match(host, path string) *Route {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	var best *Route
	for _, r := range t.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}
