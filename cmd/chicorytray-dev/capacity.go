package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/google/subcommands"

	"chicorytray.example/chicorytray/internal/dev/capacity"
)

// capacityChildVerb is the verb with which the capacity verb starts its child
// process.
const capacityChildVerb = "capacity-child"

// capacityCommand measures the cost of an entry and an agent at several sizes of
// deployments.
type capacityCommand struct {
	interval time.Duration
	quick    bool
	role     string
	json     bool
}

// Name implements subcommands.Command.
func (*capacityCommand) Name() string { return "capacity" }

// Synopsis implements subcommands.Command.
func (*capacityCommand) Synopsis() string {
	return "measure the cost of an entry and an agent by size"
}

// Usage implements subcommands.Command.
func (*capacityCommand) Usage() string {
	return "chicorytray-dev capacity [flags]\nWrites the table of docs/CAPACITY.md. Takes about six minutes on an idle machine.\n"
}

// SetFlags implements subcommands.Command.
func (c *capacityCommand) SetFlags(f *flag.FlagSet) {
	f.DurationVar(&c.interval, "interval", 5*time.Second, "length of each measurement")
	f.BoolVar(&c.quick, "quick", false, "measure two small sizes only")
	f.StringVar(&c.role, "role", "", "entry or agent; both when empty")
	f.BoolVar(&c.json, "json", false, "print the report as JSON")
}

// Execute implements subcommands.Command.
func (c *capacityCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.validate(); err != nil || f.NArg() > 0 {
		return reportUsageError(f, err)
	}
	r, err := capacity.Run(ctx, capacity.Options{
		Interval: c.interval, ChildVerb: capacityChildVerb, Progress: os.Stderr, Quick: c.quick, Role: c.role,
	})
	if err == nil {
		if c.json {
			err = json.NewEncoder(os.Stdout).Encode(r)
		} else {
			err = r.WriteMarkdown(os.Stdout)
		}
	}
	if err != nil {
		return reportFailure(err)
	}
	return subcommands.ExitSuccess
}

func (c *capacityCommand) validate() error {
	switch {
	case c.interval < time.Second:
		return fmt.Errorf("interval %s; accepted: at least 1s", c.interval)
	case c.role != "" && c.role != capacity.RoleEntry && c.role != capacity.RoleAgent:
		return fmt.Errorf("role %q; accepted: entry, agent", c.role)
	}
	return nil
}

// capacityChildCommand runs the stand-ins around the measured daemon in a child
// process, so that their processor time is not counted.
type capacityChildCommand struct{}

// Name implements subcommands.Command.
func (*capacityChildCommand) Name() string { return capacityChildVerb }

// Synopsis implements subcommands.Command.
func (*capacityChildCommand) Synopsis() string { return "run the stand-ins of a capacity measurement" }

// Usage implements subcommands.Command.
func (*capacityChildCommand) Usage() string {
	return "chicorytray-dev capacity-child\nStarted by the capacity verb; reads its specification from standard input.\n"
}

// SetFlags implements subcommands.Command.
func (*capacityChildCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (*capacityChildCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := capacity.RunChild(ctx, os.Stdin, os.Stdout); err != nil {
		return reportFailure(err)
	}
	return subcommands.ExitSuccess
}
