package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/google/subcommands"

	"chicorytray.example/chicorytray/internal/dev"
)

const (
	// readyTimeout limits the start of a deployment, which takes well under a
	// second on an idle machine.
	readyTimeout = 20 * time.Second
	// closeTimeout limits the planned stop of a deployment.
	closeTimeout = 15 * time.Second
)

// demoCommand is the default verb.
type demoCommand struct {
	deployment, level string
	serve             bool
}

func (*demoCommand) Name() string { return defaultVerb }
func (*demoCommand) Synopsis() string {
	return "bring up a deployment, run one job and print its answer"
}
func (*demoCommand) Usage() string { return "chicorytray-dev [demo] [flags]\n" }

// SetFlags implements subcommands.Command.
func (c *demoCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.deployment, "deployment", "recife", "recife or tainan")
	f.BoolVar(&c.serve, "serve", false, "stay up after the job until interrupted")
	f.StringVar(&c.level, "log", "warn", "level of the daemons' logs: debug, info, warn or error")
}

// Execute implements subcommands.Command.
func (c *demoCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	l, err := dev.LayoutNamed(c.deployment)
	if err != nil || f.NArg() > 0 {
		return reportUsageError(f, err)
	}
	if err := c.run(ctx, l); err != nil {
		return reportFailure(err)
	}
	return subcommands.ExitSuccess
}

func (c *demoCommand) run(ctx context.Context, l dev.Layout) error {
	d, err := startDeployment(ctx, l, c.level)
	if err != nil {
		return err
	}
	err = dev.Demo(ctx, d, os.Stdout)
	if err == nil && c.serve {
		dev.PrintExampleCommands(d, os.Stdout)
		<-ctx.Done()
	}
	if stopErr := stopDeployment(d); err == nil {
		err = stopErr
	}
	return err
}

// startDeployment starts a deployment and waits until it is ready.
func startDeployment(ctx context.Context, l dev.Layout, level string) (*dev.Deployment, error) {
	d, err := dev.Start(dev.Options{Layout: l, Log: os.Stderr, Level: level})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := d.Ready(ctx); err != nil {
		_ = stopDeployment(d)
		return nil, err
	}
	return d, nil
}

func stopDeployment(d *dev.Deployment) error {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	return d.Close(ctx)
}

// reportUsageError prints an error in the command line; a nil err means an
// unexpected argument.
func reportUsageError(f *flag.FlagSet, err error) subcommands.ExitStatus {
	if err == nil {
		err = fmt.Errorf("unexpected argument %q", f.Arg(0))
	}
	fmt.Fprintln(os.Stderr, "chicorytray-dev:", err)
	return subcommands.ExitUsageError
}

// reportFailure prints an error of a verb with a correct command line.
func reportFailure(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "chicorytray-dev:", err)
	return subcommands.ExitFailure
}
