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

// settingsJSON is the encoded form of the settings. The methods of Settings with the same
// names explain the fields.
type settingsJSON struct {
	Name              string         `json:"name"`
	Zone              string         `json:"zone"`
	ListenAddress     string         `json:"listen"`
	PeerAddress       string         `json:"peer"`
	AdminAddress      string         `json:"admin"`
	PlatformURL       string         `json:"platform"`
	LeaveDelay        jsonc.Duration `json:"lead"`
	DrainTimeout      jsonc.Duration `json:"drain"`
	FlushInterval     jsonc.Duration `json:"file"`
	HeartbeatInterval jsonc.Duration `json:"beat"`
	MaxBody           int64          `json:"body"`
	ReplayMemory      int64          `json:"memory"`
	LogLevel          string         `json:"level"`
	LogFormat         string         `json:"format"`
	Forward           *Forward       `json:"forward"`
}

// Forward is the section "forward" of the settings, for an instance that forwards requests
// on the routes of the users' platform.
type Forward struct {
	// ReadyAddress is the IP address and port at which the load balancer checks whether
	// the instance is ready for requests.
	ReadyAddress string `json:"ready"`
	// Seeds are the addresses at which a few other instances accept calls from peers. An
	// instance finds its first peers through them. Some of the addresses may be out of
	// date.
	Seeds []string `json:"seeds"`
	// GracePeriod is the time from the start of a planned stop to the moment when the
	// process is killed.
	GracePeriod jsonc.Duration `json:"grace"`
	// WatchTimeout is how long a watch of objects on the platform may deliver nothing
	// before the instance starts a new watch. It is needed because a connection can stop
	// delivering data without an error.
	WatchTimeout jsonc.Duration `json:"fresh"`
	// OutageTolerance is how long the instance's shares of budgets should last while the
	// platform is unreachable.
	OutageTolerance jsonc.Duration `json:"endure"`
	// RetryRatio, ExtraRetries and RetryWindow limit the retries that the whole fleet
	// makes for each service. Within each time span of length RetryWindow, the fleet makes
	// at most ExtraRetries plus RetryRatio times the number of the service's requests.
	RetryRatio   float64        `json:"ratio"`
	ExtraRetries float64        `json:"extra"`
	RetryWindow  jsonc.Duration `json:"window"`
	// WriteRate is how many writes per second the platform accepts from the whole fleet.
	// It determines the number of objects that hold the ledgers of budgets, so all
	// instances must have the same value.
	WriteRate int `json:"writes"`
	// MemoryMB is the memory that the process may use, in MiB; 0 means no limit.
	MemoryMB int64 `json:"megabytes"`
}

// Settings holds the validated settings of one instance. New, Load and Parse make them.
type Settings struct{ raw settingsJSON }

// Option is an argument of New. It sets one value that New would otherwise take from the
// defaults.
type Option func(*settingsJSON)

// New returns validated settings for an instance without a settings file. Listen, peer and
// admin are the addresses at which the instance serves callers, peers and operators.
// Platform is the base URL of the platform's Object API. Other values are the defaults,
// unless options set them.
func New(name, zone, listen, peer, admin, platform string, options ...Option) (*Settings, error) {
	s := &Settings{raw: defaults()}
	s.raw.Name, s.raw.Zone = name, zone
	s.raw.ListenAddress, s.raw.PeerAddress, s.raw.AdminAddress = listen, peer, admin
	s.raw.PlatformURL = platform
	for _, o := range options {
		o(&s.raw)
	}
	if field, reason := check(&s.raw); reason != "" {
		return nil, errors.Newf("settings: %s: %s", field, reason)
	}
	return s, nil
}

// WithLeaveDelay sets how long an instance still accepts requests after it has announced
// that it is leaving.
func WithLeaveDelay(d time.Duration) Option {
	return func(s *settingsJSON) { s.LeaveDelay = jsonc.Duration(d) }
}

// WithDrainTimeout sets how long a planned stop waits, after the leave delay, for open
// requests to end.
func WithDrainTimeout(d time.Duration) Option {
	return func(s *settingsJSON) { s.DrainTimeout = jsonc.Duration(d) }
}

// WithHeartbeat sets the interval between the heartbeats that an instance sends to peers.
func WithHeartbeat(d time.Duration) Option {
	return func(s *settingsJSON) { s.HeartbeatInterval = jsonc.Duration(d) }
}

// WithFlush sets the interval between an instance's uploads of usage records to the
// platform.
func WithFlush(d time.Duration) Option {
	return func(s *settingsJSON) { s.FlushInterval = jsonc.Duration(d) }
}

// Load reads the named file, and decodes and validates the settings in it as Parse does.
func Load(file string) (*Settings, error) {
	src, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "settings: read the settings file")
	}
	return Parse(file, src)
}

// Parse decodes and validates the settings src, which are JSON with comments. File is their
// name in errors. Errors are of type *jsonc.Error, which gives the position of the error
// in src.
func Parse(file string, src []byte) (*Settings, error) {
	s := &Settings{raw: defaults()}
	source, err := jsonc.Decode(file, src, &s.raw)
	if err != nil {
		return nil, err
	}
	if field, reason := check(&s.raw); reason != "" {
		return nil, source.ErrorAt(field, reason)
	}
	return s, nil
}

// defaults returns settings that contain only the default values of optional fields.
func defaults() settingsJSON {
	return settingsJSON{
		LeaveDelay:        jsonc.Duration(2 * time.Second),
		DrainTimeout:      jsonc.Duration(2 * time.Minute),
		FlushInterval:     jsonc.Duration(time.Second),
		HeartbeatInterval: jsonc.Duration(time.Second),
		MaxBody:           4 << 20,
		ReplayMemory:      64 << 20,
		LogLevel:          "info",
		LogFormat:         "text",
	}
}

// check validates the settings. It returns the first invalid field and why it is invalid,
// or empty strings if the settings are valid.
func check(s *settingsJSON) (field, reason string) {
	names := map[string]string{"name": s.Name, "zone": s.Zone}
	for _, f := range []string{"name", "zone"} {
		if !spec.ValidName(names[f]) {
			return f, fmt.Sprintf("%q is not a valid name (lower-case letters, digits, . - _)", names[f])
		}
	}
	addresses := map[string]string{"listen": s.ListenAddress, "peer": s.PeerAddress, "admin": s.AdminAddress}
	for _, f := range []string{"listen", "peer", "admin"} {
		host, _, err := net.SplitHostPort(addresses[f])
		if err != nil || net.ParseIP(host) == nil {
			return f, fmt.Sprintf("%q is not an IP address and port", addresses[f])
		}
	}
	switch {
	case s.PlatformURL == "":
		return "platform", "must not be empty"
	case s.DrainTimeout <= 0:
		return "drain", "must be greater than 0"
	case s.FlushInterval <= 0:
		return "file", "must be greater than 0"
	case s.HeartbeatInterval <= 0:
		return "beat", "must be greater than 0"
	case s.MaxBody <= 0:
		return "body", "must be greater than 0"
	case s.ReplayMemory <= 0:
		return "memory", "must be greater than 0"
	case s.LogFormat != "text" && s.LogFormat != "json":
		return "format", fmt.Sprintf("%q is neither \"text\" nor \"json\"", s.LogFormat)
	case s.Forward != nil:
		return s.Forward.check()
	}
	return "", ""
}

// check validates the section "forward" of the settings. If a value is invalid, it returns
// the field "forward" and says why the first invalid value is invalid. Otherwise it returns
// empty strings.
func (f *Forward) check() (field, reason string) {
	for _, a := range append([]string{f.ReadyAddress}, f.Seeds...) {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return "forward", fmt.Sprintf("%q is not an IP address and port", a)
		}
	}
	switch {
	case f.GracePeriod <= 0:
		return "forward", "grace must be greater than 0"
	case f.WatchTimeout <= 0:
		return "forward", "fresh must be greater than 0"
	case f.RetryWindow <= 0:
		return "forward", "window must be greater than 0"
	case f.RetryRatio < 0 || f.ExtraRetries < 0:
		return "forward", "ratio and extra must not be negative"
	case f.WriteRate < 0:
		return "forward", "writes must not be negative"
	case f.MemoryMB < 0:
		return "forward", "megabytes must not be negative"
	}
	return "", ""
}

// Forward returns the section "forward" of the settings, nil if the instance does not
// forward requests on the routes of the users' platform.
func (s *Settings) Forward() *Forward { return s.raw.Forward }

// Name returns the name of the instance, which stays the same after a restart of the
// process.
func (s *Settings) Name() string { return s.raw.Name }

// Zone returns the availability zone of the instance.
func (s *Settings) Zone() string { return s.raw.Zone }

// ListenAddress returns the IP address and port at which the instance accepts callers'
// requests.
func (s *Settings) ListenAddress() string { return s.raw.ListenAddress }

// PeerAddress returns the IP address and port at which the instance accepts calls from its
// peers.
func (s *Settings) PeerAddress() string { return s.raw.PeerAddress }

// AdminAddress returns the IP address and port at which the instance serves metrics and
// health checks to operators.
func (s *Settings) AdminAddress() string { return s.raw.AdminAddress }

// PlatformURL returns the base URL of the platform's Object API.
func (s *Settings) PlatformURL() string { return s.raw.PlatformURL }

// LeaveDelay returns how long the instance still accepts requests after it has announced
// that it is leaving. In this time the load balancer should stop sending requests to it.
func (s *Settings) LeaveDelay() time.Duration { return time.Duration(s.raw.LeaveDelay) }

// DrainTimeout returns how long a planned stop waits, after the leave delay, for open
// requests to end.
func (s *Settings) DrainTimeout() time.Duration { return time.Duration(s.raw.DrainTimeout) }

// FlushInterval returns the interval between uploads of usage records to the platform.
func (s *Settings) FlushInterval() time.Duration { return time.Duration(s.raw.FlushInterval) }

// HeartbeatInterval returns the interval between the heartbeats that the instance sends to
// peers.
func (s *Settings) HeartbeatInterval() time.Duration { return time.Duration(s.raw.HeartbeatInterval) }

// MaxBody returns the maximum size, in bytes, of the body of a caller's request.
func (s *Settings) MaxBody() int64 { return s.raw.MaxBody }

// ReplayMemory returns how many bytes of finished responses the instance keeps for replay
// to retries.
func (s *Settings) ReplayMemory() int64 { return s.raw.ReplayMemory }

// LogLevel returns the lowest level of log messages that are written, such as "info".
func (s *Settings) LogLevel() string { return s.raw.LogLevel }

// LogFormat returns the format in which log messages are written, "text" or "json".
func (s *Settings) LogFormat() string { return s.raw.LogFormat }
