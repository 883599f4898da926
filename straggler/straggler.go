// Package straggler decides whether a run of a leased task that makes no or too
// little progress is stopped, so that its task starts at another worker.
//
// A restart discards the work of the run, so it has to be worthwhile: the task
// can start elsewhere now and would end there before the job's deadline, and
// the run is stalled, or it is slow because of its worker. A long task at a
// sound worker would be no faster elsewhere.
//
// # Use
//
// The caller calls Decide for each run that its agent reports as stalled or
// slow, and stops the run if a reason is returned. Decide has no state; the
// caller counts restarts and keeps their budget.
package straggler

import "time"

const (
	// MaxRestarts of one task, for any reason. A task that is restarted more
	// often probably causes its standstill.
	MaxRestarts = 2
	// MaxStopping runs of one agent are being stopped for a restart at a time.
	// A worker that ignores stops loses its lease with all its runs, so the
	// others go on as long as possible.
	MaxStopping = 2
	// minSlowness is how many times slower than its peers a worker is at least
	// when a slow run is its fault. The weight of an agent in package ejection
	// is reduced from the same factor on.
	minSlowness = 2.0
	// minGain is how many times longer than a whole run elsewhere the rest of a
	// slow run takes at least. Durations of one template spread by 40 %.
	minGain = 1.5
	// stopAllowance is allowed for the stop of the run and the proof of its end: 50 ms
	// until a worker has stopped a run (design, section 13.3), and as much for
	// the messages.
	stopAllowance = 100 * time.Millisecond
)

// Reason of a restart.
type Reason string

// Reasons of a restart.
const (
	Stalled Reason = "stalled" // the run made no progress
	Slow    Reason = "slow"    // the run and its worker are slow
)

// Run is what is known about a run that is behind, and about its surroundings.
type Run struct {
	Percent int           // of its work, 0 to 100
	Elapsed time.Duration // on the worker's clock
	Stalled bool          // otherwise it is slow

	Expected  time.Duration // learned duration of the task
	Remaining time.Duration // until the job's deadline
	// Slowness of the run's worker relative to its peers; 0 when not known.
	Slowness float64
	Restarts int // of the task before
	Stopping int // runs of the agent that are being stopped for a restart
	// HasAlternative says that an agent to which the task was not sent before can
	// start it now. ThereSlowness is that of this agent's worker.
	HasAlternative      bool
	AlternativeSlowness float64
	BudgetAvailable     bool // the budget allows a restart
}

// Decide returns the reason for which the run is to be restarted, or false when
// it goes on.
func Decide(r Run) (Reason, bool) {
	switch {
	case !r.HasAlternative, !r.BudgetAvailable, r.Restarts >= MaxRestarts, r.Stopping >= MaxStopping:
		return "", false
	case r.Stalled:
		return reasonIf(endsInTime(r, float64(r.Expected)), Stalled)
	}
	if r.Percent <= 0 || r.Slowness < minSlowness {
		return "", false
	}
	projected := float64(r.Elapsed) * 100 / float64(r.Percent)
	whole, rest := projected/r.Slowness, projected-float64(r.Elapsed)
	if rest <= minGain*whole {
		return "", false
	}
	return reasonIf(endsInTime(r, whole), Slow)
}

func reasonIf(ok bool, r Reason) (Reason, bool) {
	if !ok {
		return "", false
	}
	return r, true
}

// endsInTime reports whether the task, which takes the given nanoseconds at a worker
// of normal speed, would end elsewhere before the deadline.
func endsInTime(r Run, took float64) bool {
	return float64(stopAllowance)+took*max(1, r.AlternativeSlowness) < float64(r.Remaining)
}
