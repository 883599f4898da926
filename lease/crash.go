package lease

import (
	"time"

	"chicorytray.example/chicorytray/wire"
)

// SuspicionWindow is how long a worker has to go on after a run began until the run
// is no longer suspected of a crash. A task that a worker cannot take crashes it
// within milliseconds; on the users' workers 5 ms were the most until the agent saw
// the last answer.
const SuspicionWindow = 25 * time.Millisecond

// MarkProbation marks a run as suspected of an earlier crash. At most one run of the
// table may be marked.
func (r *RunTable) MarkProbation(run Run) {
	if e := r.find(run); e != nil {
		e.probation = true
	}
}

// LifeEnded removes and returns all runs because the worker's life has ended, by a
// crash or as it was announced. Held ends are dropped: the worker has lost its list
// of ends.
func (r *RunTable) LifeEnded(crashed bool) []RemovedRun {
	r.adopted, r.ends = false, endTable{}
	suspected := r.suspects()
	var lost []RemovedRun
	for _, e := range r.table {
		survived := e.survived(r.answeredAt)
		for _, run := range r.remove(e.run, OutcomeLost, "") {
			run.Survived = survived
			switch {
			case !crashed:
			case suspected(e) && !e.began:
				run.Crash = wire.CrashUnconfirmed
			case suspected(e):
				run.Crash = wire.CrashSuspect
			default:
				run.Crash = wire.CrashBystander
			}
			lost = append(lost, run)
		}
	}
	return lost
}

// suspects returns the condition under which a run may have caused the crash of the
// worker: the run on probation if the worker did not survive it for SuspicionWindow;
// otherwise the runs that it did not survive for that time; and if there are none,
// the run on probation.
func (r *RunTable) suspects() func(*entry) bool {
	onProbation := func(e *entry) bool { return e.probation }
	recent := func(e *entry) bool { return e.survived(r.answeredAt) < SuspicionWindow }
	anyRecent := false
	for _, e := range r.table {
		if recent(e) && e.probation {
			return onProbation
		}
		anyRecent = anyRecent || recent(e)
	}
	if anyRecent {
		return recent
	}
	return onProbation
}

// observe records an answer of the worker with its clock.
func (r *RunTable) observe(now time.Time, clock WorkerTime) {
	r.clock.observe(now, clock)
	r.answeredAt = now
}

// survived returns the time from the answer that showed that the run began to the
// worker's newest answer. It is 0 for a run that is not known to have begun: its
// start order, or the answer to it, may have been lost with the worker.
func (e *entry) survived(answeredAt time.Time) time.Duration {
	if !e.began {
		return 0
	}
	return answeredAt.Sub(e.beganAt)
}
