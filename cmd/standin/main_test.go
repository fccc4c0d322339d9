package main

import (
	"bufio"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"skylarkhinge.dev/skylarkhinge/internal/cli"
	"skylarkhinge.dev/skylarkhinge/internal/standin/process"
)

// programs is a directory with links to the test binary under the names of the programs.
// The test binary runs the program of the name under which it is started.
var programs string

func TestMain(m *testing.M) {
	switch filepath.Base(os.Args[0]) {
	case "standin":
		main()
		os.Exit(0)
	case "skylarkhinge":
		env := &cli.Environment{Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr, Connect: cli.ConnectGRPC}
		os.Exit(cli.Main(context.Background(), env, os.Args[1:]))
	}
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	var err error
	programs, err = process.LinkSelf("standin", "skylarkhinge")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(programs) }()
	return m.Run()
}

// command returns the command that runs a subcommand of standin.
func command(arguments ...string) *exec.Cmd {
	c := exec.Command(filepath.Join(programs, "standin"), arguments...)
	c.Stderr = os.Stderr
	return c
}

// start runs a subcommand until it prints its ready line, and returns the fields of that
// line. The subcommand must end without error on SIGTERM at the end of the test.
func start(t *testing.T, arguments ...string) map[string]string {
	t.Helper()
	c := command(arguments...)
	out, err := c.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, c.Start())
	t.Cleanup(func() {
		assert.NilError(t, c.Process.Signal(syscall.SIGTERM))
		assert.NilError(t, c.Wait())
	})
	line, err := bufio.NewReader(out).ReadString('\n')
	assert.NilError(t, err)
	fields := map[string]string{}
	for _, field := range strings.Fields(line) {
		name, value, _ := strings.Cut(field, "=")
		fields[name] = value
	}
	_, ready := fields["ready"]
	assert.Assert(t, ready, line)
	return fields
}

var loopback = regexp.MustCompile(`^127\.0\.0\.1:[1-9][0-9]*$`)

// Guards against a subcommand that prints no usable address, does not end on SIGTERM or
// does not work together with the others.
func TestCommands(t *testing.T) {
	upstream := start(t, "upstream", "--name", "u1", "--primary")
	platform := start(t, "platform")
	relay := start(t, "relay", "--target", upstream["postgres"])
	for _, address := range []string{upstream["postgres"], upstream["control"], upstream["admin"], platform["platform"], platform["admin"], relay["relay"], relay["admin"]} {
		assert.Assert(t, loopback.MatchString(address), "address %q", address)
	}
	report, err := command("load", "--target", relay["relay"], "--duration", "100ms", "--rank", "name=first,rate=100,read-share=0.5,deadline=5s").Output()
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(report), "first"), string(report))
}

// Guards against listening on addresses other than loopback, and against accepting invalid
// flags.
func TestRefusedArguments(t *testing.T) {
	for _, arguments := range [][]string{
		{"upstream", "--listen", "0.0.0.0:0"},
		{"platform", "--admin", "0.0.0.0:0"},
		{"relay"},
		{"load", "--target", "127.0.0.1:1", "--rank", "rate=none"},
	} {
		c := command(arguments...)
		c.Stderr = nil
		err := c.Run()
		assert.ErrorContains(t, err, "exit status 1", "%v", arguments)
	}
}
