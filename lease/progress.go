package lease

import "time"

const (
	// maxGapIntervals is how many times Options.Renew two lists may be apart for the
	// time between them to count as time without progress. Further apart, the
	// worker or the agent was paused or a connection was lost.
	maxGapIntervals = 4
	// stallShare of a run's age without progress makes it stalled at least. A
	// worker reports whole percents, and one percent of a long task takes long.
	stallShare = 0.1
	// slowFactor is how many times the expected duration the projected one of a
	// slow run is at least. Durations of one template spread by 40 %.
	slowFactor = 1.5
)

// Progress is what the lists of a worker say about one run. Times are measured
// on the worker's clock.
type Progress struct {
	Listed  bool // some list showed the run; the other fields are 0 otherwise
	Percent int  // of its work in the newest list, 0 to 100
	// Elapsed is the time from the first to the newest list that shows the run.
	Elapsed time.Duration
	// NoProgress is the time for which the lists showed no progress. Each interval
	// between two lists counts for Options.Renew at most, so that one short
	// pause of the worker is no standstill.
	NoProgress time.Duration
	Stalled    bool // Still is the longer of Options.StallAfter and a tenth of Elapsed
}

// ProjectedDuration returns the whole duration of the run if it goes on as it did until
// the newest list; 0 when it has made no progress.
func (p Progress) ProjectedDuration() time.Duration {
	if p.Percent <= 0 {
		return 0
	}
	return p.Elapsed * 100 / time.Duration(p.Percent)
}

// Slow reports whether the projected duration is far above the expected one,
// of which 0 means that it is not known.
func (p Progress) Slow(expected time.Duration) bool {
	return expected > 0 && float64(p.ProjectedDuration()) > slowFactor*float64(expected)
}

// Progress returns the progress of a run; false when it is not in the table or
// is being stopped.
func (r *RunTable) Progress(run Run) (Progress, bool) {
	e := r.find(run)
	if e == nil || e.state == Stopping {
		return Progress{}, false
	}
	return e.progress.Progress, true
}

// TakeStalled returns the runs that became stalled since the last call.
func (r *RunTable) TakeStalled() []Run {
	stalled := r.stalled
	r.stalled = nil
	return stalled
}

// progress is a Progress with what the next list is compared with.
type progress struct {
	Progress
	lastReply  uint64     // number of the newest list that showed the run
	firstShown WorkerTime // of the first list that showed it
	lastShown  WorkerTime // of the newest one
}

// update takes a list of the given number that follows the list previous and
// shows the run. It reports whether the run became stalled. A list without a
// clock says nothing.
func (p *progress) update(o Options, previous, number uint64, clock WorkerTime, percent int) bool {
	if clock <= 0 {
		return false
	}
	gap := clock - p.lastShown
	switch {
	case !p.Listed:
		p.Listed, p.firstShown = true, clock
	case percent != p.Percent:
		p.NoProgress = 0
	case p.lastReply == previous && gap <= maxGapIntervals*o.Renew:
		p.NoProgress += min(max(gap, 0), o.Renew)
	}
	p.lastReply, p.lastShown, p.Percent = number, clock, percent
	p.Elapsed = max(0, clock-p.firstShown)
	before := p.Stalled
	p.Stalled = o.StallAfter > 0 && p.NoProgress >= max(o.StallAfter, time.Duration(stallShare*float64(p.Elapsed)))
	return p.Stalled && !before
}
