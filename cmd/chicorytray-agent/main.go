// Command chicorytray-agent runs beside an upstream: it accepts tasks from entries
// and starts each at most once.
//
// Exit codes: 0 after a planned stop, 1 when the process failed, 2 for a bad
// command line or bad settings.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/google/subcommands"

	"chicorytray.example/chicorytray/settings"
	"chicorytray.example/chicorytray/wire"
)

// exitSettings is the exit code for bad settings; it equals that for a bad
// command line, because both are mistakes of whoever starts the process.
const exitSettings = subcommands.ExitUsageError

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(&runCommand{}, "")
	subcommands.Register(&checkCommand{}, "")
	subcommands.Register(versionCommand{}, "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}

// checkCommand checks settings without starting anything.
type checkCommand struct{ file string }

func (*checkCommand) Name() string     { return "check" }
func (*checkCommand) Synopsis() string { return "check a settings file" }
func (*checkCommand) Usage() string {
	return "check -settings FILE: report every problem of the file; exit code 2 if there is one\n"
}

func (c *checkCommand) SetFlags(f *flag.FlagSet) { settingsFlag(f, &c.file) }

func (c *checkCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if _, err := settings.LoadAgent(c.file); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	fmt.Println("settings are valid")
	return subcommands.ExitSuccess
}

func settingsFlag(f *flag.FlagSet, file *string) {
	f.StringVar(file, "settings", "/etc/chicorytray/agent.json", "settings `FILE` (JSON)")
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
