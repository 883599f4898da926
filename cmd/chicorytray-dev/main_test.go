package main

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/google/subcommands"
)

// Guards against a wrong command line that starts a deployment or a stand-in, or
// that exits with the code of a failed run.
func TestWrongCommandLines(t *testing.T) {
	for _, args := range [][]string{
		{"-deployment", "olinda"},
		{"extra"},
		{"load", "-deployment", "olinda"},
		{"load", "-load", "0"},
		{"load", "-entries", "17"},
		{"load", "-burst", "0.5"},
		{"load", "-duration", "10ms"},
		{"load", "-policy", "pull"},
		{"load", "-events", "out:anping@5s"},
		{"load", "extra"},
		{"orders", "-seeds", "4"},
		{"orders", "-duration", "11s"},
		{"capacity", "extra"},
		{"capacity", "-interval", "1ms"},
		{"capacity", "-role", "worker"},
		{"store", "extra"},
		{"upstream", "-slots", "0"},
		{"upstream", "-service", "0s"},
	} {
		qt.Check(t, run(args), qt.Equals, int(subcommands.ExitUsageError), qt.Commentf("%v", args))
	}
}

// Guards against stand-ins that ignore an invalid address or document.
func TestStandInsReportFaults(t *testing.T) {
	for _, args := range [][]string{
		{"store", "-listen", "127.0.0.1:70000"},
		{"store", "-config", "main.go"},
		{"upstream", "-listen", "127.0.0.1:70000"},
	} {
		qt.Check(t, run(args), qt.Equals, int(subcommands.ExitFailure), qt.Commentf("%v", args))
	}
}
