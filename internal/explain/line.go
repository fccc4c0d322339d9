// Package explain derives the cause of a failed or slow request from the log lines of the
// proxies for managed databases.
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
	// Text is the whole line, without any text before its first key.
	Text string
}

// Event returns the name of the logged event.
func (l *Line) Event() string { return l.Fields["event"] }

// VM returns the name of the VM whose proxy wrote the line.
func (l *Line) VM() string { return l.Fields["vm"] }

// Milliseconds returns a field that holds a number of milliseconds. It returns 0 if the
// field is missing or invalid, because not every request went through every stage.
func (l *Line) Milliseconds(key string) time.Duration {
	n, err := strconv.ParseInt(l.Fields[key], 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(n) * time.Millisecond
}

var errMalformedLine = errors.New("not a key=value line with a time and an event")

// ParseLine parses one line. Text before the key time, such as the prefix of a log
// collector, is skipped.
func ParseLine(text string) (Line, error) {
	start := strings.Index(text, "time=")
	if start < 0 {
		return Line{}, errMalformedLine
	}
	l := Line{Text: strings.TrimSpace(text[start:]), Fields: map[string]string{}}
	rest := l.Text
	for rest != "" {
		key, value, after, ok := nextField(rest)
		if !ok {
			return Line{}, errMalformedLine
		}
		l.Fields[key] = value
		rest = after
	}
	var err error
	if l.Time, err = time.Parse(time.RFC3339Nano, l.Fields["time"]); err != nil || l.Event() == "" {
		return Line{}, errMalformedLine
	}
	return l, nil
}

// nextField splits off the first key=value pair. The value may be a quoted string.
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
