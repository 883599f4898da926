package queue

import (
	"math"
	"time"
)

// Policy is the order in which waiting tasks are dispatched: Urgency, Objective,
// Remaining, Value or Due.
type Policy interface {
	// Name returns the name of the policy in settings and reports.
	Name() string
	// initialise sets the level and the first changeAt of a new job.
	initialise(j *job, o Options)
	// update applies the changes that are due to a detached job. Afterwards
	// changeAt is later than now, or the job is in level 0, where its position
	// no longer depends on time.
	update(j *job, now time.Time)
	// less orders two jobs of one level and account. A job must not move back
	// when its remaining work decreases.
	less(a, b *job) bool
	// account returns the account under which the job is queued.
	account(j *job) string
}

// Policies returns all policies, the default first.
func Policies() []Policy {
	return []Policy{Urgency{}, Objective{}, Remaining{}, Value{}, Due{}}
}

// MaxObjective is the longest objective; longer ones are reduced to it. It is
// chosen so that ZeroValueFactor times it fits in a time.Duration.
const MaxObjective time.Duration = math.MaxInt64 / 4

// Levels of the policies that ignore urgency and accounts.
const (
	levelFIFO   = iota // jobs whose bypass time is over, in order of arrival
	levelPolicy        // all other jobs, in the order of the policy
)

// boundedBypass is the common part of the policies that ignore urgency and
// accounts. Once the bypass time of a job is over, it is served before all jobs
// that arrived later.
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

// bypassEnd returns the time from which later jobs must not be served before
// the job.
func (j *job) bypassEnd() time.Time { return j.Arrived.Add(j.bypassTime) }

// remaining returns the expected work of the job's waiting tasks.
func (j *job) remaining() time.Duration { return time.Duration(j.queued()) * j.Expected }

func arrivedBefore(a, b *job) bool {
	if a.arrivalOffset != b.arrivalOffset {
		return a.arrivalOffset < b.arrivalOffset
	}
	return a.arrivalOrder < b.arrivalOrder
}
