package config

import (
	"fmt"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
)

// valueReader reads one value of the tree into a variable and reports its faults.
type valueReader func(path string, n *node)

// field is one field of an object.
type field struct {
	name     string
	required bool
	read     valueReader
}

// stringFormat is a pattern of strings with its description.
type stringFormat struct {
	pattern *regexp.Regexp
	allowed string
}

var (
	nameFormat = stringFormat{regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`),
		"1 to 63 lower-case letters, digits, '.', '_' or '-', the first a letter or digit"}
	userFormat = stringFormat{regexp.MustCompile(`^[A-Za-z0-9_][A-Za-z0-9_.@-]{0,62}$`),
		"1 to 63 letters, digits, '_', '.', '@' or '-', the first a letter, digit or '_'"}
)

const addressFormat = `an IP address with a port from 1 to 65535 such as "127.0.0.1:5432" or "[::1]:5432"`

// decoder collects the faults of one input.
type decoder struct {
	faults Error
}

func (d *decoder) addInvalid(path string, n *node, allowed string) {
	d.faults.add(path, n.describe(), allowed)
}

// object reads the fields of an object; others are faults.
func (d *decoder) object(path string, n *node, fields ...field) {
	if n.kind != kindObject {
		d.addInvalid(path, n, "an object")
		return
	}
	known := make(map[string]*node, len(n.keys))
	for i, key := range n.keys {
		known[key] = n.items[i]
	}
	for _, f := range fields {
		value, present := known[f.name]
		delete(known, f.name)
		if present {
			f.read(fieldPath(path, f.name), value)
		} else if f.required {
			d.faults.add(fieldPath(path, f.name), "missing", "a value, since the field is required")
		}
	}
	for i, key := range n.keys {
		if _, unknown := known[key]; unknown {
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

// array calls element for each of the low to high elements of an array.
func (d *decoder) array(low, high int, element func(index int, path string, n *node)) valueReader {
	return func(path string, n *node) {
		if n.kind != kindArray || len(n.items) < low || len(n.items) > high {
			d.addInvalid(path, n, fmt.Sprintf("an array of %d to %d elements", low, high))
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

// enum reads one of the given strings.
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
		*target = "" // no check across fields uses a default in place of a faulty value
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

func integer[T ~int | ~int64 | ~uint64](d *decoder, target *T, low, high int64) valueReader {
	return func(path string, n *node) {
		value, err := strconv.ParseInt(n.text, 10, 64)
		if n.kind != kindNumber || err != nil || value < low || value > high {
			d.addInvalid(path, n, fmt.Sprintf("a whole number from %d to %d", low, high))
			return
		}
		*target = T(value)
	}
}

func (d *decoder) number(target *float64, low, high float64) valueReader {
	return func(path string, n *node) {
		value, err := strconv.ParseFloat(n.text, 64)
		if n.kind != kindNumber || err != nil || value < low || value > high {
			d.addInvalid(path, n, fmt.Sprintf("a number from %v to %v", low, high))
			return
		}
		*target = value
	}
}

func (d *decoder) duration(target *Duration, low, high Duration) valueReader {
	return func(path string, n *node) {
		value, ok := parseDuration(n.text)
		if n.kind != kindString || !ok {
			d.addInvalid(path, n, durationFormat+fmt.Sprintf(", from %v to %v", low, high))
			return
		}
		if value < low || value > high {
			d.addInvalid(path, n, fmt.Sprintf("a duration from %v to %v", low, high))
			return
		}
		*target = value
	}
}
