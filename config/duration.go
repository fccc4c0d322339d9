package config

import (
	"fmt"
	"math"
	"regexp"
	"strconv"
	"time"
)

// Duration is a time.Duration that is encoded in JSON as a string with a whole number
// and a unit (us, ms, s, m or h), such as "250ms".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// durationUnits is sorted from the largest unit to the smallest.
var durationUnits = []struct {
	name string
	size time.Duration
}{
	{"h", time.Hour},
	{"m", time.Minute},
	{"s", time.Second},
	{"ms", time.Millisecond},
	{"us", time.Microsecond},
}

// String returns the duration as a whole number of the largest unit that divides it.
func (d Duration) String() string {
	for _, unit := range durationUnits {
		if d != 0 && d.Std()%unit.size == 0 {
			return strconv.FormatInt(int64(d.Std()/unit.size), 10) + unit.name
		}
	}
	if d == 0 {
		return "0s"
	}
	return d.Std().String()
}

// MarshalText returns the JSON form. Negative durations and fractions of a microsecond
// are errors.
func (d Duration) MarshalText() ([]byte, error) {
	if d < 0 || d.Std()%time.Microsecond != 0 {
		return nil, fmt.Errorf("duration %v is negative or has parts of a microsecond", d.Std())
	}
	return []byte(d.String()), nil
}

// UnmarshalText parses the JSON form.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, ok := parseDuration(string(text))
	if !ok {
		return fmt.Errorf("%q is no duration, allowed: %s", shorten(string(text)), durationFormat)
	}
	*d = parsed
	return nil
}

const durationFormat = `a whole number with a unit (us, ms, s, m, h) such as "250ms"`

var durationPattern = regexp.MustCompile(`^(0|[1-9][0-9]{0,14})(us|ms|s|m|h)$`)

// parseDuration reports false if the text has another form or overflows.
func parseDuration(text string) (Duration, bool) {
	parts := durationPattern.FindStringSubmatch(text)
	if parts == nil {
		return 0, false
	}
	count, err := strconv.ParseInt(parts[1], 10, 64)
	if err != nil {
		return 0, false
	}
	for _, unit := range durationUnits {
		if unit.name == parts[2] && count <= math.MaxInt64/int64(unit.size) {
			return Duration(count * int64(unit.size)), true
		}
	}
	return 0, false
}
