package config

import (
	"fmt"
	"reflect"
	"time"
)

// ManagedSettings configure a daemon (`skylarkhinge managed`) in front of databases
// whose primaries are chosen by the platform.
type ManagedSettings struct {
	// VM is the daemon's name, unique among the daemons that share the store.
	VM               string
	AvailabilityZone string
	Region           string
	// Regions maps availability zones to regions.
	Regions map[string]string
	// CallerAddress is the listener for callers, ReadyAddress the HTTP listener
	// for readiness probes. MetricsAddress is the HTTP listener for /metrics; it
	// may be empty.
	CallerAddress, ReadyAddress, MetricsAddress string
	// PeerAddress is the listener for sessions that other proxies hand over. If it is
	// empty, the proxy serves every session itself.
	PeerAddress string
	// StoreAddress is the platform's key-value store, PromotionAddress its promotion API.
	StoreAddress, PromotionAddress string
	// ShutdownGrace is the maximum time from SIGTERM to the exit of the process.
	ShutdownGrace time.Duration
	// LeavingGrace is how long a leaving upstream may still get new requests.
	LeavingGrace time.Duration
	// MaxDescriptors is the maximum number of open file descriptors of the process.
	MaxDescriptors int
	// LinkMbps is the bandwidth of the VM's network link in Mbit/s, 0 if it is unknown.
	LinkMbps float64
	LogLevel LogLevel
	// LogLinesPerSecond and LogBytesPerSecond are rate limits for log lines about
	// requests. Log lines about state changes are always written.
	LogLinesPerSecond, LogBytesPerSecond int
	// StrictRevocation is set if requests with keys must not run once RevocationTimeout has
	// passed since a configuration removed their key.
	StrictRevocation  bool
	RevocationTimeout time.Duration
	// QuotaWindow is the length of the sliding window in which the operations of an
	// organisation are counted; 0 disables quotas. QuotaOverage is the tolerated fraction
	// above the quota, QuotaSlack the tolerated number of operations beyond that.
	QuotaWindow  time.Duration
	QuotaOverage float64
	QuotaSlack   int
	// UpstreamPace bounds the statements in flight at upstreams that start or recover.
	UpstreamPace bool
}

// DefaultManagedSettings returns settings with the defaults of the optional fields.
func DefaultManagedSettings() ManagedSettings {
	return ManagedSettings{
		ShutdownGrace:     6 * time.Second,
		LeavingGrace:      7 * time.Second,
		MaxDescriptors:    4096,
		LogLevel:          LogInfo,
		LogLinesPerSecond: 20,
		LogBytesPerSecond: 16 << 10,
		RevocationTimeout: 5 * time.Second,
	}
}

// MergeReloadable returns a copy of s with those settings of next that a running daemon
// can change. restart is set if next differs in other settings, which need a restart.
func (s *ManagedSettings) MergeReloadable(next *ManagedSettings) (merged *ManagedSettings, restart bool) {
	updated := *s
	updated.ShutdownGrace = next.ShutdownGrace
	updated.LeavingGrace = next.LeavingGrace
	updated.LogLevel = next.LogLevel
	updated.LogLinesPerSecond = next.LogLinesPerSecond
	updated.LogBytesPerSecond = next.LogBytesPerSecond
	return &updated, !reflect.DeepEqual(&updated, next)
}

// DecodeManagedSettings decodes and validates settings. The error is an *Error that
// lists the faults.
func DecodeManagedSettings(data []byte) (*ManagedSettings, error) {
	d := &decoder{}
	if len(data) > MaxSettingsBytes {
		d.faults.add("$", fmt.Sprintf("%d bytes long", len(data)), fmt.Sprintf("at most %d bytes", MaxSettingsBytes))
		return nil, &d.faults
	}
	settings := DefaultManagedSettings()
	if root := parse(data, &d.faults); root != nil {
		d.managedSettings(root, &settings)
	}
	if err := d.faults.errOrNil(); err != nil {
		return nil, err
	}
	return &settings, nil
}

func (d *decoder) managedSettings(n *node, s *ManagedSettings) {
	d.object("$", n,
		field{"vm", true, d.text(&s.VM, nameFormat)},
		field{"availability_zone", true, d.text(&s.AvailabilityZone, nameFormat)},
		field{"region", true, d.text(&s.Region, nameFormat)},
		field{"availability_zones", true, d.regions(&s.Regions)},
		field{"caller_address", true, d.address(&s.CallerAddress)},
		field{"ready_address", true, d.address(&s.ReadyAddress)},
		field{"peer_address", false, d.address(&s.PeerAddress)},
		field{"metrics_address", false, d.address(&s.MetricsAddress)},
		field{"store_address", true, d.address(&s.StoreAddress)},
		field{"promotion_address", true, d.address(&s.PromotionAddress)},
		field{"shutdown_grace_s", false, d.durationInUnits(&s.ShutdownGrace, time.Second, time.Second, time.Hour)},
		field{"leaving_grace_ms", false, d.durationInUnits(&s.LeavingGrace, time.Millisecond, 100*time.Millisecond, time.Hour)},
		field{"max_descriptors", false, integer(d, &s.MaxDescriptors, 1000, 10_000_000)},
		field{"link_mbps", false, d.number(&s.LinkMbps, 0, 10_000_000)},
		field{"log_level", false, enum(d, &s.LogLevel, LogDebug, LogInfo, LogWarning, LogError)},
		field{"log_lines_per_second", false, integer(d, &s.LogLinesPerSecond, 1, 100_000)},
		field{"log_bytes_per_second", false, integer(d, &s.LogBytesPerSecond, 1<<10, 100<<20)},
		field{"strict_revocation", false, d.boolean(&s.StrictRevocation)},
		field{"revocation_timeout_ms", false, d.durationInUnits(&s.RevocationTimeout, time.Millisecond, time.Second, time.Hour)},
		field{"quota_window_s", false, d.durationInUnits(&s.QuotaWindow, time.Second, time.Second, time.Hour)},
		field{"quota_overage", false, d.number(&s.QuotaOverage, 0, 10)},
		field{"quota_slack", false, integer(d, &s.QuotaSlack, 0, 1_000_000)},
		field{"upstream_pace", false, d.boolean(&s.UpstreamPace)},
	)
	listeners := uniqueValues{}
	listeners.add("$.caller_address", quoteIfSet(s.CallerAddress), &d.faults)
	listeners.add("$.ready_address", quoteIfSet(s.ReadyAddress), &d.faults)
	listeners.add("$.peer_address", quoteIfSet(s.PeerAddress), &d.faults)
	listeners.add("$.metrics_address", quoteIfSet(s.MetricsAddress), &d.faults)
}

// durationInUnits decodes a number of units, possibly with a fraction, as a duration.
// The platform writes its time limits as plain numbers.
func (d *decoder) durationInUnits(target *time.Duration, unit, minimum, maximum time.Duration) valueReader {
	return func(path string, n *node) {
		var count float64
		faultsBefore := len(d.faults.Faults) + d.faults.Omitted
		d.number(&count, float64(minimum)/float64(unit), float64(maximum)/float64(unit))(path, n)
		if len(d.faults.Faults)+d.faults.Omitted == faultsBefore {
			*target = time.Duration(count * float64(unit))
		}
	}
}

// maxAvailabilityZones is the maximum number of entries in availability_zones.
const maxAvailabilityZones = 256

// regions decodes an object that maps availability zones to regions.
func (d *decoder) regions(target *map[string]string) valueReader {
	return func(path string, n *node) {
		if n.kind != kindObject || len(n.keys) > maxAvailabilityZones {
			d.addInvalid(path, n, fmt.Sprintf("an object of at most %d availability zones with their regions", maxAvailabilityZones))
			return
		}
		*target = make(map[string]string, len(n.keys))
		for i, zone := range n.keys {
			var region string
			d.text(&region, nameFormat)(fieldPath(path, zone), n.items[i])
			(*target)[zone] = region
		}
	}
}
