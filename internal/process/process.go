// Package process implements the command line and the signals of a daemon. The
// verbs are run, check and version.
//
// Exit codes: 0 after a planned stop, 1 if the daemon failed, 2 for an invalid
// command line or invalid settings.
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

// exitBadSettings is the exit code for invalid settings. It equals that for an
// invalid command line, because whoever starts the process has to correct both.
const exitBadSettings = subcommands.ExitUsageError

// Daemon is an entry or an agent. Run serves until Stop has finished, ctx ends or
// the daemon fails. Stop makes a planned stop. ControlBytes returns the bytes of
// control traffic sent and received so far.
type Daemon interface {
	Run(ctx context.Context) error
	Stop(ctx context.Context) error
	ControlBytes() uint64
}

// Environment holds the dependencies that a process passes to its daemon.
type Environment struct {
	Logger         zerolog.Logger
	Metrics        tally.Scope
	MetricsHandler http.Handler
	Store          store.Store
}

// LoadedSettings are valid settings, and the functions that start the program
// with them.
type LoadedSettings struct {
	Log          settings.Log
	Store        settings.Store
	StoreTimeout time.Duration
	WatchTimeout time.Duration // of the store's watches; 0 means the default of httpstore
	// OpenStore returns the store and a function that closes its connections.
	// If it is nil, the store at Store.URL is used.
	OpenStore func(zerolog.Logger) (s store.Store, close func())
	// New returns the daemon and a function that returns its state for a dump.
	New func(Environment) (d Daemon, state func() any, err error)
}

// Program describes one daemon.
type Program struct {
	Name string // used in metrics and in the path of the default settings file
	Load func(file string) (LoadedSettings, error)
	// SettingsFile is the default of the flag -settings. Empty means
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

// load loads the settings file. It refuses arguments beside the flags: whoever names
// the file without -settings would otherwise start with the default file.
func (p Program) load(f *flag.FlagSet, file string) (LoadedSettings, error) {
	if f.NArg() > 0 {
		return LoadedSettings{}, fmt.Errorf("unexpected argument %q; give the settings file with -settings", f.Arg(0))
	}
	return p.Load(file)
}

// checkCommand checks a settings file without starting the daemon.
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

func (c *checkCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if _, err := c.program.load(f, c.file); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitBadSettings
	}
	fmt.Println("settings are valid")
	return subcommands.ExitSuccess
}

// versionCommand prints the version and revision of the binary and the version of
// the protocol.
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
