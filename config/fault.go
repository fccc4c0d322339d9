package config

import (
	"fmt"
	"strings"
)

// MaxFaults is the maximum number of faults that one Error lists.
const MaxFaults = 32

// maxValueBytes is the length at which faults and differences truncate a quoted value.
const maxValueBytes = 80

// Fault is one validation error of an input.
type Fault struct {
	// Path is the JSON path of the invalid value; "$" is the whole input.
	Path string
	// Value is the value found as JSON, truncated, or a description such as "missing".
	Value string
	// Allowed describes the accepted values.
	Allowed string
}

// String returns the path, the value and the accepted values on one line.
func (f Fault) String() string {
	return fmt.Sprintf("%s is %s, allowed: %s", f.Path, f.Value, f.Allowed)
}

// Error lists the faults of an invalid input.
type Error struct {
	Faults []Fault
	// Omitted is the number of faults beyond MaxFaults.
	Omitted int
}

// Error returns all listed faults and the number of omitted ones on one line.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Faults)+1)
	for _, fault := range e.Faults {
		lines = append(lines, fault.String())
	}
	if e.Omitted > 0 {
		lines = append(lines, fmt.Sprintf("%d more faults", e.Omitted))
	}
	return strings.Join(lines, "; ")
}

// add appends a fault, or counts it as omitted if the list is full.
func (e *Error) add(path, value, allowed string) {
	if len(e.Faults) >= MaxFaults {
		e.Omitted++
		return
	}
	e.Faults = append(e.Faults, Fault{Path: path, Value: value, Allowed: allowed})
}

// errOrNil returns e, or a nil interface if there is no fault.
func (e *Error) errOrNil() error {
	if len(e.Faults) == 0 {
		return nil
	}
	return e
}

// shorten truncates a text to maxValueBytes and marks the cut with "...".
func shorten(text string) string {
	if len(text) <= maxValueBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxValueBytes], "") + "..."
}
