package lease

import "time"

const (
	// maxGapIntervals is the largest distance of two replies, as a multiple of
	// Options.Renew, at which the time between them counts as time without
	// progress. At a larger distance the worker or the agent was paused, or a
	// connection was lost.
	maxGapIntervals = 4
	// stallShare is the fraction of a run's age that it must be without progress
	// to count as stalled. A worker reports whole percents, and one percent of a
	// long task takes long.
	stallShare = 0.1
	// slowFactor is the ratio of projected to expected duration above which a
	// run is slow. Durations of one template vary by 40 %.
	slowFactor = 1.5
)

// Progress is the progress of one run as shown by a worker's replies to
// renewals. Times are measured on the worker's clock.
type Progress struct {
	Listed  bool // a reply has listed the run as active; otherwise the other fields are 0
	Percent int  // completed work in the newest reply, 0 to 100
	// Elapsed is the time from the first to the newest reply that lists the run.
	Elapsed time.Duration
	// NoProgress is the time for which Percent has not changed. Each interval
	// between two replies counts for at most Options.Renew, so that one short
	// pause of the worker does not make the run stalled.
	NoProgress time.Duration
	// Stalled means that NoProgress has reached both Options.StallAfter and a
	// tenth of Elapsed.
	Stalled bool
}

// ProjectedDuration returns the total duration of the run if it continues at its
// average speed so far, or 0 if it has made no progress.
func (p Progress) ProjectedDuration() time.Duration {
	if p.Percent <= 0 {
		return 0
	}
	return p.Elapsed * 100 / time.Duration(p.Percent)
}

// Slow reports whether the projected duration exceeds the expected one by more
// than slowFactor. It returns false if the expected duration is unknown, which
// is 0.
func (p Progress) Slow(expected time.Duration) bool {
	return expected > 0 && float64(p.ProjectedDuration()) > slowFactor*float64(expected)
}

// Progress returns the progress of a run, and false if the run is not in the
// table or is being stopped.
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

// progress is a Progress with the state that the next reply is compared with.
type progress struct {
	Progress
	lastReply  uint64     // number of the newest reply that listed the run
	firstShown WorkerTime // clock sample of the first reply that listed it
	lastShown  WorkerTime // clock sample of the newest reply that listed it
}

// update applies a reply that lists the run. number identifies the reply, and
// previous the reply before it. It reports whether the run became stalled. A
// reply without a clock sample is ignored.
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
