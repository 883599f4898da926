// Command chicorytray-agent runs beside one upstream. It accepts tasks from
// entries and starts each task at the upstream at most once.
package main

import (
	"chicorytray.example/chicorytray/agent"
	"chicorytray.example/chicorytray/internal/process"
	"chicorytray.example/chicorytray/settings"
)

func main() { process.Main(process.Program{Name: "agent", Load: loadSettings}) }

func loadSettings(file string) (process.LoadedSettings, error) {
	s, err := settings.LoadAgent(file)
	return process.LoadedSettings{
		Log: s.Log, Store: s.Store, StoreTimeout: s.Timing.StoreTimeout.AsDuration(),
		New: func(env process.Environment) (process.Daemon, func() any, error) {
			a, err := agent.New(agent.Options{
				Settings: s, Store: env.Store, Logger: env.Logger, Metrics: env.Metrics, MetricsHandler: env.MetricsHandler,
			})
			return a, func() any { return a.State() }, err
		},
	}, err
}
