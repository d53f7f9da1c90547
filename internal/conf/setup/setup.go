package setup

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"jacinthladder.dev/internal/conf/jsonc"
	"jacinthladder.dev/internal/conf/spec"
)

// text is the settings file as written.
type text struct {
	Name     string     `json:"name"`
	Zone     string     `json:"zone"`
	Listen   string     `json:"listen"`
	Peer     string     `json:"peer"`
	Admin    string     `json:"admin"`
	Platform string     `json:"platform"`
	Lead     jsonc.Span `json:"lead"`
	Drain    jsonc.Span `json:"drain"`
	File     jsonc.Span `json:"file"`
	Beat     jsonc.Span `json:"beat"`
	Body     int64      `json:"body"`
	Memory   int64      `json:"memory"`
	Level    string     `json:"level"`
	Format   string     `json:"format"`
	Forward  *Forward   `json:"forward"`
}

// Forward is the section of an instance that serves forwarded routes.
type Forward struct {
	// Ready is the address at which the balancer asks whether the instance is to
	// get requests.
	Ready string `json:"ready"`
	// Seeds are peer addresses of a few instances, some perhaps stale.
	Seeds []string `json:"seeds"`
	// Grace is how long a planned stop may take before the process is killed.
	Grace jsonc.Span `json:"grace"`
	// Fresh is the longest that the platform may be silent on what is watched
	// before it is asked anew: a connection can fall silent unnoticed.
	Fresh jsonc.Span `json:"fresh"`
	// Endure is how long shares of budgets should last without the platform.
	Endure jsonc.Span `json:"endure"`
	// Ratio, Extra and Window bound the retries of the whole fleet.
	Ratio  float64    `json:"ratio"`
	Extra  float64    `json:"extra"`
	Window jsonc.Span `json:"window"`
	// Writes is how many writes a second the platform takes from the whole fleet.
	Writes int `json:"writes"`
	// Megabytes is the memory that the process may use.
	Megabytes int64 `json:"megabytes"`
}

// Settings are the checked settings of one instance.
type Settings struct{ raw text }

// Option changes settings that a program makes up without a file.
type Option func(*text)

// Make returns checked settings for an instance that has no file.
func Make(name, zone, listen, peer, admin, platform string, options ...Option) (*Settings, error) {
	s := &Settings{raw: defaults()}
	s.raw.Name, s.raw.Zone = name, zone
	s.raw.Listen, s.raw.Peer, s.raw.Admin = listen, peer, admin
	s.raw.Platform = platform
	for _, o := range options {
		o(&s.raw)
	}
	if field, reason := check(&s.raw); reason != "" {
		return nil, errors.Newf("settings: %s: %s", field, reason)
	}
	return s, nil
}

// Lead sets how long an instance serves on after it announced its stop.
func Lead(d time.Duration) Option {
	return func(t *text) { t.Lead = jsonc.Span(d) }
}

// Drain sets how long a planned stop may take.
func Drain(d time.Duration) Option {
	return func(t *text) { t.Drain = jsonc.Span(d) }
}

// Beat sets the interval between heartbeats.
func Beat(d time.Duration) Option {
	return func(t *text) { t.Beat = jsonc.Span(d) }
}

// File sets the interval between filings of usage records.
func File(d time.Duration) Option {
	return func(t *text) { t.File = jsonc.Span(d) }
}

// Load reads and checks a settings file.
func Load(file string) (*Settings, error) {
	src, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	return Parse(file, src)
}

// Parse reads and checks settings; file is their name in errors.
func Parse(file string, src []byte) (*Settings, error) {
	s := &Settings{raw: defaults()}
	tree, err := jsonc.Decode(file, src, &s.raw)
	if err != nil {
		return nil, err
	}
	if field, reason := check(&s.raw); reason != "" {
		return nil, tree.Fault(field, reason)
	}
	return s, nil
}

func defaults() text {
	return text{
		Lead:   jsonc.Span(2 * time.Second),
		Drain:  jsonc.Span(2 * time.Minute),
		File:   jsonc.Span(time.Second),
		Beat:   jsonc.Span(time.Second),
		Body:   4 << 20,
		Memory: 64 << 20,
		Level:  "info",
		Format: "text",
	}
}

// check returns the field at fault and the reason, both empty when all is well.
func check(t *text) (field, reason string) {
	names := map[string]string{"name": t.Name, "zone": t.Zone}
	for _, f := range []string{"name", "zone"} {
		if !spec.ValidName(names[f]) {
			return f, fmt.Sprintf("%q is not a name", names[f])
		}
	}
	addresses := map[string]string{"listen": t.Listen, "peer": t.Peer, "admin": t.Admin}
	for _, f := range []string{"listen", "peer", "admin"} {
		host, _, err := net.SplitHostPort(addresses[f])
		if err != nil || net.ParseIP(host) == nil {
			return f, fmt.Sprintf("%q is not an IP number and port", addresses[f])
		}
	}
	switch {
	case t.Platform == "":
		return "platform", "missing"
	case t.Drain <= 0:
		return "drain", "must be more than 0"
	case t.File <= 0:
		return "file", "must be more than 0"
	case t.Beat <= 0:
		return "beat", "must be more than 0"
	case t.Body <= 0:
		return "body", "must be more than 0"
	case t.Memory <= 0:
		return "memory", "must be more than 0"
	case t.Format != "text" && t.Format != "json":
		return "format", fmt.Sprintf("%q is neither \"text\" nor \"json\"", t.Format)
	case t.Forward != nil:
		return t.Forward.check()
	}
	return "", ""
}

// check returns the field at fault and the reason, both empty when all is well.
func (f *Forward) check() (field, reason string) {
	for _, a := range append([]string{f.Ready}, f.Seeds...) {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return "forward", fmt.Sprintf("%q is not an IP number and port", a)
		}
	}
	switch {
	case f.Grace <= 0:
		return "forward", "grace must be more than 0"
	case f.Fresh <= 0:
		return "forward", "fresh must be more than 0"
	case f.Window <= 0:
		return "forward", "window must be more than 0"
	case f.Ratio < 0 || f.Extra < 0:
		return "forward", "ratio and extra must not be negative"
	case f.Writes < 0:
		return "forward", "writes must not be negative"
	case f.Megabytes < 0:
		return "forward", "megabytes must not be negative"
	}
	return "", ""
}

// Forward returns the section for forwarded routes, nil if the instance does not
// serve any.
func (s *Settings) Forward() *Forward { return s.raw.Forward }

// Name returns the instance's name.
func (s *Settings) Name() string { return s.raw.Name }

// Zone returns the availability zone the instance stands in.
func (s *Settings) Zone() string { return s.raw.Zone }

// Listen returns the address for callers.
func (s *Settings) Listen() string { return s.raw.Listen }

// Peer returns the address for other instances.
func (s *Settings) Peer() string { return s.raw.Peer }

// Admin returns the address for metrics and health checks.
func (s *Settings) Admin() string { return s.raw.Admin }

// Platform returns the base address of the platform's Object API.
func (s *Settings) Platform() string { return s.raw.Platform }

// Lead returns how long the instance serves on after it announced its stop, so
// that the balancer can turn away from it.
func (s *Settings) Lead() time.Duration { return time.Duration(s.raw.Lead) }

// Drain returns how long a planned stop may take.
func (s *Settings) Drain() time.Duration { return time.Duration(s.raw.Drain) }

// File returns the interval between filings of usage records.
func (s *Settings) File() time.Duration { return time.Duration(s.raw.File) }

// Beat returns the interval between heartbeats to peers.
func (s *Settings) Beat() time.Duration { return time.Duration(s.raw.Beat) }

// Body returns the largest request body in bytes.
func (s *Settings) Body() int64 { return s.raw.Body }

// Memory returns the bytes that finished answers may take up.
func (s *Settings) Memory() int64 { return s.raw.Memory }

// Level returns the lowest level that is logged.
func (s *Settings) Level() string { return s.raw.Level }

// Format returns "text" or "json".
func (s *Settings) Format() string { return s.raw.Format }
