// Command chicorytray-entry accepts jobs over HTTP and places their tasks on
// agents. It answers each caller with the results of all tasks or with an error.
package main

import (
	"chicorytray.example/chicorytray/entry"
	"chicorytray.example/chicorytray/internal/process"
	"chicorytray.example/chicorytray/settings"
)

func main() { process.Main(process.Program{Name: "entry", Load: loadSettings}) }

func loadSettings(file string) (process.LoadedSettings, error) {
	s, err := settings.LoadEntry(file)
	return process.LoadedSettings{
		Log: s.Log, Store: s.Store, StoreTimeout: s.Timing.StoreTimeout.AsDuration(),
		// Exceeds entry.WatchTimeout, so that the entry ends a silent watch first.
		WatchTimeout: entry.WatchTimeout + s.Timing.StoreTimeout.AsDuration(),
		New: func(env process.Environment) (process.Daemon, func() any, error) {
			e, err := entry.New(entry.Options{
				Settings: s, Store: env.Store, Logger: env.Logger, Metrics: env.Metrics, MetricsHandler: env.MetricsHandler,
			})
			return e, func() any { return e.State() }, err
		},
	}, err
}
