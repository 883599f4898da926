// Command chicorytray-dev runs a small deployment on loopback for newcomers,
// tests and experiments. It is not used in production.
//
// Without a verb it starts a deployment, submits one job, prints the answer and
// exits. The command chicorytray-dev help lists the verbs.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
)

// defaultVerb is used if the command line names no verb.
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
	// The first signal ends ctx, after which a deployment makes a planned stop. A
	// second one kills the process, because stop restores the default handling.
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	context.AfterFunc(ctx, stop)
	return int(c.Execute(ctx))
}
