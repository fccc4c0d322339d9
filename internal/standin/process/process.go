// Package process starts child processes on loopback and talks to the admin
// endpoints of stand-ins. It is meant for tests and the demo only.
package process

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/samber/oops"
)

// stopTimeout is the time after which a process that ignores SIGTERM is killed.
const stopTimeout = 10 * time.Second

// Process is a child process.
type Process struct {
	command *exec.Cmd
	output  *bufio.Reader
	done    chan struct{}
}

// Start runs a program. Its standard error goes to the given writer.
func Start(program string, errors io.Writer, arguments ...string) (*Process, error) {
	command := exec.Command(program, arguments...)
	command.Stderr = errors
	out, err := command.StdoutPipe()
	if err == nil {
		err = command.Start()
	}
	if err != nil {
		return nil, oops.In("process").With("step", "start process", "program", filepath.Base(program)).Wrap(err)
	}
	return &Process{command: command, output: bufio.NewReader(out), done: make(chan struct{})}, nil
}

// LinkSelf makes a directory in which the running program has other names. A
// test binary stands for the programs of that name by a look at its own.
func LinkSelf(names ...string) (string, error) {
	fail := oops.In("process").With("step", "link program")
	self, err := os.Executable()
	if err != nil {
		return "", fail.Wrap(err)
	}
	dir, err := os.MkdirTemp("", "skylarkhinge-test-")
	if err != nil {
		return "", fail.Wrap(err)
	}
	for _, name := range names {
		if err := os.Symlink(self, filepath.Join(dir, name)); err != nil {
			return "", fail.Wrap(err)
		}
	}
	return dir, nil
}

// AwaitReady returns the fields of the line that a stand-in prints when it serves.
func (c *Process) AwaitReady(ctx context.Context) (map[string]string, error) {
	stop := context.AfterFunc(ctx, c.Kill)
	defer stop()
	line, err := c.output.ReadString('\n')
	c.DiscardOutput()
	if err != nil {
		return nil, oops.In("process").With("step", "read ready line", "process", c.Arguments()).Wrap(err)
	}
	fields := map[string]string{}
	for _, field := range strings.Fields(line) {
		name, value, _ := strings.Cut(field, "=")
		fields[name] = value
	}
	return fields, nil
}

// Arguments returns the arguments of the process.
func (c *Process) Arguments() string { return strings.Join(c.command.Args[1:], " ") }

// DiscardOutput reads the rest of the output, so that the process never blocks
// on it, and waits for the end.
func (c *Process) DiscardOutput() {
	go func() {
		defer close(c.done)
		_, _ = io.Copy(io.Discard, c.output)
		_ = c.command.Wait()
	}()
}

// Kill sends SIGKILL.
func (c *Process) Kill() { _ = c.command.Process.Kill() }

// Stop ends the process.
func (c *Process) Stop() {
	_ = c.command.Process.Signal(syscall.SIGTERM)
	timer := time.AfterFunc(stopTimeout, c.Kill)
	defer timer.Stop()
	<-c.done
}

// Signal sends a signal.
func (c *Process) Signal(signal os.Signal) error { return c.command.Process.Signal(signal) }

// Wait waits for the end and returns the exit code, -1 after a signal.
func (c *Process) Wait() int {
	<-c.done
	return c.command.ProcessState.ExitCode()
}

// CPUTime returns the processor time that an ended process has used.
func (c *Process) CPUTime() time.Duration {
	<-c.done
	return c.command.ProcessState.UserTime() + c.command.ProcessState.SystemTime()
}

// Post sends a request to an admin endpoint.
func Post(ctx context.Context, address, path, kind, body string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return oops.In("process").With("step", "build request", "path", path).Wrap(err)
	}
	request.Header.Set("Content-Type", kind)
	return send(request, func(io.Reader) error { return nil })
}

// Get reads the JSON document at a path of an admin endpoint into out.
func Get(ctx context.Context, address, path string, out any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, http.NoBody)
	if err != nil {
		return oops.In("process").With("step", "build request", "path", path).Wrap(err)
	}
	return send(request, func(body io.Reader) error { return json.NewDecoder(body).Decode(out) })
}

// send passes the body of a successful answer to read.
func send(request *http.Request, read func(io.Reader) error) error {
	fail := oops.In("process").With("step", "send request", "path", request.URL.Path, "peer", request.URL.Host)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fail.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, 1024))
		return fail.Errorf("%s: %s", response.Status, text)
	}
	return fail.Wrap(read(response.Body))
}

// FreeAddresses returns addresses on a random loopback host that were free a
// moment ago. On 127.0.0.1, an outgoing connection or a listener with port 0
// could take such a port before its process listens.
func FreeAddresses(n int) ([]string, error) {
	host := fmt.Sprintf("127.%d.%d.%d:0", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
	var out []string
	for range n {
		l, err := net.Listen("tcp", host)
		if err != nil {
			return nil, oops.In("process").With("step", "find a free port").Wrap(err)
		}
		defer func() { _ = l.Close() }()
		out = append(out, l.Addr().String())
	}
	return out, nil
}
