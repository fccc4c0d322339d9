// Package explain finds the cause of a failed request in the log lines of the
// daemon for managed databases.
package explain

import (
	"errors"
	"strconv"
	"strings"
	"time"
)

// Line is one key=value log line.
type Line struct {
	Time   time.Time
	Fields map[string]string
	Text   string
}

// Event returns the event of the line.
func (l *Line) Event() string { return l.Fields["event"] }

// VM returns the proxy that wrote the line.
func (l *Line) VM() string { return l.Fields["vm"] }

// Milliseconds returns a field that has a number of milliseconds, 0 if it is
// missing or no number: not every line has every stage.
func (l *Line) Milliseconds(key string) time.Duration {
	n, err := strconv.ParseInt(l.Fields[key], 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(n) * time.Millisecond
}

var errNoLine = errors.New("not a key=value line with a time and an event")

// ParseLine reads one line. Text before the first key, such as a collector's
// prefix, is skipped.
func ParseLine(text string) (Line, error) {
	start := strings.Index(text, "time=")
	if start < 0 {
		return Line{}, errNoLine
	}
	l := Line{Text: strings.TrimSpace(text[start:]), Fields: map[string]string{}}
	rest := l.Text
	for rest != "" {
		key, value, after, ok := nextField(rest)
		if !ok {
			return Line{}, errNoLine
		}
		l.Fields[key] = value
		rest = after
	}
	var err error
	if l.Time, err = time.Parse(time.RFC3339Nano, l.Fields["time"]); err != nil || l.Event() == "" {
		return Line{}, errNoLine
	}
	return l, nil
}

// nextField splits off key=value, where the value may be a quoted string.
func nextField(text string) (key, value, rest string, ok bool) {
	key, text, ok = strings.Cut(text, "=")
	if !ok || key == "" || strings.ContainsAny(key, " \"") {
		return "", "", "", false
	}
	if !strings.HasPrefix(text, `"`) {
		value, rest, _ = strings.Cut(text, " ")
		return key, value, strings.TrimLeft(rest, " "), true
	}
	quoted, err := strconv.QuotedPrefix(text)
	if err != nil {
		return "", "", "", false
	}
	if value, err = strconv.Unquote(quoted); err != nil {
		return "", "", "", false
	}
	return key, value, strings.TrimLeft(text[len(quoted):], " "), true
}
