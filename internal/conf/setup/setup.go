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
	Name     string         `json:"name"`
	Zone     string         `json:"zone"`
	Listen   string         `json:"listen"`
	Peer     string         `json:"peer"`
	Admin    string         `json:"admin"`
	Platform string         `json:"platform"`
	Lead     jsonc.Duration `json:"lead"`
	Drain    jsonc.Duration `json:"drain"`
	File     jsonc.Duration `json:"file"`
	Beat     jsonc.Duration `json:"beat"`
	Body     int64          `json:"body"`
	Memory   int64          `json:"memory"`
	Level    string         `json:"level"`
	Format   string         `json:"format"`
	Forward  *Forward       `json:"forward"`
}

// Forward is the section of an instance that serves forwarded routes.
type Forward struct {
	// ReadyAddress is the address at which the balancer asks whether the instance is to
	// get requests.
	ReadyAddress string `json:"ready"`
	// Seeds are peer addresses of a few instances, some perhaps stale.
	Seeds []string `json:"seeds"`
	// GracePeriod is how long a planned stop may take before the process is killed.
	GracePeriod jsonc.Duration `json:"grace"`
	// WatchTimeout is the longest that the platform may be silent on what is watched
	// before it is asked anew: a connection can fall silent unnoticed.
	WatchTimeout jsonc.Duration `json:"fresh"`
	// OutageTime is how long shares of budgets should last without the platform.
	OutageTime jsonc.Duration `json:"endure"`
	// Ratio, Extra and Window bound the retries of the whole fleet.
	RetryRatio  float64        `json:"ratio"`
	MinRetries  float64        `json:"extra"`
	RetryWindow jsonc.Duration `json:"window"`
	// WriteRate is how many writes a second the platform takes from the whole fleet.
	WriteRate int `json:"writes"`
	// MemoryMB is the memory that the process may use.
	MemoryMB int64 `json:"megabytes"`
}

// Settings are the checked settings of one instance.
type Settings struct{ raw text }

// Option changes settings that a program makes up without a file.
type Option func(*text)

// New returns checked settings for an instance that has no file.
func New(name, zone, listen, peer, admin, platform string, options ...Option) (*Settings, error) {
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

// WithLeaveDelay sets how long an instance serves on after it announced its stop.
func WithLeaveDelay(d time.Duration) Option {
	return func(t *text) { t.Lead = jsonc.Duration(d) }
}

// WithDrainTimeout sets how long a planned stop may take.
func WithDrainTimeout(d time.Duration) Option {
	return func(t *text) { t.Drain = jsonc.Duration(d) }
}

// WithHeartbeat sets the interval between heartbeats.
func WithHeartbeat(d time.Duration) Option {
	return func(t *text) { t.Beat = jsonc.Duration(d) }
}

// WithFlush sets the interval between filings of usage records.
func WithFlush(d time.Duration) Option {
	return func(t *text) { t.File = jsonc.Duration(d) }
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
		return nil, tree.ErrorAt(field, reason)
	}
	return s, nil
}

func defaults() text {
	return text{
		Lead:   jsonc.Duration(2 * time.Second),
		Drain:  jsonc.Duration(2 * time.Minute),
		File:   jsonc.Duration(time.Second),
		Beat:   jsonc.Duration(time.Second),
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
	for _, a := range append([]string{f.ReadyAddress}, f.Seeds...) {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return "forward", fmt.Sprintf("%q is not an IP number and port", a)
		}
	}
	switch {
	case f.GracePeriod <= 0:
		return "forward", "grace must be more than 0"
	case f.WatchTimeout <= 0:
		return "forward", "fresh must be more than 0"
	case f.RetryWindow <= 0:
		return "forward", "window must be more than 0"
	case f.RetryRatio < 0 || f.MinRetries < 0:
		return "forward", "ratio and extra must not be negative"
	case f.WriteRate < 0:
		return "forward", "writes must not be negative"
	case f.MemoryMB < 0:
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

// ListenAddress returns the address for callers.
func (s *Settings) ListenAddress() string { return s.raw.Listen }

// PeerAddress returns the address for other instances.
func (s *Settings) PeerAddress() string { return s.raw.Peer }

// AdminAddress returns the address for metrics and health checks.
func (s *Settings) AdminAddress() string { return s.raw.Admin }

// PlatformURL returns the base address of the platform's Object API.
func (s *Settings) PlatformURL() string { return s.raw.Platform }

// LeaveDelay returns how long the instance serves on after it announced its stop, so
// that the balancer can turn away from it.
func (s *Settings) LeaveDelay() time.Duration { return time.Duration(s.raw.Lead) }

// DrainTimeout returns how long a planned stop may take.
func (s *Settings) DrainTimeout() time.Duration { return time.Duration(s.raw.Drain) }

// FlushInterval returns the interval between filings of usage records.
func (s *Settings) FlushInterval() time.Duration { return time.Duration(s.raw.File) }

// HeartbeatInterval returns the interval between heartbeats to peers.
func (s *Settings) HeartbeatInterval() time.Duration { return time.Duration(s.raw.Beat) }

// MaxBody returns the largest request body in bytes.
func (s *Settings) MaxBody() int64 { return s.raw.Body }

// ReplayMemory returns the bytes that finished answers may take up.
func (s *Settings) ReplayMemory() int64 { return s.raw.Memory }

// LogLevel returns the lowest level that is logged.
func (s *Settings) LogLevel() string { return s.raw.Level }

// LogFormat returns "text" or "json".
func (s *Settings) LogFormat() string { return s.raw.Format }
