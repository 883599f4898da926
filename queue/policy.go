package queue

import (
	"math"
	"time"
)

// Policy is the order in which waiting tasks are given out: Urgency, Objective,
// Remaining or Value.
type Policy interface {
	// Name of the policy in settings and reports.
	Name() string
	// initialise sets the level and the first change of a new job.
	initialise(j *job, o Options)
	// update applies the changes that are due to a job that is not attached.
	// Afterwards the next one is later than now, or the job is in level 0,
	// where time changes nothing.
	update(j *job, now time.Time)
	// less orders two jobs of one level and account. Less remaining work must
	// not move a job back.
	less(a, b *job) bool
	// account that the job counts for.
	account(j *job) string
}

// Policies returns all policies, the default first.
func Policies() []Policy {
	return []Policy{Urgency{}, Objective{}, Remaining{}, Value{}}
}

// MaxObjective is the longest objective that counts; three times it fits in a
// time.Duration.
const MaxObjective time.Duration = math.MaxInt64 / 4

// Levels of the policies that ignore urgency.
const (
	levelFIFO   = iota // later jobs may not pass; in order of arrival
	levelPolicy        // in the order of the policy
)

// boundedBypass is what the policies that ignore urgency and accounts have in common:
// once a job may not be passed any more, it goes before all that arrived later.
type boundedBypass struct{}

func (boundedBypass) initialise(j *job, _ Options) {
	j.urgency, j.changeAt = levelPolicy, j.bypassEnd()
}

func (boundedBypass) update(j *job, now time.Time) {
	if j.changeAt = j.bypassEnd(); !j.changeAt.After(now) {
		j.urgency = levelFIFO
	}
}

func (boundedBypass) account(*job) string { return "" }

// bypassEnd is the time from which on later jobs may not pass the job.
func (j *job) bypassEnd() time.Time { return j.Arrived.Add(j.bypassTime) }

// remaining is the expected work of the job's waiting tasks.
func (j *job) remaining() time.Duration { return time.Duration(j.queued()) * j.Expected }

func arrivedBefore(a, b *job) bool {
	if a.arrivalOffset != b.arrivalOffset {
		return a.arrivalOffset < b.arrivalOffset
	}
	return a.arrivalOrder < b.arrivalOrder
}
