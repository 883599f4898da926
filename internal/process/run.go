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
	"chicorytray.example/chicorytray/store"
	"chicorytray.example/chicorytray/store/httpstore"
)

// runCommand runs the daemon until a signal stops it.
type runCommand struct {
	program Program
	file    string
}

func (*runCommand) Name() string     { return "run" }
func (*runCommand) Synopsis() string { return "serve until SIGTERM or SIGINT" }
func (*runCommand) Usage() string {
	return `run -settings FILE: serve until SIGTERM or SIGINT

The first signal starts a planned stop that finishes all accepted work; a
second one ends the process at once. SIGHUP reads the settings file again; a new
log level applies at once, all other changes at the next start. SIGUSR1 writes
the state to standard error.
`
}

func (c *runCommand) SetFlags(f *flag.FlagSet) { c.program.settingsFlag(f, &c.file) }

func (c *runCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	loaded, err := c.program.load(f, c.file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitBadSettings
	}
	// The logger passes all levels from debug. The global level filters them,
	// because it can change while the process runs.
	log := observe.NewLogger(os.Stderr, zerolog.LevelDebugValue)
	setLogLevel(loaded.Log.Level)
	scope, handler, closer := observe.NewMetrics(c.program.Name)
	defer func() { _ = closer.Close() }()
	kv, closeStore, err := openStore(loaded, log)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitBadSettings
	}
	defer closeStore()
	d, state, err := loaded.New(Environment{Logger: log, Metrics: scope, MetricsHandler: handler, Store: kv})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitBadSettings
	}
	defer observe.DumpStateOnSignal(os.Stderr, state)()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go observe.ReportCost(ctx, scope, d.ControlBytes)
	stopSignals := make(chan os.Signal, 2)
	signal.Notify(stopSignals, syscall.SIGTERM, syscall.SIGINT)
	go stopOnSignal(d, log, stopSignals, cancel)
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	go reloadOnSignal(c.program, c.file, log, reloadSignals)
	if err := d.Run(ctx); err != nil {
		log.Error().Err(err).Msg("process_failed")
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func openStore(l LoadedSettings, log zerolog.Logger) (store.Store, func(), error) {
	if l.OpenStore != nil {
		s, closeStore := l.OpenStore(log)
		return s, closeStore, nil
	}
	kv, err := httpstore.New(httpstore.Options{
		URL: l.Store.URL, MaxCallsPerSecond: l.Store.MaxCallsPerSecond, CallTimeout: l.StoreTimeout, WatchTimeout: l.WatchTimeout,
		LinearizableReads: l.Store.LinearizableReads,
	})
	if err != nil {
		return nil, nil, err
	}
	return kv, kv.Close, nil
}

// reloadOnSignal reads the settings file again at each signal. A new log level
// applies at once, all other changes at the next start. An invalid file changes
// nothing.
func reloadOnSignal(p Program, file string, log zerolog.Logger, signals <-chan os.Signal) {
	for range signals {
		reloadSettings(p, file, log)
	}
}

func reloadSettings(p Program, file string, log zerolog.Logger) {
	loaded, err := p.Load(file)
	if err != nil {
		log.Error().Err(err).Msg("settings_rejected")
		return
	}
	setLogLevel(loaded.Log.Level)
	log.Info().Str("log_level", loaded.Log.Level).Msg("settings_read")
}

// setLogLevel sets the global log level. The level was checked with the settings;
// an unknown one changes nothing.
func setLogLevel(level string) {
	if l, err := zerolog.ParseLevel(level); err == nil && l != zerolog.NoLevel {
		zerolog.SetGlobalLevel(l)
	}
}

// stopOnSignal starts a planned stop at the first signal and calls cancelRun at
// the second.
func stopOnSignal(d Daemon, log zerolog.Logger, signals <-chan os.Signal, cancelRun context.CancelFunc) {
	first := <-signals
	log.Info().Str("signal", first.String()).Msg("planned_stop")
	go func() {
		second := <-signals
		log.Warn().Str("signal", second.String()).Msg("ended_at_once")
		cancelRun()
	}()
	_ = d.Stop(context.Background())
}
