package config

import (
	"fmt"
	"net/netip"
	"time"
)

// LogLevel is the minimum severity of the messages that the daemon logs.
type LogLevel string

// The log levels, from the most to the least verbose.
const (
	LogDebug   LogLevel = "debug"
	LogInfo    LogLevel = "info"
	LogWarning LogLevel = "warning"
	LogError   LogLevel = "error"
)

// Limits of settings.
const (
	// MaxSettingsBytes is the maximum size of a settings file.
	MaxSettingsBytes = 64 << 10
	// MaxPlatformAddresses is the maximum number of platform_addresses.
	MaxPlatformAddresses = 16
	// maxExactInteger is the largest integer that JSON decoders with 64-bit floats
	// represent exactly.
	maxExactInteger = 1<<53 - 1
)

// Settings configure one proxy daemon.
type Settings struct {
	// VM is the daemon's name in the platform's list of VMs.
	VM               string `json:"vm"`
	AvailabilityZone string `json:"availability_zone"`
	Region           string `json:"region"`
	// CallerAddress is the PostgreSQL listener, PeerAddress the gRPC listener.
	CallerAddress string `json:"caller_address"`
	PeerAddress   string `json:"peer_address"`
	// AdvertisePeerAddress is the address at which peers connect to this daemon; the
	// default is PeerAddress.
	AdvertisePeerAddress string `json:"advertise_peer_address"`
	// MetricsAddress is the HTTP listener for /metrics, /healthz and /readyz.
	MetricsAddress string `json:"metrics_address"`
	// PlatformAddresses are the addresses of the platform's gRPC service, which has the
	// key-value store and the list of VMs.
	PlatformAddresses []string `json:"platform_addresses"`
	// PlatformTimeout is the time limit of one call to the platform.
	PlatformTimeout Duration `json:"platform_timeout"`
	// UpstreamConnectTimeout is the time limit for connecting to an upstream.
	UpstreamConnectTimeout Duration `json:"upstream_connect_timeout"`
	// DrainTimeout is the time after the start of a drain at which the proxy starts to
	// close each remaining caller connection once its current request has ended.
	DrainTimeout Duration `json:"drain_timeout"`
	LogLevel     LogLevel `json:"log_level"`
	// Seed is the seed of random numbers; 0 means a different one at each start.
	Seed                 uint64 `json:"seed"`
	MaxCallerConnections int    `json:"max_caller_connections"`
	// MaxRequestBytes is the maximum size of one request batch of a caller.
	MaxRequestBytes int `json:"max_request_bytes"`
}

// DefaultSettings returns settings with the defaults of the optional fields.
func DefaultSettings() Settings {
	return Settings{
		CallerAddress:          "127.0.0.1:6432",
		PeerAddress:            "127.0.0.1:6433",
		MetricsAddress:         "127.0.0.1:6434",
		PlatformTimeout:        Duration(time.Second),
		UpstreamConnectTimeout: Duration(time.Second),
		DrainTimeout:           Duration(30 * time.Second),
		LogLevel:               LogInfo,
		MaxCallerConnections:   10_000,
		MaxRequestBytes:        16 << 20,
	}
}

// DecodeSettings decodes and validates settings. The error is an *Error that lists the
// faults.
func DecodeSettings(data []byte) (*Settings, error) {
	d := &decoder{}
	if len(data) > MaxSettingsBytes {
		d.faults.add("$", fmt.Sprintf("%d bytes long", len(data)), fmt.Sprintf("at most %d bytes", MaxSettingsBytes))
		return nil, &d.faults
	}
	settings := DefaultSettings()
	if root := parse(data, &d.faults); root != nil {
		d.settings(root, &settings)
	}
	if err := d.faults.errOrNil(); err != nil {
		return nil, err
	}
	return &settings, nil
}

func (d *decoder) settings(n *node, s *Settings) {
	d.object("$", n,
		field{"vm", true, d.text(&s.VM, nameFormat)},
		field{"availability_zone", true, d.text(&s.AvailabilityZone, nameFormat)},
		field{"region", true, d.text(&s.Region, nameFormat)},
		field{"caller_address", false, d.address(&s.CallerAddress)},
		field{"peer_address", false, d.address(&s.PeerAddress)},
		field{"advertise_peer_address", false, d.address(&s.AdvertisePeerAddress)},
		field{"metrics_address", false, d.address(&s.MetricsAddress)},
		field{"platform_addresses", true, d.platformAddresses(&s.PlatformAddresses)},
		field{"platform_timeout", false, d.duration(&s.PlatformTimeout, Duration(10*time.Millisecond), Duration(time.Minute))},
		field{"upstream_connect_timeout", false, d.duration(&s.UpstreamConnectTimeout, Duration(10*time.Millisecond), Duration(time.Minute))},
		field{"drain_timeout", false, d.duration(&s.DrainTimeout, Duration(time.Second), Duration(time.Hour))},
		field{"log_level", false, enum(d, &s.LogLevel, LogDebug, LogInfo, LogWarning, LogError)},
		field{"seed", false, integer(d, &s.Seed, 0, maxExactInteger)},
		field{"max_caller_connections", false, integer(d, &s.MaxCallerConnections, 1, 1_000_000)},
		field{"max_request_bytes", false, integer(d, &s.MaxRequestBytes, 1<<10, 1<<30)},
	)
	d.checkSettings(s)
}

func (d *decoder) platformAddresses(target *[]string) valueReader {
	return d.array(1, MaxPlatformAddresses, func(_ int, path string, n *node) {
		var address string
		d.address(&address)(path, n)
		for _, other := range *target {
			if address != "" && other == address {
				d.addInvalid(path, n, "each address once")
			}
		}
		*target = append(*target, address)
	})
}

// checkSettings checks the rules that involve several fields and sets the default of
// AdvertisePeerAddress.
func (d *decoder) checkSettings(s *Settings) {
	if s.AdvertisePeerAddress == "" {
		s.AdvertisePeerAddress = s.PeerAddress
	}
	if address, err := netip.ParseAddrPort(s.AdvertisePeerAddress); err == nil && address.Addr().IsUnspecified() {
		d.faults.add("$.advertise_peer_address", quote(s.AdvertisePeerAddress),
			"an address that peers can connect to; it is required if peer_address listens on all interfaces")
	}
	listeners := []struct{ path, address string }{
		{"$.caller_address", s.CallerAddress},
		{"$.peer_address", s.PeerAddress},
		{"$.metrics_address", s.MetricsAddress},
	}
	for i, listener := range listeners {
		for _, other := range listeners[:i] {
			if listener.address != "" && listener.address == other.address {
				d.faults.add(listener.path, quote(listener.address), "an address other than that of "+other.path)
			}
		}
	}
}
