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
	// MaxBytes is the largest document, below the platform's 1 MB for a value.
	MaxBytes = 900_000
	// MaxPrice is the highest price in micro-units; with maxTokens it keeps
	// every product within an int64.
	MaxPrice = 1_000_000_000
	// maxTokens is the highest max_tokens a document may allow.
	maxTokens = 10_000_000
	maxSlots  = 100_000
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// ValidName reports whether name can name a service, account, budget or
// endpoint: lower-case letters, digits, dot, dash and underscore, 63 at most.
func ValidName(name string) bool { return namePattern.MatchString(name) }

// Parse reads and checks the document src, named file in errors. The version
// is the platform's version of it. Errors are of type *jsonc.Error.
func Parse(file string, src []byte, version int64) (*Service, error) {
	s := &Service{raw: defaults(), version: version}
	tree, err := jsonc.Decode(file, src, &s.raw)
	if err != nil {
		return nil, err
	}
	if len(src) > MaxBytes {
		return nil, tree.ErrorAt("", fmt.Sprintf("document is %d bytes, more than %d", len(src), MaxBytes))
	}
	s.tree = tree
	c := checker{tree: tree}
	c.service(&s.raw)
	if c.err != nil {
		return nil, c.err
	}
	for _, e := range s.raw.Endpoints {
		s.endpoints = append(s.endpoints, NewEndpoint(e.Name, e.Zone, strings.TrimRight(e.URL, "/"), e.Slots))
	}
	return s, nil
}

func defaults() text {
	return text{
		Times: timesText{
			Aim:   jsonc.Duration(390 * time.Millisecond),
			First: jsonc.Duration(10 * time.Second),
			Gap:   jsonc.Duration(2 * time.Second),
			Total: jsonc.Duration(2 * time.Minute),
			Wait:  jsonc.Duration(500 * time.Millisecond),
			Keep:  jsonc.Duration(time.Minute),
		},
		Tokens:  tokensText{Default: 256, Most: 4096},
		Escrow:  escrowText{Endure: jsonc.Duration(time.Hour)},
		Retries: retriesText{Ratio: 0.1, Tries: 3},
	}
}

// checker keeps the first fault that it finds.
type checker struct {
	tree *jsonc.SourceMap
	err  error
}

func (c *checker) want(ok bool, field, format string, args ...any) {
	if !ok && c.err == nil {
		c.err = c.tree.ErrorAt(field, fmt.Sprintf(format, args...))
	}
}

func (c *checker) name(field, name string) {
	c.want(ValidName(name), field, "%q is not a name (lower-case letters, digits, . - _)", name)
}

func (c *checker) price(field string, price int64) {
	c.want(price >= 0 && price <= MaxPrice, field, "%d is not between 0 and %d", price, MaxPrice)
}

func (c *checker) service(t *text) {
	c.name("name", t.Name)
	c.want(t.Kind == KindModel || t.Kind == KindPlain, "kind", "%q is neither \"model\" nor \"plain\"", t.Kind)
	c.want((len(t.Models) > 0) == (t.Kind == KindModel), "models", "a model service names its models, a plain service none")
	for i, m := range t.Models {
		c.want(m != "", fmt.Sprintf("models[%d]", i), "empty model name")
	}
	c.endpoints(t.Endpoints)
	c.prices(t)
	c.budgets(t)
	c.rules(t)
	c.times(t.Times)
	c.want(t.Tokens.Most > 0 && t.Tokens.Most <= maxTokens, "tokens.most", "%d is not between 1 and %d", t.Tokens.Most, maxTokens)
	c.want(t.Tokens.Default > 0 && t.Tokens.Default <= t.Tokens.Most, "tokens.default", "%d is not between 1 and tokens.most", t.Tokens.Default)
	c.want(t.Escrow.Alone >= 0, "escrow.alone", "negative amount")
	c.want(t.Retries.Ratio >= 0 && t.Retries.Ratio <= 1, "retries.ratio", "%v is not between 0 and 1", t.Retries.Ratio)
	c.want(t.Retries.Tries >= 1 && t.Retries.Tries <= 10, "retries.tries", "%d is not between 1 and 10", t.Retries.Tries)
	c.limits(t)
}

func (c *checker) endpoints(endpoints []endpointText) {
	c.want(len(endpoints) > 0, "endpoints", "no endpoint")
	seen := map[string]bool{}
	for i, e := range endpoints {
		field := fmt.Sprintf("endpoints[%d]", i)
		c.name(field+".name", e.Name)
		c.want(!seen[e.Name], field+".name", "%q stands twice", e.Name)
		seen[e.Name] = true
		c.name(field+".zone", e.Zone)
		u, err := url.Parse(e.URL)
		c.want(err == nil && u.Scheme == "http" && u.Host != "", field+".url", "%q is not an http address", e.URL)
		c.want(e.Slots > 0 && e.Slots <= maxSlots, field+".slots", "%d is not between 1 and %d", e.Slots, maxSlots)
	}
}

func (c *checker) prices(t *text) {
	c.price("prices.input", t.Prices.Input)
	c.price("prices.cached", t.Prices.Cached)
	c.price("prices.output", t.Prices.Output)
	c.price("prices.call", t.Prices.Call)
	c.want(t.Prices.Cached <= t.Prices.Input, "prices.cached", "a cached token costs more than prices.input")
	plainOnly := t.Prices.Input == 0 && t.Prices.Output == 0
	c.want(t.Kind == KindModel || plainOnly, "prices", "a plain service is priced by call only")
}

func (c *checker) budgets(t *text) {
	c.want(len(t.Budgets) > 0, "budgets", "no client account has a budget here")
	for account, names := range t.Budgets {
		field := "budgets." + account
		c.name(field, account)
		c.want(len(names) > 0, field, "no budget")
		for i, n := range names {
			c.name(fmt.Sprintf("%s[%d]", field, i), n)
		}
	}
}

func (c *checker) rules(t *text) {
	c.want(t.Kind == KindPlain || len(t.Repeat) == 0, "repeat", "calls of a model service may always be repeated")
	for i, r := range t.Repeat {
		field := fmt.Sprintf("repeat[%d]", i)
		c.want(r.Method != "" && r.Method == strings.ToUpper(r.Method), field+".method", "%q is not a method in capitals", r.Method)
		_, err := path.Match(r.Path, "/")
		c.want(err == nil && strings.HasPrefix(r.Path, "/"), field+".path", "%q is not a path pattern such as /stock/*", r.Path)
	}
}

func (c *checker) times(t timesText) {
	c.want(t.Aim > 0, "times.aim", "must be more than 0")
	c.want(t.First > 0, "times.first", "must be more than 0")
	c.want(t.Gap > 0, "times.gap", "must be more than 0")
	c.want(t.Total >= t.First, "times.total", "is less than times.first")
	c.want(t.Wait <= t.Total, "times.wait", "is more than times.total")
}

func (c *checker) limits(t *text) {
	for account, l := range t.Limits {
		field := "limits." + account
		c.want(account == AnyAccount || ValidName(account), field, "%q is not a client account", account)
		c.want(l.Rate >= 0, field+".rate", "negative rate")
		c.want(l.Open >= 0, field+".open", "negative count")
	}
	for account, r := range t.Ranks {
		field := "ranks." + account
		c.want(account == AnyAccount || ValidName(account), field, "%q is not a client account", account)
		c.want(r >= 0 && r <= 9, field, "%d is not between 0 and 9", r)
	}
}
