package queue

import (
	"math"
	"time"
)

// dueTolerance is the width of the intervals of latest starts within which Due
// serves the more urgent job first. Fixed intervals keep the order transitive,
// which a heap requires.
const dueTolerance = 50 * time.Millisecond

// Levels of Due, in the order in which they are served.
const (
	levelOverdue   = iota // jobs without a deadline whose bypass time is over
	levelOnTime           // jobs that can still meet their objective
	levelLate             // jobs that can only earn LateValueFraction
	levelWorthless        // started jobs that can no longer earn anything
)

// Due takes the next task from a job that can still meet its objective, then
// from one that can only be late, each by accounts as under Urgency. The package
// comment has the details.
type Due struct{}

// Name implements Policy.
func (Due) Name() string { return "due" }

func (Due) initialise(j *job, _ Options) {
	j.setValueDefaults()
	j.hasObjective = j.Objective > 0
	j.latestStart = j.arrivalOffset + j.objective - j.Expected
	j.urgency, j.changeAt = levelOnTime, j.Arrived.Add(j.objective-j.Expected+1)
	if j.Deadline.IsZero() && j.bypassEnd().Before(j.changeAt) {
		j.changeAt = j.bypassEnd()
	}
}

// update applies the changes of level. A job that completes exactly at a limit
// still earns the higher value, so the levels change 1 ns after the latest start.
func (Due) update(j *job, now time.Time) {
	if j.Deadline.IsZero() {
		// A job without a deadline is never given up, so it must not wait behind
		// jobs that are on time without bound.
		if j.urgency, j.changeAt = levelLate, j.bypassEnd(); !j.changeAt.After(now) {
			j.urgency = levelOverdue
		}
		return
	}
	j.urgency, j.changeAt = levelLate, j.Deadline
	if !j.hasObjective {
		return
	}
	if worthless := j.Arrived.Add(LastUsefulStart(j.objective, j.Expected) + 1); worthless.After(now) {
		j.changeAt = worthless
	} else {
		j.urgency = levelWorthless
	}
}

func (Due) account(j *job) string { return j.Account }

func (Due) less(a, b *job) bool {
	switch a.urgency {
	case levelOverdue:
		return arrivedBefore(a, b)
	case levelOnTime:
		return lessDue(a, b)
	}
	if densityA, densityB := a.Value/a.coreTime(), b.Value/b.coreTime(); densityA != densityB {
		return densityA > densityB
	}
	return arrivedBefore(a, b)
}

func lessDue(a, b *job) bool {
	if x, y := dueInterval(a.latestStart), dueInterval(b.latestStart); x != y {
		return x < y
	}
	if a.Urgency != b.Urgency {
		return a.Urgency < b.Urgency
	}
	if a.latestStart != b.latestStart {
		return a.latestStart < b.latestStart
	}
	return arrivedBefore(a, b)
}

func dueInterval(latestStart time.Duration) int64 {
	return int64(math.Floor(float64(latestStart) / float64(dueTolerance)))
}

// worthless reports whether the job is to be reported by Expired instead of
// waiting, because it can no longer earn anything and none of its tasks was
// dispatched. A job that has started keeps waiting: its caller would submit the
// whole job again.
func (j *job) worthless() bool {
	return j.hasObjective && j.urgency == levelWorthless && j.dispatches == 0
}
