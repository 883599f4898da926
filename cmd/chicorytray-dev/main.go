// Command chicorytray-dev runs a small deployment on loopback for newcomers,
// tests and experiments. It is never part of production.
//
// Without a verb it brings up a deployment, submits a job, prints the answer
// and ends; see chicorytray-dev help for the verbs.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
)

// defaultVerb is run when the command line names none.
const defaultVerb = "demo"

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	flags := flag.NewFlagSet("chicorytray-dev", flag.ContinueOnError)
	c := subcommands.NewCommander(flags, "chicorytray-dev")
	verbs := []subcommands.Command{&demoCommand{}, &loadCommand{}, &ordersCommand{}, &capacityCommand{}, &capacityChildCommand{},
		&storeCommand{}, &upstreamCommand{},
		c.HelpCommand(), c.FlagsCommand()}
	firstArgs := map[string]bool{"-h": true, "-help": true, "--help": true}
	for _, v := range verbs {
		c.Register(v, "")
		firstArgs[v.Name()] = true
	}
	if len(args) == 0 || !firstArgs[args[0]] {
		args = append([]string{defaultVerb}, args...)
	}
	if err := flags.Parse(args); err != nil {
		return int(subcommands.ExitUsageError)
	}
	// The first signal ends the deployment as planned, a second one at once.
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	context.AfterFunc(ctx, stop)
	return int(c.Execute(ctx))
}
