// Package straggler decides whether a run of a leased task that makes too little
// or no progress is stopped, so that the task is restarted at another worker.
//
// A restart discards the work of the run, so it must be worthwhile. The task must
// be able to start at another worker now and to end there before the job's
// deadline, and the run must be stalled, or slow because of its worker. A long
// task at a worker of normal speed would be no faster at another one.
//
// # Use
//
// The caller calls Decide for each run that its agent reports as stalled or
// slow, and stops the run if a reason is returned. Decide has no state; the
// caller counts the restarts and keeps the restart budget.
package straggler

import "time"

const (
	// MaxRestarts is the maximum number of restarts of one task, for any
	// reason. A task that would need more probably causes the stalls itself.
	MaxRestarts = 2
	// MaxStopping is the maximum number of runs of one agent that are being
	// stopped for a restart at a time. A worker that ignores stop requests
	// loses its lease and with it all its runs; the limit lets the other runs
	// continue as long as possible.
	MaxStopping = 2
	// minSlowness is the least slowness of a worker, relative to its peers, at
	// which a slow run is attributed to the worker. It equals the factor from
	// which package ejection reduces the weight of an agent.
	minSlowness = 2.0
	// minGain is the ratio that the remaining time of a slow run must exceed,
	// relative to the time of a whole run at another worker. Durations of one
	// template vary by 40 %.
	minGain = 1.5
	// stopAllowance is the time allowed for stopping the run and proving that
	// it ended: 50 ms until a worker has stopped a run (docs/design.md, section
	// 13.3), and the same for the messages.
	stopAllowance = 100 * time.Millisecond
)

// Reason is the reason for a restart.
type Reason string

// Reasons for a restart.
const (
	Stalled Reason = "stalled" // the run made no progress
	Slow    Reason = "slow"    // the run and its worker are slow
)

// Run describes a stalled or slow run and the conditions for its restart.
type Run struct {
	Percent int           // completed part of the work, 0 to 100
	Elapsed time.Duration // on the worker's clock
	Stalled bool          // the run makes no progress; if false, it is slow

	Expected  time.Duration // expected duration of the task
	Remaining time.Duration // until the job's deadline
	// Slowness is how many times slower than its peers the run's worker is; 0
	// if unknown.
	Slowness float64
	Restarts int // number of earlier restarts of the task
	Stopping int // number of runs of the agent that are being stopped for a restart
	// HasAlternative reports whether an agent to which the task was not sent
	// before can start it now. AlternativeSlowness is the slowness of that
	// agent's worker.
	HasAlternative      bool
	AlternativeSlowness float64
	BudgetAvailable     bool // the restart budget allows a restart
}

// Decide returns the reason for which the run should be restarted; ok is false if
// the run should continue.
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

// endsInTime reports whether the task would end before the deadline at the
// alternative worker; took is its duration in nanoseconds at a worker of normal
// speed.
func endsInTime(r Run, took float64) bool {
	return float64(stopAllowance)+took*max(1, r.AlternativeSlowness) < float64(r.Remaining)
}
