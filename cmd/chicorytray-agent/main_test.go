package main

import (
	"context"
	"flag"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/google/subcommands"
)

const valid = `{"id":"a1","data_centre":"anping","rack":"r1","worker":"w1","peer_address":"127.0.0.1:7101",
"admin_address":"127.0.0.1:9101","upstream":"127.0.0.1:8101","slots":8,"store":{"url":"http://127.0.0.1:7500"}}`

// Guards against bad settings that start something, or exit codes that do not
// tell a mistake in the settings from a failure of the process.
func TestSettingsAndExitCodes(t *testing.T) {
	for _, tc := range []struct {
		name, content string
		missing       bool
		want          subcommands.ExitStatus
	}{
		{"valid", valid, false, subcommands.ExitSuccess},
		{"unknown field", `{"idd":"a1"}`, false, 2},
		{"host name", `{"id":"a1","data_centre":"anping","peer_address":"localhost:7101"}`, false, 2},
		{"missing file", ``, true, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			file := filepath.Join(t.TempDir(), "agent.json")
			if !tc.missing {
				c.Assert(os.WriteFile(file, []byte(tc.content), 0o600), qt.IsNil)
			}
			f := flag.NewFlagSet("check", flag.ContinueOnError)
			c.Check((&checkCommand{file: file}).Execute(context.Background(), f), qt.Equals, tc.want)
			if tc.want != subcommands.ExitSuccess {
				c.Check((&runCommand{file: file}).Execute(context.Background(), f), qt.Equals, tc.want)
			}
		})
	}
	qt.Check(t, versionCommand{}.Execute(context.Background(), nil), qt.Equals, subcommands.ExitSuccess)
}
