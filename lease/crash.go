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

// suspects returns the condition under which a run may have caused the crash of the
// worker: the run on probation if the worker did not survive it for SuspicionWindow;
// otherwise the runs that it did not survive for that time; and if there are none,
// the run on probation.
func (r *RunTable) suspects() func(*entry) bool {
	onProbation := func(e *entry) bool { return e.probation && !e.carriedOver }
	recent := func(e *entry) bool { return !e.carriedOver && e.survivedUntil(r.answeredAt) < SuspicionWindow }
	anyRecent := false
	for _, e := range r.table {
		if recent(e) && onProbation(e) {
			return onProbation
		}
		anyRecent = anyRecent || recent(e)
	}
	if anyRecent {
		return recent
	}
	return onProbation
}

// Suspect is a run that is suspected of the crash of a life. Born is the birth of that
// life; 0 if unknown. A later list with the same birth shows that it did not crash.
type Suspect struct {
	Run   Run
	Crash wire.CrashRole
	Born  int64
}

// TakeSuspects returns the suspects of a crash among the runs that are carried over, or
// among all if the life is probably over, each once. A run whose start order is still
// under way is left out, because the order may not have reached the worker.
func (r *RunTable) TakeSuspects() []Suspect {
	var out []Suspect
	for _, e := range r.table {
		suspected := e.crash == wire.CrashSuspect || e.crash == wire.CrashUnconfirmed
		if (e.carriedOver || r.probablyOver) && e.startResolved && !e.crashTaken && suspected {
			e.crashTaken = true
			out = append(out, Suspect{e.run, e.crash, e.crashBorn})
		}
	}
	return out
}

// observe records an answer of the worker with its clock. One that may be that of
// the next life does not show that this one went on: it would clear the runs that
// ended it.
func (r *RunTable) observe(now time.Time, clock WorkerTime) {
	shown := !r.identity.listed || r.identity.proves(now, clock, 0)
	r.clock.observe(now, clock)
	if shown {
		r.answeredAt = now
	}
}

// survivedUntil returns the time from the answer that showed that the run began to the
// worker's newest answer that is certainly of this life. It is 0 for a run that is
// not known to have begun: its start order, or the answer to it, may have been lost
// with the worker.
func (e *entry) survivedUntil(answeredAt time.Time) time.Duration {
	if !e.began {
		return 0
	}
	return max(0, answeredAt.Sub(e.beganAt))
}
