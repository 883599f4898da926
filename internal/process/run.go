package process

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
	"github.com/rs/zerolog"

	"chicorytray.example/chicorytray/observe"
	"chicorytray.example/chicorytray/store/httpstore"
)

// runCommand serves until a signal.
type runCommand struct {
	program Program
	file    string
}

func (*runCommand) Name() string     { return "run" }
func (*runCommand) Synopsis() string { return "serve until SIGTERM or SIGINT" }
func (*runCommand) Usage() string {
	return `run -settings FILE: serve until SIGTERM or SIGINT

The first signal begins a planned stop that finishes all accepted work; a
second one ends the process at once. SIGUSR1 writes the state to standard error.
`
}

func (c *runCommand) SetFlags(f *flag.FlagSet) { c.program.settingsFlag(f, &c.file) }

func (c *runCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	loaded, err := c.program.Load(c.file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	log := observe.NewLogger(os.Stderr, loaded.Log.Level)
	scope, handler, closer := observe.NewMetrics(c.program.Name)
	defer func() { _ = closer.Close() }()
	kv, err := httpstore.New(httpstore.Options{
		URL: loaded.Store.URL, MaxCallsPerSecond: loaded.Store.MaxCallsPerSecond,
		CallTimeout: loaded.StoreTimeout, WatchTimeout: loaded.WatchTimeout,
		LinearizableReads: loaded.Store.LinearizableReads,
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	defer kv.Close()
	d, state, err := loaded.New(Environment{Logger: log, Metrics: scope, MetricsHandler: handler, Store: kv})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	defer observe.DumpOnSignal(os.Stderr, state)()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go observe.ReportCost(ctx, scope, d.ControlBytes)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go stopOnSignal(d, log, signals, cancel)
	if err := d.Run(ctx); err != nil {
		log.Error().Err(err).Msg("process_failed")
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// stopOnSignal begins a planned stop at the first signal and ends the process
// at the second.
func stopOnSignal(d Daemon, log zerolog.Logger, signals <-chan os.Signal, end context.CancelFunc) {
	first := <-signals
	log.Info().Str("signal", first.String()).Msg("planned_stop")
	go func() {
		second := <-signals
		log.Warn().Str("signal", second.String()).Msg("ended_at_once")
		end()
	}()
	_ = d.Stop(context.Background())
}
