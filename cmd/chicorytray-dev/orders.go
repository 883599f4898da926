package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/google/subcommands"

	"chicorytray.example/chicorytray/internal/dev/orders"
)

// Limits of the flags of the orders verb. Fewer than 5 seeds do not show the
// spread of the results. The duration must be a multiple of the 2 s windows of
// the report.
const (
	minOrderSeeds, maxOrderSeeds       = 5, 1000
	minOrderDuration, maxOrderDuration = 10 * time.Second, time.Hour
	orderStep                          = 2 * time.Second
)

// ordersCommand compares the orders of waiting tasks.
type ordersCommand struct{ options orders.Options }

func (*ordersCommand) Name() string { return "orders" }
func (*ordersCommand) Synopsis() string {
	return "compare the orders of waiting tasks by simulation"
}
func (*ordersCommand) Usage() string {
	return `chicorytray-dev orders [flags]
Prints a table for each load, with the mean (lowest to highest) over the seeds.
The same flags always produce the same output.
`
}

// SetFlags implements subcommands.Command.
func (c *ordersCommand) SetFlags(f *flag.FlagSet) {
	f.DurationVar(&c.options.Duration, "duration", time.Minute, "simulated time during which jobs arrive, a multiple of 2s")
	f.IntVar(&c.options.Seeds, "seeds", minOrderSeeds, "number of seeds")
	f.BoolVar(&c.options.Admission, "admission", true, "refuse jobs as an entry does")
}

// Execute implements subcommands.Command.
func (c *ordersCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.validate(); err != nil || f.NArg() > 0 {
		return reportUsageError(f, err)
	}
	if err := orders.Run(ctx, c.options, os.Stdout); err != nil {
		return reportFailure(err)
	}
	return subcommands.ExitSuccess
}

func (c *ordersCommand) validate() error {
	if d := c.options.Duration; d < minOrderDuration || d > maxOrderDuration || d%orderStep != 0 {
		return fmt.Errorf("duration %s; accepted: %s to %s in steps of %s", d, minOrderDuration, maxOrderDuration, orderStep)
	}
	if c.options.Seeds < minOrderSeeds || c.options.Seeds > maxOrderSeeds {
		return fmt.Errorf("seeds %d; accepted: %d to %d", c.options.Seeds, minOrderSeeds, maxOrderSeeds)
	}
	return nil
}
