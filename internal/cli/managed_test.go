package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"skylarkhinge.dev/skylarkhinge/config"
	"skylarkhinge.dev/skylarkhinge/internal/managed"
)

// Guards against a reload that applies part of a file with faults, and against one that
// does not apply the log level.
func TestReload(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.json")
	write := func(text string) { assert.NilError(t, os.WriteFile(file, []byte(text), 0o600)) }
	write(managedSettings)
	env := &Environment{Stdin: strings.NewReader("")}
	settings, err := readManagedSettings(env, file)
	assert.NilError(t, err)
	var out bytes.Buffer
	log, err := newLogger(&out, settings.LogLevel)
	assert.NilError(t, err)
	p := managed.New(managed.Options{Settings: settings, Log: log})

	write(strings.Replace(managedSettings, `"vm":"vm-1"`, `"vm":7,"log_level":"debug"`, 1))
	assert.ErrorContains(t, reload(env, file, log, p), "$.vm")
	assert.Equal(t, log.GetLevel(), logrus.InfoLevel)
	assert.Equal(t, out.String(), "")

	write(strings.Replace(managedSettings, `"vm":"vm-1"`, `"vm":"vm-1","log_level":"debug"`, 1))
	assert.NilError(t, reload(env, file, log, p))
	assert.Equal(t, log.GetLevel(), logrus.DebugLevel)
	assert.Assert(t, strings.Contains(out.String(), "event=reload "), out.String())
	assert.Equal(t, settings.LogLevel, config.LogInfo)
}
