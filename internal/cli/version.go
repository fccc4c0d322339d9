package cli

import (
	"context"
	"fmt"
	"runtime/debug"
)

func addVersion(r *Registry) {
	r.App.Version(version())
	command := r.App.Command("version", "Print the version.")
	r.Add(command, func(context.Context) error {
		_, err := fmt.Fprintln(r.Env.Stdout, version())
		return err
	})
}

// version returns the build information: the module version, the commit and the Go version.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "skylarkhinge version=unknown"
	}
	commit, modified := "unknown", "false"
	for _, setting := range info.Settings {
		switch setting.Key {
		case "vcs.revision":
			commit = setting.Value
		case "vcs.modified":
			modified = setting.Value
		}
	}
	return fmt.Sprintf("skylarkhinge version=%s commit=%s modified=%s go=%s", info.Main.Version, commit, modified, info.GoVersion)
}
