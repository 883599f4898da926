package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/google/subcommands"

	"chicorytray.example/chicorytray/internal/dev"
	"chicorytray.example/chicorytray/internal/dev/load"
	"chicorytray.example/chicorytray/settings"
)

// errGuaranteeBroken means that the load ran to its end and broke a guarantee.
var errGuaranteeBroken = errors.New("a guarantee was broken; see the faults above")

// loadCommand runs the load tool.
type loadCommand struct {
	deployment, policy, events, level, plot string
	entries                                 int
	load, burst                             float64
	duration                                time.Duration
	seed                                    uint64
	json                                    bool
}

func (*loadCommand) Name() string     { return "load" }
func (*loadCommand) Synopsis() string { return "run an open-loop load against a deployment and report" }
func (*loadCommand) Usage() string {
	return `chicorytray-dev load [flags]
Events are ACTION[:TARGET]@TIME, separated by commas:
  out:DC@5s, in:DC@12s, kill-worker:w03@5s, fail-worker:w03@5s, slow-worker:w03:5@5s,
  store-out@5s, store-in@9s, kill-entry:entry-2@5s
The exit status is 1 when a guarantee was broken.
`
}

// SetFlags implements subcommands.Command.
func (c *loadCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.deployment, "deployment", "recife", "recife or tainan")
	f.IntVar(&c.entries, "entries", 2, "number of entries, 1 to 16")
	f.Float64Var(&c.load, "load", 0.8, "offered work as a share of all slots")
	f.Float64Var(&c.burst, "burst", 3, "arrival rate in one second of every ten as a multiple of the mean rate, 1 to 9; 1 means no bursts")
	f.DurationVar(&c.duration, "duration", 20*time.Second, "time during which jobs arrive")
	f.Uint64Var(&c.seed, "seed", 1, "seed of the plan")
	f.StringVar(&c.policy, "policy", settings.PlacementIdleFirst, "placement policy of the entries: "+strings.Join(settings.Placements(), ", "))
	f.StringVar(&c.events, "events", "", "events, for example out:ne-br-for@5s,in:ne-br-for@12s")
	f.StringVar(&c.level, "log", "error", "level of the daemons' logs: debug, info, warn or error")
	f.StringVar(&c.plot, "plot", "", "write a plot of the work done to this .svg or .png file")
	f.BoolVar(&c.json, "json", false, "print the report as JSON")
}

// Execute implements subcommands.Command.
func (c *loadCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	o, err := c.options()
	if err != nil || f.NArg() > 0 {
		return reportUsageError(f, err)
	}
	if err := c.run(ctx, o); err != nil {
		return reportFailure(err)
	}
	return subcommands.ExitSuccess
}

func (c *loadCommand) options() (load.Options, error) {
	l, err := dev.LayoutNamed(c.deployment)
	if err != nil {
		return load.Options{}, err
	}
	switch {
	case c.entries < 1 || c.entries > 16:
		return load.Options{}, fmt.Errorf("entries %d; accepted: 1 to 16", c.entries)
	case !(c.load > 0 && c.load <= 10):
		return load.Options{}, fmt.Errorf("load %g; accepted: more than 0, at most 10", c.load)
	case !(c.burst >= 1 && c.burst <= 9):
		return load.Options{}, fmt.Errorf("burst %g; accepted: 1 to 9", c.burst)
	case !slices.Contains(settings.Placements(), c.policy):
		return load.Options{}, fmt.Errorf("policy %q; accepted: %s", c.policy, strings.Join(settings.Placements(), ", "))
	case c.duration < time.Second || c.duration > time.Hour:
		return load.Options{}, fmt.Errorf("duration %s; accepted: 1s to 1h", c.duration)
	}
	l.Entries, l.Placement = c.entries, c.policy
	events, err := load.ParseEvents(c.events, l)
	return load.Options{Layout: l, Load: c.load, Duration: c.duration, Seed: c.seed, Burst: c.burst, Events: events}, err
}

func (c *loadCommand) run(ctx context.Context, o load.Options) error {
	d, err := startDeployment(ctx, o.Layout, c.level)
	if err != nil {
		return err
	}
	report, err := load.Run(ctx, d, o)
	if stopErr := stopDeployment(d); err == nil && stopErr != nil {
		fmt.Fprintln(os.Stderr, "chicorytray-dev: stop:", stopErr)
	}
	if err != nil {
		return err
	}
	if c.plot != "" {
		if err := report.Plot(c.plot); err != nil {
			return err
		}
	}
	if c.json {
		enc := json.NewEncoder(os.Stdout)
		enc.SetIndent("", "  ")
		err = enc.Encode(report)
	} else {
		err = report.Print(os.Stdout)
	}
	if err == nil && report.BrokeGuarantee() {
		err = errGuaranteeBroken
	}
	return err
}
