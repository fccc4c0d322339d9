package config

import (
	"fmt"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
)

// valueReader decodes one JSON value into a variable and reports faults.
type valueReader func(path string, n *node)

// field describes one known field of an object.
type field struct {
	name     string
	required bool
	read     valueReader
}

// stringFormat is a pattern for strings.
type stringFormat struct {
	pattern *regexp.Regexp
	// allowed describes the pattern in faults.
	allowed string
}

var (
	nameFormat = stringFormat{regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`),
		"1 to 63 lower-case letters, digits, '.', '_' or '-', the first a letter or digit"}
	userFormat = stringFormat{regexp.MustCompile(`^[A-Za-z0-9_][A-Za-z0-9_.@-]{0,62}$`),
		"1 to 63 letters, digits, '_', '.', '@' or '-', the first a letter, digit or '_'"}
)

// addressFormat describes the accepted addresses in faults.
const addressFormat = `an IP address with a port from 1 to 65535 such as "127.0.0.1:5432" or "[::1]:5432"`

// decoder decodes a tree of nodes and collects the faults of the input.
type decoder struct {
	faults Error
}

// addInvalid reports a value that is not among the allowed ones.
func (d *decoder) addInvalid(path string, n *node, allowed string) {
	d.faults.add(path, n.describe(), allowed)
}

// object decodes the given fields of an object in their order. Unknown fields and
// missing required fields are faults.
func (d *decoder) object(path string, n *node, fields ...field) {
	if n.kind != kindObject {
		d.addInvalid(path, n, "an object")
		return
	}
	remaining := make(map[string]*node, len(n.keys))
	for i, key := range n.keys {
		remaining[key] = n.items[i]
	}
	for _, f := range fields {
		value, present := remaining[f.name]
		delete(remaining, f.name)
		if present {
			f.read(fieldPath(path, f.name), value)
		} else if f.required {
			d.faults.add(fieldPath(path, f.name), "missing", "a value, since the field is required")
		}
	}
	for i, key := range n.keys {
		if _, unknown := remaining[key]; unknown {
			d.faults.add(fieldPath(path, key), n.items[i].describe(), "no such field; known are "+fieldNames(fields))
		}
	}
}

func fieldNames(fields []field) string {
	names := make([]string, len(fields))
	for i, f := range fields {
		names[i] = f.name
	}
	return strings.Join(names, ", ")
}

// array calls element for each element of an array. An array with fewer than minLength
// or more than maxLength elements is a fault.
func (d *decoder) array(minLength, maxLength int, element func(index int, path string, n *node)) valueReader {
	return func(path string, n *node) {
		if n.kind != kindArray || len(n.items) < minLength || len(n.items) > maxLength {
			d.addInvalid(path, n, fmt.Sprintf("an array of %d to %d elements", minLength, maxLength))
			return
		}
		for i, item := range n.items {
			element(i, elementPath(path, i), item)
		}
	}
}

func (d *decoder) text(target *string, f stringFormat) valueReader {
	return func(path string, n *node) {
		if n.kind != kindString || !f.pattern.MatchString(n.text) {
			d.addInvalid(path, n, "a string of "+f.allowed)
			return
		}
		*target = n.text
	}
}

// enum decodes a string that must be one of the given values.
func enum[T ~string](d *decoder, target *T, values ...T) valueReader {
	return func(path string, n *node) {
		names := make([]string, len(values))
		for i, value := range values {
			names[i] = quote(string(value))
			if n.kind == kindString && n.text == string(value) {
				*target = value
				return
			}
		}
		d.addInvalid(path, n, strings.Join(names, " or "))
	}
}

func (d *decoder) address(target *string) valueReader {
	return func(path string, n *node) {
		// Checks that involve several fields must not see the default if the value
		// is invalid.
		*target = ""
		address, err := netip.ParseAddrPort(n.text)
		if n.kind != kindString || err != nil || address.Port() == 0 || address.Addr().Zone() != "" {
			d.addInvalid(path, n, addressFormat)
			return
		}
		*target = n.text
	}
}

func (d *decoder) boolean(target *bool) valueReader {
	return func(path string, n *node) {
		if n.kind != kindBoolean {
			d.addInvalid(path, n, "true or false")
			return
		}
		*target = n.boolean
	}
}

// integer decodes a whole number from minimum to maximum, inclusive.
func integer[T ~int | ~int64 | ~uint64](d *decoder, target *T, minimum, maximum int64) valueReader {
	return func(path string, n *node) {
		value, err := strconv.ParseInt(n.text, 10, 64)
		if n.kind != kindNumber || err != nil || value < minimum || value > maximum {
			d.addInvalid(path, n, fmt.Sprintf("a whole number from %d to %d", minimum, maximum))
			return
		}
		*target = T(value)
	}
}

// number decodes a number from minimum to maximum, inclusive.
func (d *decoder) number(target *float64, minimum, maximum float64) valueReader {
	return func(path string, n *node) {
		value, err := strconv.ParseFloat(n.text, 64)
		if n.kind != kindNumber || err != nil || value < minimum || value > maximum {
			d.addInvalid(path, n, fmt.Sprintf("a number from %v to %v", minimum, maximum))
			return
		}
		*target = value
	}
}

// duration decodes a duration from minimum to maximum, inclusive.
func (d *decoder) duration(target *Duration, minimum, maximum Duration) valueReader {
	return func(path string, n *node) {
		value, ok := parseDuration(n.text)
		if n.kind != kindString || !ok {
			d.addInvalid(path, n, durationFormat+fmt.Sprintf(", from %v to %v", minimum, maximum))
			return
		}
		if value < minimum || value > maximum {
			d.addInvalid(path, n, fmt.Sprintf("a duration from %v to %v", minimum, maximum))
			return
		}
		*target = value
	}
}
