package ctl

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"

	"chicorytray.example/chicorytray/config"
	"chicorytray.example/chicorytray/store"
	"chicorytray.example/chicorytray/store/httpstore"
)

const usageText = `chicorytrayctl changes and shows the configuration of chicorytray.

Usage: chicorytrayctl [flags] COMMAND [arguments]

Exit codes:
  0  done
  1  any other failure
  2  wrong arguments; nothing was done
  3  invalid document or change; nothing was changed
  4  conflict with another change; nothing was changed
  5  some known processes do not report the change
  6  the store did not carry out the command; nothing was changed
  7  it is unknown whether the change was accepted
  8  a process holds a higher generation than the store; nothing was changed
  9  a process is unknown or cannot be reached

Commands:
`

// Environment holds the output streams and connections of a run of the tool. A
// zero field means the default: the standard stream of the process, the store
// named by -store, or TCP.
type Environment struct {
	Stdout, Stderr io.Writer
	// Store replaces the store named by the flag -store.
	Store store.Store
	// Transport replaces TCP for admin addresses.
	Transport http.RoundTripper
}

// globalFlags are the values of the flags before the command.
type globalFlags struct {
	storeURL string
	entries  string
	json     bool
	timeout  time.Duration
	wait     time.Duration
	env      Environment
}

// Run executes one command and returns the exit code.
func Run(ctx context.Context, args []string, env Environment) int {
	if env.Stdout == nil {
		env.Stdout = os.Stdout
	}
	if env.Stderr == nil {
		env.Stderr = os.Stderr
	}
	g := &globalFlags{env: env}
	flags := flag.NewFlagSet("chicorytrayctl", flag.ContinueOnError)
	flags.SetOutput(env.Stderr)
	flags.StringVar(&g.storeURL, "store", "", "URL of the store with an IP address, for example http://127.0.0.1:7000")
	flags.StringVar(&g.entries, "entries", "", "admin addresses (IP:port) of entries, separated by commas; default: those registered in the store")
	flags.BoolVar(&g.json, "json", false, "print JSON")
	flags.DurationVar(&g.timeout, "timeout", DefaultCallTimeout, "maximum duration of one call")
	flags.DurationVar(&g.wait, "wait", DefaultWait, "maximum wait until all processes report a change")
	commander := subcommands.NewCommander(flags, "chicorytrayctl")
	commander.Output, commander.Error = env.Stdout, env.Stderr
	commander.Explain = func(w io.Writer) {
		_, _ = io.WriteString(w, usageText)
		commander.VisitCommands(func(_ *subcommands.CommandGroup, c subcommands.Command) {
			_, _ = fmt.Fprintf(w, "  %-10s %s\n", c.Name(), c.Synopsis())
		})
		_, _ = io.WriteString(w, "\nFlags:\n")
		flags.SetOutput(w)
		flags.PrintDefaults()
	}
	for _, c := range commands(g) {
		c.stderr = env.Stderr
		commander.Register(c, "")
	}
	flags.Usage = func() { commander.Explain(env.Stderr) }
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return ExitOK
		}
		return ExitUsage
	}
	return int(commander.Execute(ctx))
}

// newOperator returns an Operator configured by the flags.
func (g *globalFlags) newOperator() (*Operator, error) {
	o := Options{Store: g.env.Store, Transport: g.env.Transport, CallTimeout: g.timeout, Wait: g.wait}
	if g.entries != "" {
		o.Entries = strings.Split(g.entries, ",")
	}
	for _, admin := range o.Entries {
		if _, err := netip.ParseAddrPort(admin); err != nil {
			return nil, usageError(fmt.Sprintf("-entries: %q is not an IP address and port", admin))
		}
	}
	if o.Store == nil {
		if g.storeURL == "" {
			return nil, usageError("-store is missing; give the store's URL, for example http://127.0.0.1:7000")
		}
		client, err := httpstore.New(httpstore.Options{URL: g.storeURL, CallTimeout: g.timeout})
		if err != nil {
			return nil, usageError(err.Error())
		}
		o.Store = client
	}
	return New(o), nil
}

// usageError is an error in the command line.
type usageError string

func (e usageError) Error() string { return string(e) }

func (g *globalFlags) printer() printer { return printer{g.env.Stdout, g.json} }

// reportError prints an error, as JSON to standard output or as text to standard
// error, and returns its exit code. Usage errors are always text.
func (g *globalFlags) reportError(err error) int {
	var usage usageError
	if errors.As(err, &usage) {
		_, _ = fmt.Fprintln(g.env.Stderr, usage)
		return ExitUsage
	}
	p := g.printer()
	if !g.json {
		p.out = g.env.Stderr
	}
	return p.printError(err)
}

// reportChange prints the result and the error of a change, and returns the exit
// code. JSON output is one object: the error if there is one, else the result.
func (g *globalFlags) reportChange(r Result, err error) int {
	if r.Document != nil && (err == nil || !g.json) {
		g.printer().printResult(r, err == nil)
	}
	if err != nil {
		return g.reportError(err)
	}
	return ExitOK
}

func readDocument(path string) (*config.Document, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, usageError(err.Error())
	}
	d, err := config.Parse(data)
	if err == nil {
		_, err = d.EncodeValue()
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return d, nil
}
