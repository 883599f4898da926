package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
	"github.com/rs/zerolog"

	"chicorytray.example/chicorytray/agent"
	"chicorytray.example/chicorytray/observe"
	"chicorytray.example/chicorytray/settings"
	"chicorytray.example/chicorytray/store/httpstore"
)

// runCommand serves until a signal.
type runCommand struct{ file string }

func (*runCommand) Name() string     { return "run" }
func (*runCommand) Synopsis() string { return "serve until SIGTERM or SIGINT" }
func (*runCommand) Usage() string {
	return `run -settings FILE: serve until SIGTERM or SIGINT

The first signal begins a planned stop that finishes all running tasks; a
second one ends the process at once. SIGUSR1 writes the state to standard error.
`
}

func (c *runCommand) SetFlags(f *flag.FlagSet) { settingsFlag(f, &c.file) }

func (c *runCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	s, err := settings.LoadAgent(c.file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	log := observe.NewLogger(os.Stderr, s.Log.Level)
	scope, handler, closer := observe.NewMetrics("agent")
	defer func() { _ = closer.Close() }()
	kv, err := httpstore.New(httpstore.Options{
		URL: s.Store.URL, MaxCallsPerSecond: s.Store.MaxCallsPerSecond, CallTimeout: s.Timing.StoreTimeout.Of(),
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	defer kv.Close()
	a, err := agent.New(agent.Options{Settings: s, Store: kv, Logger: log, Metrics: scope, MetricsHandler: handler})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	defer observe.DumpOnSignal(os.Stderr, func() any { return a.State() })()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go observe.ReportCost(ctx, scope, a.ControlBytes)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go stopOnSignal(a, log, signals, cancel)
	if err := a.Run(ctx); err != nil {
		log.Error().Err(err).Msg("agent_failed")
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// stopOnSignal begins a planned stop at the first signal and ends the process
// at the second.
func stopOnSignal(a *agent.Agent, log zerolog.Logger, signals <-chan os.Signal, end context.CancelFunc) {
	first := <-signals
	log.Info().Str("signal", first.String()).Msg("planned_stop")
	go func() {
		second := <-signals
		log.Warn().Str("signal", second.String()).Msg("ended_at_once")
		end()
	}()
	_ = a.Stop(context.Background())
}
