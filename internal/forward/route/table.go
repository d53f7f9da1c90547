package route

import (
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Kind defines how often a request of a route may run and whether its response is
// relayed as a stream.
type Kind int

const (
	// AtMostOnce means that a request runs at most once.
	AtMostOnce Kind = iota
	// Idempotent means that a request may run more than once.
	Idempotent
	// Stream means that the response is a stream of events. The request may run more
	// than once only if its route is resumable.
	Stream
)

// String returns "once" for AtMostOnce, "idempotent" for Idempotent or "stream" for
// Stream.
func (k Kind) String() string { return [...]string{"once", "idempotent", "stream"}[k] }

// WeightedService is one of the services of a route. For each request, one of these
// services is chosen at random by weight.
type WeightedService struct {
	Service string
	Weight  float64 // probability of the service, relative to the sum of the weights of the route
}

// Route defines how the requests with one host and path prefix are forwarded. Routes
// are immutable.
type Route struct {
	Name        string
	Host        string
	Prefix      string // of the path, begins and ends with a slash
	Kind        Kind
	Timeout     time.Duration     // largest time from the arrival of the request to the end of the response, 0 if not set
	Objective   time.Duration     // target for the time to the response, or to the first event of a stream
	MaxEventGap time.Duration     // target for the longest pause between two events of a stream, 0 if not set
	Priority    int               // of the requests for prepaid tokens; 0 is served first
	Services    []WeightedService // one of which is chosen for each request
	MaxAttempts int               // largest number of endpoints that a request may be sent to
	Anonymous   bool              // requests without a valid API key are accepted too
	Sticky      bool              // requests share parts of their prompts with one another
	Resumable   bool              // another endpoint can continue a broken stream after the last event received
}

// Retryable reports whether requests of the route may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// PickService returns the name of one of the route's services at random. The
// probability of a service is proportional to its weight.
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
	Slots          int   // requests that an engine runs concurrently
	KVTokens       int64 // size of the KV cache of one engine in tokens
	TokensPerEvent int64 // generated tokens in each event of a response stream
}

// Service holds the properties that all endpoints of a service share.
type Service struct {
	Name     string
	MaxConns int     // largest number of connections that an endpoint accepts from all callers together
	Engine   *Engine // properties of the model engines; nil for a plain service
}

// Account is a client account as configured: its API keys, its priority and its
// prepaid tokens.
type Account struct {
	Name        string
	Keys        []string
	Priority    int   // of the requests, if HasPriority; 0 is served first
	HasPriority bool  // Priority replaces the priority of the route
	Prepaid     int64 // number of tokens paid for so far, including spent ones, if Metered
	Metered     bool  // requests of the account reserve prepaid tokens
}

// Limits bounds the sizes and times of callers' requests. A field of 0 means that
// the configuration sets no bound, and the server applies its own if it has one.
type Limits struct {
	MaxHeader     int           // largest header of a request, in bytes
	MaxBody       int64         // largest body of a request, in bytes
	HeaderTimeout time.Duration // largest time to receive the header of a request
	IdleTimeout   time.Duration // largest time between two requests on a connection
}

// Config is a configuration as read from its source. NewTable checks it.
type Config struct {
	Version  int64 // version number set by the operator
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}

// Table is one version of the configuration, checked and indexed for lookups. It is
// immutable.
type Table struct {
	version  int64
	routes   map[string][]*Route // by host
	services map[string]*Service // by name
	accounts []*Account
	keys     map[string]*Account // by API key
	limits   Limits
	split    map[string]bool // see SplitServices
}

// ErrInvalid means that NewTable has rejected a configuration.
var ErrInvalid = errors.New("route: invalid configuration")

// NewTable checks a configuration and returns its table. If a route is invalid, it
// returns an error that wraps ErrInvalid. The table refers to the slices of c, which
// must not change afterwards.
func NewTable(c Config) (*Table, error) {
	t := &Table{
		version: c.Version, limits: c.Limits,
		routes: map[string][]*Route{}, services: map[string]*Service{}, keys: map[string]*Account{}, split: map[string]bool{},
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Host == "" || !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
			return nil, errors.Wrapf(ErrInvalid, "route %q has the host %q and the prefix %q; it needs a host, and a prefix that begins and ends with a slash", r.Name, r.Host, r.Prefix)
		}
		if len(r.Services) == 0 || r.MaxAttempts < 1 {
			return nil, errors.Wrapf(ErrInvalid, "route %q has %d services and allows %d attempts; it needs at least one of each", r.Name, len(r.Services), r.MaxAttempts)
		}
		host := strings.ToLower(r.Host)
		t.routes[host] = append(t.routes[host], r)
		for _, s := range r.Services {
			if r.Kind == Stream && r.Resumable && len(r.Services) > 1 {
				t.split[s.Service] = true
			}
		}
	}
	for i := range c.Accounts {
		a := &c.Accounts[i]
		t.accounts = append(t.accounts, a)
		for _, k := range a.Keys {
			t.keys[k] = a
		}
	}
	return t, nil
}

// Version returns the version number that the operator has given to the
// configuration.
func (t *Table) Version() int64 { return t.version }

// Limits returns the bounds that the configuration sets on the sizes and times of
// callers' requests.
func (t *Table) Limits() Limits { return t.limits }

// Accounts returns all client accounts, in the order of the configuration.
func (t *Table) Accounts() []*Account { return t.accounts }

// HasAccounts reports whether the configuration has client accounts. Without any,
// requests need no API key.
func (t *Table) HasAccounts() bool { return len(t.accounts) > 0 }

// AccountByKey returns the account that an API key belongs to, or nil if the key is
// unknown.
func (t *Table) AccountByKey(key string) *Account { return t.keys[key] }

// Services returns all services of the configuration, in no particular order.
func (t *Table) Services() []*Service {
	all := make([]*Service, 0, len(t.services))
	for _, s := range t.services {
		all = append(all, s)
	}
	return all
}

// StreamServices returns the names of the services to which routes with streams lead. A nil
// table has none.
func (t *Table) StreamServices() []string {
	if t == nil {
		return nil
	}
	names := map[string]bool{}
	for _, routes := range t.routes {
		for _, r := range routes {
			for _, s := range r.Services {
				if r.Kind == Stream {
					names[s.Service] = true
				}
			}
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// SplitServices returns the names of the services that share a route with another service, if the route
// has streams that can be resumed. The caller must not change the map. A nil table has none.
func (t *Table) SplitServices() map[string]bool {
	if t == nil {
		return nil
	}
	return t.split
}

// Service returns the service with the given name, or nil if the configuration has
// none.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Match returns the route for a request, or nil if there is none. The route has the
// host of the request and, of the prefixes that match the path, the longest one.
// Host may include a port. Path is the path of the request, escaped as the caller
// sent it.
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
