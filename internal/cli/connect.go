package cli

import (
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"skylarkhinge.dev/skylarkhinge/config"
	"skylarkhinge.dev/skylarkhinge/metastore"
)

// ConnectFunc connects to the platform's store. The caller must call closeStore.
type ConnectFunc func(options metastore.Options) (store metastore.Store, closeStore func(), err error)

// ConnectGRPC connects to the platform's gRPC service.
func ConnectGRPC(options metastore.Options) (metastore.Store, func(), error) {
	client, err := metastore.NewClient(options)
	if err != nil {
		return nil, nil, err
	}
	return client, client.Close, nil
}

// platformFlags are the flags of commands that access the platform.
type platformFlags struct {
	addresses []string
	settings  string
	timeout   time.Duration
}

func addPlatformFlags(command *kingpin.CmdClause) *platformFlags {
	flags := &platformFlags{}
	command.Flag("platform", "Address of the platform's service, an IP address with a port. May be repeated.").
		Envar("SKYLARKHINGE_PLATFORM").PlaceHolder("ADDRESS").StringsVar(&flags.addresses)
	command.Flag("settings", "Settings file with the platform's addresses, used without --platform.").
		PlaceHolder("FILE").StringVar(&flags.settings)
	command.Flag("timeout", "Limit of the whole command.").Default("30s").DurationVar(&flags.timeout)
	return flags
}

// options returns the connection options from the flags or the settings file.
func (f *platformFlags) options(env *Environment) (metastore.Options, error) {
	for _, address := range f.addresses {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return metastore.Options{}, &ExitError{Code: ExitUsage, Err: fmt.Errorf("--platform is %q, allowed: an IP address with a port", address)}
		}
	}
	if len(f.addresses) > 0 {
		return metastore.DefaultOptions(f.addresses), nil
	}
	if f.settings == "" {
		return metastore.Options{}, &ExitError{Code: ExitUsage, Err: errors.New("either --platform or --settings is required")}
	}
	settings, err := readSettings(env, f.settings)
	if err != nil {
		return metastore.Options{}, err
	}
	return platformOptions(settings), nil
}

// commandLine returns the flags that select the platform, for a command that the operator
// is told to run.
func (f *platformFlags) commandLine() string {
	if len(f.addresses) == 0 {
		return " --settings=" + f.settings
	}
	return " --platform=" + strings.Join(f.addresses, " --platform=")
}

// platformOptions returns the platform connection options from the settings.
func platformOptions(settings *config.Settings) metastore.Options {
	options := metastore.DefaultOptions(settings.PlatformAddresses)
	options.CallTimeout = settings.PlatformTimeout.Std()
	return options
}

// readInput reads a file, or standard input for "-". It reads one byte more than limit, so
// that decoders can report an input that exceeds it. kingpin passes the argument "-" as an
// empty string.
func readInput(env *Environment, name string, limit int64) ([]byte, error) {
	if name == "" {
		return io.ReadAll(io.LimitReader(env.Stdin, limit+1))
	}
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	return io.ReadAll(io.LimitReader(file, limit+1))
}

// inputName returns the name of an input for use in messages.
func inputName(name string) string {
	if name == "" {
		return "standard input"
	}
	return name
}
