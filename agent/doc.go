// Package agent is the process beside each upstream. It announces the upstream
// to entries, accepts their tasks in numbered sessions, and makes the last
// check before a task starts: the session is not fenced, the data centre is in
// service in the newest configuration, and that was confirmed recently.
//
// A task passes through receive, fence, gate, run and report, each in a file of
// its own. One lock covers fencing, the gate and the start, so that no session
// can be opened and no configuration applied between the check and the start.
package agent

import "github.com/ansel1/merry/v2"

// Errors of the agent. Match them with errors.Is.
var (
	// ErrOptions means that the options or settings are unusable.
	ErrOptions = merry.Sentinel("agent: invalid options")
	// ErrSession means that a call other than Run came in a session that is
	// not open. The entry opens a new one.
	ErrSession = merry.Sentinel("agent: session not open")
)
