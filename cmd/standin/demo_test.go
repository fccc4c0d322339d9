package main

import (
	"errors"
	"net"
	"regexp"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

var servingAddress = regexp.MustCompile(`serves callers at (\S+)`)

// Guards against a demo whose processes do not reach each other, or are left running.
func TestDemo(t *testing.T) {
	out, err := command("demo", "--bin", programs, "--duration", "300ms", "--no-kill-primary").Output()
	assert.NilError(t, err)
	for _, text := range []string{"proxy p1 serves", "proxy p2 serves", "first", "second", "last"} {
		assert.Assert(t, strings.Contains(string(out), text), string(out))
	}
	addresses := servingAddress.FindAllStringSubmatch(string(out), -1)
	assert.Equal(t, len(addresses), 2)
	for _, match := range addresses {
		_, err := net.Dial("tcp", match[1])
		assert.Assert(t, errors.Is(err, syscall.ECONNREFUSED), "%v", err)
	}
}
