// Package agent implements the process that runs beside one upstream. It
// announces the upstream to entries, accepts their tasks in numbered sessions,
// and makes the last check before a task starts: the session is not fenced, the
// data centre is in service in the newest known configuration, and an entry has
// confirmed that configuration recently.
//
// A task passes through the steps in receive.go, fence.go, gate.go, run.go and
// report.go, in this order. One lock covers the session check, the gate and the
// start, so that no session can be opened and no configuration applied between
// the checks and the start.
package agent

import "github.com/ansel1/merry/v2"

// Errors returned by an Agent and by its RPC methods; match them with
// errors.Is.
var (
	// ErrOptions means that New rejected the options or settings, or that Run
	// was called twice.
	ErrOptions = merry.Sentinel("agent: invalid options")
	// ErrSession means that an RPC other than Agent.Run named a session that
	// is not open, or no valid entry. The entry then opens a new session.
	ErrSession = merry.Sentinel("agent: session not open")
)
