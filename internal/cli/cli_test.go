package cli

import (
	"bytes"
	"context"
	"errors"
	"net"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/samber/oops"
	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	platformpb "skylarkhinge.dev/skylarkhinge/api/platform/v1"
	"skylarkhinge.dev/skylarkhinge/metastore"
)

// memoryStore is a store with one entry. If err is set, writes fail with it, and reads do so
// too from then on. readErr is the error of reads.
type memoryStore struct {
	metastore.Store
	entry   metastore.Entry
	err     error
	readErr error
}

func (s *memoryStore) Get(_ context.Context, key string) (metastore.Entry, error) {
	if s.entry.Key != key {
		return metastore.Entry{Key: key}, s.readErr
	}
	return s.entry, s.readErr
}

func (s *memoryStore) CompareAndSwap(_ context.Context, key string, expected uint64, value []byte) (metastore.SwapResult, error) {
	if s.err != nil {
		s.readErr = s.err
		return metastore.SwapResult{}, s.err
	}
	swapped := s.entry.Revision == expected
	if swapped {
		s.entry = metastore.Entry{Key: key, Value: value, Revision: expected + 1}
	}
	return metastore.SwapResult{Swapped: swapped, Entry: s.entry}, nil
}

// runner runs commands against a memoryStore.
type runner struct {
	store          *memoryStore
	stdin          string
	stdout, stderr bytes.Buffer
	options        metastore.Options
}

// run runs a command line and returns its exit code.
func (r *runner) run(t *testing.T, line string) int {
	t.Helper()
	r.stdout.Reset()
	r.stderr.Reset()
	env := &Environment{Stdin: strings.NewReader(r.stdin), Stdout: &r.stdout, Stderr: &r.stderr}
	env.Connect = func(options metastore.Options) (metastore.Store, func(), error) {
		r.options = options
		return r.store, func() {}, nil
	}
	return Main(t.Context(), env, strings.Fields(line))
}

// putFlags are flags of document put that the tests share.
const putFlags = " --author=ana --platform=127.0.0.1:1 "

// shopDocument returns an example document with replacements.
func shopDocument(t *testing.T, replacements ...string) string {
	t.Helper()
	data, err := os.ReadFile("../../docs/examples/castellano-shop.json")
	assert.NilError(t, err)
	return strings.NewReplacer(replacements...).Replace(string(data))
}

// Guards against wrong exit codes, which scripts depend on, and against unclear output about
// conflicts, outcomes and the history.
func TestDocumentLifeCycle(t *testing.T) {
	r := &runner{store: &memoryStore{}, stdin: shopDocument(t)}
	assert.Equal(t, r.run(t, "document get castellano-shop --platform=127.0.0.1:1"), ExitFailed)
	assert.Equal(t, r.stderr.String(), "skylarkhinge: service has no document (step=read service=castellano-shop)\n")

	assert.Equal(t, r.run(t, "document put - --from=0"+putFlags), ExitOK)
	first := regexp.MustCompile(`^service=castellano-shop status=in_force revision=1 edit=(\w+)\n$`).FindStringSubmatch(r.stdout.String())
	assert.Assert(t, first != nil, r.stdout.String())

	r.stdin = shopDocument(t, `"max_queued": 10000`, `"max_queued": 500`)
	assert.Equal(t, r.run(t, "document put - --from=1"+putFlags), ExitOK)
	r.stdin = shopDocument(t, `"max_queued": 10000`, `"max_queued": 700`)
	assert.Equal(t, r.run(t, "document put - --from=1"+putFlags), ExitNotApplied)
	assert.Equal(t, r.stderr.String(), `skylarkhinge: not applied: document was changed by a concurrent edit: based on revision 1, in force is revision 2 by "ana" (step=put service=castellano-shop)
  changed since revision 1: $.max_queued: 10000 -> 500
  yours differs from revision 2: $.max_queued: 500 -> 700
`)

	assert.Equal(t, r.run(t, "document outcome castellano-shop --from=0 --platform=127.0.0.1:1 --edit="+first[1]), ExitOK)
	assert.Equal(t, r.stdout.String(), "service=castellano-shop status=in_force revision=1 edit="+first[1]+" replaced_by=2\n")

	assert.Equal(t, r.run(t, "document history castellano-shop --platform=127.0.0.1:1"), ExitOK)
	lines := strings.Split(r.stdout.String(), "\n")
	assert.Assert(t, strings.HasPrefix(lines[0], "revision=2 time="), lines[0])
	assert.Equal(t, lines[1], "  $.max_queued: 10000 -> 500")
	assert.Assert(t, strings.Contains(lines[2], `revision=1 time=`) && strings.Contains(lines[2], `author="ana" edit=`), lines[2])

	assert.Equal(t, r.run(t, "document get castellano-shop --revision=1 --platform=127.0.0.1:1"), ExitOK)
	r.stdin = r.stdout.String()
	assert.Equal(t, r.run(t, "document put - --from=2"+putFlags), ExitOK)
	assert.Equal(t, r.run(t, "document get castellano-shop --revision=9 --platform=127.0.0.1:1"), ExitFailed)
}

// Guards against an unknown outcome that is reported without the command to resolve it, and
// against errors on several lines or without step and peer.
func TestUnknownOutcome(t *testing.T) {
	r := &runner{store: &memoryStore{}, stdin: shopDocument(t)}
	r.store.err = oops.With("step", "compare_and_swap", "peer", "127.0.0.1:1").Wrap(
		errors.Join(metastore.ErrUnknownOutcome, errors.New("two\nlines")))
	assert.Equal(t, r.run(t, "document put - --from=0 --timeout=50ms"+putFlags), ExitUnknown)
	lines := strings.Split(r.stderr.String(), "\n")
	assert.Equal(t, len(lines), 3)
	assert.Assert(t, strings.Contains(lines[0], "two; lines"), lines[0])
	assert.Assert(t, strings.HasSuffix(lines[0], " service=castellano-shop peer=127.0.0.1:1)"), lines[0])
	ask := strings.TrimPrefix(lines[1], "  ask again: skylarkhinge ")
	assert.Assert(t, ask != lines[1], lines[1])

	r.store.err, r.store.readErr = nil, nil
	assert.Equal(t, r.run(t, ask), ExitUnknown)
	edit := regexp.MustCompile(`--edit=\w+`).FindString(ask)
	assert.Equal(t, r.run(t, "document put - --from=0 "+edit+putFlags), ExitOK)
	assert.Equal(t, r.run(t, ask), ExitOK)
	assert.Equal(t, r.run(t, "document outcome castellano-shop --edit=other --from=0 --platform=127.0.0.1:1"), ExitNotApplied)
}

// Guards against a connection that is not made, and against errors of the platform that are
// printed without the peer.
func TestErrorOfThePlatform(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := grpc.NewServer()
	platformpb.RegisterPlatformServer(server, platformpb.UnimplementedPlatformServer{})
	go func() { _ = server.Serve(listener) }()
	defer server.Stop()
	var stderr bytes.Buffer
	env := &Environment{Stderr: &stderr, Connect: ConnectGRPC}
	code := Main(t.Context(), env, []string{"document", "history", "shop", "--platform", listener.Addr().String()})
	assert.Equal(t, code, ExitFailed)
	assert.Equal(t, stderr.String(), "skylarkhinge: platform refused the call, it had no effect: rpc error: "+
		"code = Unimplemented desc = method Get not implemented (step=get peer="+listener.Addr().String()+")\n")
}

// Guards against commands that accept an invalid command line, hide faults or lack help.
func TestLocalCommands(t *testing.T) {
	cases := []struct {
		line           string
		code           int
		stdout, stderr string
	}{
		{"document validate ../../docs/examples/olarizu-workshop.json", ExitOK, "service=olarizu-workshop ranks=3 classes=6 databases=3 valid=true\n", ""},
		{"document validate -", ExitFailed, "", "skylarkhinge: standard input has 3 faults\n  $.service is missing"},
		{"document validate missing.json", ExitFailed, "", "no such file"},
		{"settings check ../../docs/examples/settings.json", ExitOK, `"drain_timeout": "30s"`, ""},
		{"settings check -", ExitFailed, "", "faults\n  $.vm is missing"},
		{"settings schema", ExitOK, "Settings of the skylarkhinge proxy daemon", ""},
		{"document schema", ExitOK, "Document of a service", ""},
		{"version", ExitOK, "skylarkhinge version=", ""},
		{"--version", ExitOK, "skylarkhinge version=", ""},
		{"--help", ExitOK, "4 outcome of a change unknown", ""},
		{"document put --help", ExitOK, "Revision that the edit is based on", ""},
		{"", ExitUsage, "", "try --help\n"},
		{"document", ExitUsage, "", "try --help\n"},
		{"documents", ExitUsage, "", "try --help\n"},
		{"document put - --author=a", ExitUsage, "", "'--from' not provided, try --help\n"},
		{"document get x", ExitUsage, "", "either --platform or --settings is required"},
		{"document get x --platform=localhost:1", ExitUsage, "", `--platform is "localhost:1"`},
	}
	for _, c := range cases {
		t.Run(c.line, func(t *testing.T) {
			t.Setenv("SKYLARKHINGE_PLATFORM", "")
			r := &runner{store: &memoryStore{}, stdin: `{"ranks": [{"name": "a", "worth": 1, "target_latency": "1s"}]}`}
			assert.Equal(t, r.run(t, c.line), c.code, r.stderr.String())
			assert.Assert(t, strings.Contains(r.stdout.String(), c.stdout), r.stdout.String())
			assert.Assert(t, strings.Contains(r.stderr.String(), c.stderr), r.stderr.String())
		})
	}
	r := &runner{store: &memoryStore{}}
	assert.Equal(t, r.run(t, "document get x --settings=../../docs/examples/settings.json"), ExitFailed)
	assert.DeepEqual(t, r.options.Addresses, []string{"127.0.0.1:7400", "127.0.0.1:7401"})
}

const managedSettings = `{"vm":"vm-1","availability_zone":"a","region":"r","availability_zones":{"a":"r"},
"caller_address":"127.0.0.1:1","ready_address":"127.0.0.1:2","store_address":"127.0.0.1:3","promotion_address":"127.0.0.1:4",
"shutdown_grace_s":6,"leaving_grace_ms":7000.5}`

// Guards against a daemon that starts with invalid settings.
func TestManagedSettings(t *testing.T) {
	r := &runner{stdin: managedSettings}
	assert.Equal(t, r.run(t, "managed check -"), ExitOK)
	assert.Assert(t, strings.Contains(r.stdout.String(), "ShutdownGrace:6s LeavingGrace:7.0005s"), r.stdout.String())

	r = &runner{stdin: strings.NewReplacer(`"shutdown_grace_s":6`, `"shutdown_grace_s":-1`, `127.0.0.1:2`, `127.0.0.1:1`, `"vm":"vm-1"`, `"wm":"x"`).Replace(managedSettings)}
	assert.Equal(t, r.run(t, "managed check -"), ExitFailed)
	for _, path := range []string{"$.vm is missing", "$.wm is", "$.shutdown_grace_s is -1", "$.ready_address is"} {
		assert.Assert(t, strings.Contains(r.stderr.String(), path), r.stderr.String())
	}
}

// Guards against an unknown id that is reported as success, and against malformed lines that
// end the command.
func TestExplain(t *testing.T) {
	line := `time="2026-12-04T05:00:03Z" level=info event=request_failed vm=a id=x1 group=g code=busy reason="not run" took_ms=5` + "\n"
	r := &runner{stdin: "damaged\n" + line}
	assert.Equal(t, r.run(t, "explain x1"), ExitOK)
	assert.Assert(t, strings.Contains(r.stdout.String(), "cause: not run: no slot of g was free in time"), r.stdout.String())
	assert.Equal(t, r.stderr.String(), "skylarkhinge: 1 lines could not be read and were skipped\n")

	r = &runner{stdin: line}
	assert.Equal(t, r.run(t, "explain x2"), ExitFailed)
	assert.Equal(t, r.stderr.String(), "skylarkhinge: no line has this request: \"x2\"\n")
}
