package config

import (
	"fmt"
	"reflect"
	"time"
)

// ManagedSettings configure a daemon in front of databases whose leadership is
// arbitrated by the platform (`skylarkhinge managed`).
type ManagedSettings struct {
	// VM is the daemon's name, unique among the daemons that share the store.
	VM               string
	AvailabilityZone string
	Region           string
	// Regions has the region of each availability zone.
	Regions map[string]string
	// CallerAddress is the listener for callers, ReadyAddress the HTTP listener
	// for readiness probes. MetricsAddress is the HTTP listener for /metrics; it
	// may be empty.
	CallerAddress, ReadyAddress, MetricsAddress string
	// PeerAddress is the listener for sessions that other proxies hand over. Without
	// it the proxy serves every session itself.
	PeerAddress string
	// StoreAddress is the platform's store, PromotionAddress its promotion API.
	StoreAddress, PromotionAddress string
	// ShutdownGrace is the time between SIGTERM and the end of the process.
	ShutdownGrace time.Duration
	// LeavingGrace is how long a leaving upstream may still get new work.
	LeavingGrace time.Duration
	// MaxDescriptors bounds the open files of the process.
	MaxDescriptors int
	LogLevel       LogLevel
	// LogLinesPerSecond and LogBytesPerSecond bound the log lines about requests.
	// Lines about changes of state are always written.
	LogLinesPerSecond, LogBytesPerSecond int
}

// DefaultManagedSettings returns the values of the optional settings.
func DefaultManagedSettings() ManagedSettings {
	return ManagedSettings{
		ShutdownGrace:     6 * time.Second,
		LeavingGrace:      7 * time.Second,
		MaxDescriptors:    4096,
		LogLevel:          LogInfo,
		LogLinesPerSecond: 20,
		LogBytesPerSecond: 16 << 10,
	}
}

// MergeReloadable returns s with the settings of next that a running daemon can take over,
// and whether next differs in others, which take effect with the next start.
func (s *ManagedSettings) MergeReloadable(next *ManagedSettings) (merged *ManagedSettings, restart bool) {
	out := *s
	out.ShutdownGrace = next.ShutdownGrace
	out.LeavingGrace = next.LeavingGrace
	out.LogLevel = next.LogLevel
	out.LogLinesPerSecond = next.LogLinesPerSecond
	out.LogBytesPerSecond = next.LogBytesPerSecond
	return &out, !reflect.DeepEqual(&out, next)
}

// DecodeManagedSettings reads settings. The error is an *Error with all faults.
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
		field{"log_level", false, enum(d, &s.LogLevel, LogDebug, LogInfo, LogWarning, LogError)},
		field{"log_lines_per_second", false, integer(d, &s.LogLinesPerSecond, 1, 100_000)},
		field{"log_bytes_per_second", false, integer(d, &s.LogBytesPerSecond, 1<<10, 100<<20)},
	)
	listeners := uniqueValues{}
	listeners.add("$.caller_address", quoteIfSet(s.CallerAddress), &d.faults)
	listeners.add("$.ready_address", quoteIfSet(s.ReadyAddress), &d.faults)
	listeners.add("$.peer_address", quoteIfSet(s.PeerAddress), &d.faults)
	listeners.add("$.metrics_address", quoteIfSet(s.MetricsAddress), &d.faults)
}

// durationInUnits reads a number of units, which may have a fraction, as a duration. The
// platform renders its bounds as plain numbers.
func (d *decoder) durationInUnits(target *time.Duration, unit, low, high time.Duration) valueReader {
	return func(path string, n *node) {
		var count float64
		before := len(d.faults.Faults) + d.faults.Omitted
		d.number(&count, float64(low)/float64(unit), float64(high)/float64(unit))(path, n)
		if len(d.faults.Faults)+d.faults.Omitted == before {
			*target = time.Duration(count * float64(unit))
		}
	}
}

// maxAvailabilityZones bounds availability_zones.
const maxAvailabilityZones = 256

// regions reads an object that has the region of each availability zone.
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
