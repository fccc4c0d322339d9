// Package process starts child processes and calls the admin endpoints of
// stand-ins on loopback. It is meant for tests and the demo only.
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

// stopTimeout is the time after which Stop kills a process that ignores
// SIGTERM.
const stopTimeout = 10 * time.Second

// Process is a child process. Call one of AwaitReady, DiscardOutput and CopyOutput, once: they
// reap the process in the background. Stop, Wait and CPUTime block until it is
// reaped.
type Process struct {
	command *exec.Cmd
	output  *bufio.Reader
	done    chan struct{}
}

// Start starts a program. Its standard error goes to stderr.
func Start(program string, stderr io.Writer, arguments ...string) (*Process, error) {
	command := exec.Command(program, arguments...)
	command.Stderr = stderr
	out, err := command.StdoutPipe()
	if err == nil {
		err = command.Start()
	}
	if err != nil {
		return nil, oops.In("process").With("step", "start process", "program", filepath.Base(program)).Wrap(err)
	}
	return &Process{command: command, output: bufio.NewReader(out), done: make(chan struct{})}, nil
}

// LinkSelf creates a temporary directory with symlinks of the given names to
// the running executable. A test binary that is started through such a link can
// act as that program by checking its own name. The caller removes the
// directory.
func LinkSelf(names ...string) (string, error) {
	errBuilder := oops.In("process").With("step", "link program")
	self, err := os.Executable()
	if err != nil {
		return "", errBuilder.Wrap(err)
	}
	dir, err := os.MkdirTemp("", "skylarkhinge-test-")
	if err != nil {
		return "", errBuilder.Wrap(err)
	}
	for _, name := range names {
		if err := os.Symlink(self, filepath.Join(dir, name)); err != nil {
			return "", errBuilder.Wrap(err)
		}
	}
	return dir, nil
}

// AwaitReady reads the line that a stand-in prints once it serves and returns
// its name=value fields. If the context ends first, the process is killed.
func (p *Process) AwaitReady(ctx context.Context) (map[string]string, error) {
	stop := context.AfterFunc(ctx, p.Kill)
	defer stop()
	line, err := p.output.ReadString('\n')
	p.DiscardOutput()
	if err != nil {
		return nil, oops.In("process").With("step", "read ready line", "process", p.Arguments()).Wrap(err)
	}
	fields := map[string]string{}
	for _, field := range strings.Fields(line) {
		name, value, _ := strings.Cut(field, "=")
		fields[name] = value
	}
	return fields, nil
}

// Arguments returns the command line arguments, separated by spaces.
func (p *Process) Arguments() string { return strings.Join(p.command.Args[1:], " ") }

// DiscardOutput drains the standard output in the background, so that the
// process never blocks on it, and reaps the process when it exits.
func (p *Process) DiscardOutput() { p.CopyOutput(io.Discard) }

// CopyOutput is like DiscardOutput and copies the standard output to w, which must not
// block.
func (p *Process) CopyOutput(w io.Writer) {
	go func() {
		defer close(p.done)
		_, _ = io.Copy(w, p.output)
		_ = p.command.Wait()
	}()
}

// Kill sends SIGKILL.
func (p *Process) Kill() { _ = p.command.Process.Kill() }

// Stop sends SIGTERM, kills the process after stopTimeout and waits for its
// exit.
func (p *Process) Stop() {
	_ = p.command.Process.Signal(syscall.SIGTERM)
	timer := time.AfterFunc(stopTimeout, p.Kill)
	defer timer.Stop()
	<-p.done
}

// Signal sends a signal to the process without waiting.
func (p *Process) Signal(signal os.Signal) error { return p.command.Process.Signal(signal) }

// Wait waits for the process to exit and returns its exit code, -1 if a signal
// ended it.
func (p *Process) Wait() int {
	<-p.done
	return p.command.ProcessState.ExitCode()
}

// CPUTime waits for the process to exit and returns the user and system time
// that it used.
func (p *Process) CPUTime() time.Duration {
	<-p.done
	return p.command.ProcessState.UserTime() + p.command.ProcessState.SystemTime()
}

// Post sends a POST request to an admin endpoint. It fails unless the status is
// 200 OK.
func Post(ctx context.Context, address, path, contentType, body string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return oops.In("process").With("step", "build request", "path", path).Wrap(err)
	}
	request.Header.Set("Content-Type", contentType)
	return send(request, func(io.Reader) error { return nil })
}

// Get decodes the JSON document at a path of an admin endpoint into out.
func Get(ctx context.Context, address, path string, out any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, http.NoBody)
	if err != nil {
		return oops.In("process").With("step", "build request", "path", path).Wrap(err)
	}
	return send(request, func(body io.Reader) error { return json.NewDecoder(body).Decode(out) })
}

// send sends the request and passes the body of a 200 OK response to read.
func send(request *http.Request, read func(io.Reader) error) error {
	errBuilder := oops.In("process").With("step", "send request", "path", request.URL.Path, "peer", request.URL.Host)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errBuilder.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, 1024))
		return errBuilder.Errorf("%s: %s", response.Status, text)
	}
	return errBuilder.Wrap(read(response.Body))
}

// FreeAddresses returns n addresses on a random loopback host whose ports were
// free when it checked. On 127.0.0.1, an outgoing connection or a listener with
// port 0 could take such a port before the process that is meant to use it
// listens.
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
