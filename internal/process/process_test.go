package process

import (
	"context"
	"flag"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/google/subcommands"

	"chicorytray.example/chicorytray/settings"
)

const (
	validEntry = `{"id":"e1","data_centre":"anping","caller_address":"127.0.0.1:8080","peer_address":"127.0.0.1:7000",
"admin_address":"127.0.0.1:9090","store":{"url":"http://127.0.0.1:7500"}}`
	validAgent = `{"id":"a1","data_centre":"anping","rack":"r1","worker":"w1","peer_address":"127.0.0.1:7101",
"admin_address":"127.0.0.1:9101","upstream":"127.0.0.1:8101","slots":8,"store":{"url":"http://127.0.0.1:7500"}}`
)

// Guards against invalid settings with which a daemon starts, and against exit
// codes that do not distinguish invalid settings from a failed daemon.
func TestSettingsAndExitCodes(t *testing.T) {
	entry := Program{Name: "entry", Load: func(file string) (LoadedSettings, error) {
		_, err := settings.LoadEntry(file)
		return LoadedSettings{}, err
	}}
	agent := Program{Name: "agent", Load: func(file string) (LoadedSettings, error) {
		_, err := settings.LoadAgent(file)
		return LoadedSettings{}, err
	}}
	for _, tc := range []struct {
		name    string
		program Program
		content string
		missing bool
		want    subcommands.ExitStatus
	}{
		{"valid entry", entry, validEntry, false, subcommands.ExitSuccess},
		{"valid agent", agent, validAgent, false, subcommands.ExitSuccess},
		{"settings of the other daemon", entry, validAgent, false, 2},
		{"unknown field", entry, `{"idd":"e1"}`, false, 2},
		{"unknown field of an agent", agent, `{"idd":"a1"}`, false, 2},
		{"host name", entry, `{"id":"e1","data_centre":"anping","caller_address":"localhost:8080"}`, false, 2},
		{"host name of an agent", agent, `{"id":"a1","data_centre":"anping","peer_address":"localhost:7101"}`, false, 2},
		{"missing file", entry, ``, true, 2},
		{"missing file of an agent", agent, ``, true, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			file := filepath.Join(t.TempDir(), "settings.json")
			if !tc.missing {
				c.Assert(os.WriteFile(file, []byte(tc.content), 0o600), qt.IsNil)
			}
			f := flag.NewFlagSet("check", flag.ContinueOnError)
			check := &checkCommand{program: tc.program, file: file}
			c.Check(check.Execute(context.Background(), f), qt.Equals, tc.want)
			if tc.want != subcommands.ExitSuccess {
				run := &runCommand{program: tc.program, file: file}
				c.Check(run.Execute(context.Background(), f), qt.Equals, tc.want)
			}
		})
	}
	f := flag.NewFlagSet("check", flag.ContinueOnError)
	qt.Assert(t, f.Parse([]string{"extra"}), qt.IsNil)
	file := filepath.Join(t.TempDir(), "settings.json")
	qt.Assert(t, os.WriteFile(file, []byte(validEntry), 0o600), qt.IsNil)
	qt.Check(t, (&checkCommand{program: entry, file: file}).Execute(context.Background(), f), qt.Equals, subcommands.ExitUsageError)
	qt.Check(t, versionCommand{}.Execute(context.Background(), nil), qt.Equals, subcommands.ExitSuccess)
}
