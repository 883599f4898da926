// Package process is the command line of a daemon: the verbs run, check and
// version, its exit codes, and what its signals do.
//
// Exit codes: 0 after a planned stop, 1 when the process failed, 2 for a bad
// command line or bad settings.
package process

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"github.com/google/subcommands"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"chicorytray.example/chicorytray/settings"
	"chicorytray.example/chicorytray/store"
	"chicorytray.example/chicorytray/wire"
)

// exitBadSettings is the exit code for bad settings; it equals that for a bad
// command line, because both are mistakes of whoever starts the process.
const exitBadSettings = subcommands.ExitUsageError

// Daemon is what the verb run serves.
type Daemon interface {
	Run(ctx context.Context) error
	Stop(ctx context.Context) error
	ControlBytes() uint64
}

// Environment is what a process gives to its daemon.
type Environment struct {
	Logger         zerolog.Logger
	Metrics        tally.Scope
	MetricsHandler http.Handler
	Store          store.Store
}

// LoadedSettings are valid settings.
type LoadedSettings struct {
	Log          settings.Log
	Store        settings.Store
	StoreTimeout time.Duration
	WatchTimeout time.Duration // of the store's watches; 0 is the adapter's default
	// OpenStore returns another store than the one at Store.URL, and what
	// ends its connections; nil opens Store.URL.
	OpenStore func(zerolog.Logger) (s store.Store, close func())
	// New returns the daemon and a function that dumps its state.
	New func(Environment) (d Daemon, state func() any, err error)
}

// Program describes one daemon.
type Program struct {
	Name string // for metrics and the default settings file
	Load func(file string) (LoadedSettings, error)
	// SettingsFile is read when the command line names no file; empty means
	// /etc/chicorytray/NAME.json.
	SettingsFile string
}

// Main runs the program's command line and does not return.
func Main(p Program) {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(&runCommand{program: p}, "")
	subcommands.Register(&checkCommand{program: p}, "")
	subcommands.Register(versionCommand{}, "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}

func (p Program) settingsFlag(f *flag.FlagSet, file *string) {
	defaultFile := p.SettingsFile
	if defaultFile == "" {
		defaultFile = "/etc/chicorytray/" + p.Name + ".json"
	}
	f.StringVar(file, "settings", defaultFile, "settings `FILE` (JSON)")
}

// checkCommand checks settings without starting anything.
type checkCommand struct {
	program Program
	file    string
}

func (*checkCommand) Name() string     { return "check" }
func (*checkCommand) Synopsis() string { return "check a settings file" }
func (*checkCommand) Usage() string {
	return "check -settings FILE: report every problem of the file; exit code 2 if there is one\n"
}

func (c *checkCommand) SetFlags(f *flag.FlagSet) { c.program.settingsFlag(f, &c.file) }

func (c *checkCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if _, err := c.program.Load(c.file); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitBadSettings
	}
	fmt.Println("settings are valid")
	return subcommands.ExitSuccess
}

// versionCommand prints what the binary was built from.
type versionCommand struct{}

func (versionCommand) Name() string           { return "version" }
func (versionCommand) Synopsis() string       { return "print the version" }
func (versionCommand) Usage() string          { return "version: print the version\n" }
func (versionCommand) SetFlags(*flag.FlagSet) {}

func (versionCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	version, revision := "unknown", "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				revision = s.Value
			}
		}
	}
	fmt.Printf("version=%s revision=%s protocol=%d\n", version, revision, wire.ProtocolVersion)
	return subcommands.ExitSuccess
}
