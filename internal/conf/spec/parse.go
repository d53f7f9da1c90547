package spec

import (
	"fmt"
	"net/url"
	"path"
	"regexp"
	"strings"
	"time"

	"jacinthladder.dev/internal/conf/jsonc"
)

const (
	// MaxBytes is the maximum size of a service document in bytes. The platform limits
	// the value of an object to 1 MB.
	MaxBytes = 900_000
	// MaxPrice is the maximum of each price in a service document, in micro-units. Together
	// with maxTokens it keeps every product of a price and a token count within an int64.
	MaxPrice = 1_000_000_000
	// maxTokens is the largest max_tokens that a service document may allow in requests.
	maxTokens = 10_000_000
	// maxSlots is the largest number of slots, requests that run concurrently, that a
	// service document may give an endpoint.
	maxSlots = 100_000
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// ValidName reports whether name is a valid name of a service, account, budget, endpoint,
// zone or instance: 1 to 63 lower-case letters, digits, dots, dashes and underscores, of
// which the first is a letter or a digit.
func ValidName(name string) bool { return namePattern.MatchString(name) }

// Parse decodes and validates the service document src. File is the name of the document
// in errors. Version is its version on the platform, 0 if it is not stored yet. Errors are
// of type *jsonc.Error, which gives the position of the error in src.
func Parse(file string, src []byte, version int64) (*Service, error) {
	s := &Service{raw: defaults(), version: version}
	source, err := jsonc.Decode(file, src, &s.raw)
	if err != nil {
		return nil, err
	}
	if len(src) > MaxBytes {
		return nil, source.ErrorAt("", fmt.Sprintf("the document has %d bytes, more than the maximum of %d", len(src), MaxBytes))
	}
	s.sourceMap = source
	c := checker{sourceMap: source}
	c.service(&s.raw)
	if c.err != nil {
		return nil, c.err
	}
	for _, e := range s.raw.Endpoints {
		s.endpoints = append(s.endpoints, NewEndpoint(e.Name, e.Zone, strings.TrimRight(e.URL, "/"), e.Slots))
	}
	return s, nil
}

// defaults returns a service document that contains only the default values of optional
// fields.
func defaults() serviceJSON {
	return serviceJSON{
		Timeouts: timeoutsJSON{
			FirstTokenTarget: jsonc.Duration(390 * time.Millisecond),
			FirstByteTimeout: jsonc.Duration(10 * time.Second),
			StallTimeout:     jsonc.Duration(2 * time.Second),
			RequestTimeout:   jsonc.Duration(2 * time.Minute),
			BudgetTimeout:    jsonc.Duration(500 * time.Millisecond),
			ReplayTTL:        jsonc.Duration(time.Minute),
		},
		Tokens:  tokensJSON{Default: 256, Max: 4096},
		Escrow:  escrowJSON{OutageTolerance: jsonc.Duration(time.Hour)},
		Retries: retriesJSON{Ratio: 0.1, MaxAttempts: 3},
	}
}

// checker validates a decoded service document and keeps the first error that it finds.
type checker struct {
	sourceMap *jsonc.SourceMap
	err       error
}

// require records an error at a field of the document if ok is false and there is no
// earlier error. Field is the path of the field, such as "endpoints[2].zone". Format and
// args give the reason.
func (c *checker) require(ok bool, field, format string, args ...any) {
	if !ok && c.err == nil {
		c.err = c.sourceMap.ErrorAt(field, fmt.Sprintf(format, args...))
	}
}

// name requires that a field contains a valid name.
func (c *checker) name(field, name string) {
	c.require(ValidName(name), field, "%q is not a valid name (lower-case letters, digits, . - _)", name)
}

// price requires that a field contains a price between 0 and MaxPrice micro-units.
func (c *checker) price(field string, price int64) {
	c.require(price >= 0 && price <= MaxPrice, field, "%d is not between 0 and %d", price, MaxPrice)
}

// service validates all fields of a service document.
func (c *checker) service(s *serviceJSON) {
	c.name("name", s.Name)
	c.require(s.Kind == KindModel || s.Kind == KindPlain, "kind", "%q is neither \"model\" nor \"plain\"", s.Kind)
	c.require((len(s.Models) > 0) == (s.Kind == KindModel), "models", "must not be empty for a model service and must be empty for a plain service")
	for i, m := range s.Models {
		c.require(m != "", fmt.Sprintf("models[%d]", i), "the model name must not be empty")
	}
	c.endpoints(s.Endpoints)
	c.prices(s)
	c.budgets(s)
	c.retryRules(s)
	c.timeouts(s.Timeouts)
	c.require(s.Tokens.Max > 0 && s.Tokens.Max <= maxTokens, "tokens.most", "%d is not between 1 and %d", s.Tokens.Max, maxTokens)
	c.require(s.Tokens.Default > 0 && s.Tokens.Default <= s.Tokens.Max, "tokens.default", "%d is not between 1 and tokens.most", s.Tokens.Default)
	c.require(s.Escrow.Unwitnessed >= 0, "escrow.alone", "must not be negative")
	c.require(s.Retries.Ratio >= 0 && s.Retries.Ratio <= 1, "retries.ratio", "%v is not between 0 and 1", s.Retries.Ratio)
	c.require(s.Retries.MaxAttempts >= 1 && s.Retries.MaxAttempts <= 10, "retries.tries", "%d is not between 1 and 10", s.Retries.MaxAttempts)
	c.limits(s)
}

func (c *checker) endpoints(endpoints []endpointJSON) {
	c.require(len(endpoints) > 0, "endpoints", "must have at least one endpoint")
	seen := map[string]bool{}
	for i, e := range endpoints {
		field := fmt.Sprintf("endpoints[%d]", i)
		c.name(field+".name", e.Name)
		c.require(!seen[e.Name], field+".name", "endpoint %q is repeated", e.Name)
		seen[e.Name] = true
		c.name(field+".zone", e.Zone)
		u, err := url.Parse(e.URL)
		c.require(err == nil && u.Scheme == "http" && u.Host != "", field+".url", "%q is not an http URL", e.URL)
		c.require(e.Slots > 0 && e.Slots <= maxSlots, field+".slots", "%d is not between 1 and %d", e.Slots, maxSlots)
	}
}

func (c *checker) prices(s *serviceJSON) {
	c.price("prices.input", s.Prices.Input)
	c.price("prices.cached", s.Prices.Cached)
	c.price("prices.output", s.Prices.Output)
	c.price("prices.call", s.Prices.Call)
	c.require(s.Prices.Cached <= s.Prices.Input, "prices.cached", "is greater than prices.input")
	plainOnly := s.Prices.Input == 0 && s.Prices.Output == 0
	c.require(s.Kind == KindModel || plainOnly, "prices", "a plain service can only have prices.call")
}

func (c *checker) budgets(s *serviceJSON) {
	c.require(len(s.Budgets) > 0, "budgets", "must have a budget for at least one client account")
	for account, names := range s.Budgets {
		field := "budgets." + account
		c.name(field, account)
		c.require(len(names) > 0, field, "must have at least one budget")
		for i, n := range names {
			c.name(fmt.Sprintf("%s[%d]", field, i), n)
		}
	}
}

func (c *checker) retryRules(s *serviceJSON) {
	c.require(s.Kind == KindPlain || len(s.RetryRules) == 0, "repeat", "must be empty for a model service, whose calls can always be retried")
	for i, r := range s.RetryRules {
		field := fmt.Sprintf("repeat[%d]", i)
		c.require(r.Method != "" && r.Method == strings.ToUpper(r.Method), field+".method", "%q is not an upper-case HTTP method", r.Method)
		_, err := path.Match(r.Path, "/")
		c.require(err == nil && strings.HasPrefix(r.Path, "/"), field+".path", "%q is not a path pattern such as /stock/*", r.Path)
	}
}

func (c *checker) timeouts(t timeoutsJSON) {
	c.require(t.FirstTokenTarget > 0, "times.aim", "must be greater than 0")
	c.require(t.FirstByteTimeout > 0, "times.first", "must be greater than 0")
	c.require(t.StallTimeout > 0, "times.gap", "must be greater than 0")
	c.require(t.RequestTimeout >= t.FirstByteTimeout, "times.total", "is less than times.first")
	c.require(t.BudgetTimeout <= t.RequestTimeout, "times.wait", "is greater than times.total")
}

func (c *checker) limits(s *serviceJSON) {
	for account, l := range s.Limits {
		field := "limits." + account
		c.require(account == AnyAccount || ValidName(account), field, "%q is not a valid account name", account)
		c.require(l.Rate >= 0, field+".rate", "must not be negative")
		c.require(l.InFlight >= 0, field+".open", "must not be negative")
	}
	for account, r := range s.Priorities {
		field := "ranks." + account
		c.require(account == AnyAccount || ValidName(account), field, "%q is not a valid account name", account)
		c.require(r >= 0 && r <= 9, field, "%d is not between 0 and 9", r)
	}
}
