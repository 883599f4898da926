package admission

import (
	"math"
	"time"
)

// Constants of the decisions by objective.
const (
	// DefaultEstimateMargin is the fraction of the expected duration that is added
	// when a job is checked against its objective, because declared durations are
	// off by up to 0.4.
	DefaultEstimateMargin = 0.4
	// DefaultSpeedShare is the part of the speed that is counted on. The rest covers work
	// of other processes that is more urgent, and gaps at workers that the widest
	// waiting tasks do not fit into. Without it, four entries at twice the capacity
	// wasted more than 0.02 of the work in the load test of internal/dev/orders.
	DefaultSpeedShare = 0.5
	// MeasuredShare is the part of a measured service rate that a caller gives as
	// ObjectiveState.Share if it knows no better. The rate is measured only while
	// tasks wait: with four equal entries each measured 0.37 of the pool.
	MeasuredShare = 0.7
	// onTimeRateConstant is the time constant of the measured rate at which work is
	// accepted to be on time.
	onTimeRateConstant = time.Second
	// retrySpread is the largest part that is added to a Retry-After time, so that
	// refused callers do not return at the same time.
	retrySpread = 0.5
)

// ObjectiveOptions configures an Objective. A zero field takes its default.
type ObjectiveOptions struct {
	EstimateMargin float64
	SpeedShare     float64 // part of the speed that is counted on
}

// Job describes a job to an Objective. Work is measured in thousandths of a core
// times nanoseconds, as in ObjectiveState.
type Job struct {
	Kind, Account string
	Work          float64       // expected work of all tasks
	Expected      time.Duration // expected duration of one task
	Arrived       time.Time
	Objective     time.Duration // response time, from the arrival, for the full value
	// LastStart is the time after the arrival from which starting the job earns
	// nothing; 0 means that it always does.
	LastStart time.Duration

	// impossible is set by Decide if the job could not be on time even alone. It is no
	// sign that its kind is served too little, or too much if it is accepted, so the
	// shares leave it out.
	impossible bool
	acceptedAt time.Time // set by Accepted
}

// ObjectiveState describes the load of a pool of workers at the time of a
// decision.
type ObjectiveState struct {
	// Capacity is that of the pool, in thousandths of a core, and Share the part of
	// it that this process may count on.
	Capacity, Share float64
	// NextEnd is the expected work that is left of the running task that ends
	// first.
	NextEnd float64
	// Room reports that a usable worker has room for a task of the job that no
	// waiting task can use.
	Room bool
	// PoolWait is the expected wait in the whole pool, of all processes; negative
	// if it is not known.
	PoolWait time.Duration
	// Spread, from 0 to 1, selects the random addition to Retry-After.
	Spread float64
}

// Objective accepts a job if it and the jobs accepted before it are expected to
// meet their objectives when tasks start in the order queue.Due, or if it can only
// be late and the late work fits beside the work that is on time. It holds the
// waiting work of one pool, of which the caller reports all changes by Add.
//
// Objective reads no clock and takes no lock; the caller serialises its calls.
type Objective struct {
	margin, speedShare float64
	// The waiting work by the time from which a job is expected to be late with
	// the margin, without it, and to earn nothing.
	tight, late, worthless workByTime
	tasks                  int

	onTimeWork float64 // accepted to be on time, decaying with onTimeRateConstant
	onTimeAt   time.Time
	shares     shares
}

// NewObjective returns an Objective without waiting work.
func NewObjective(o ObjectiveOptions) *Objective {
	if o.EstimateMargin <= 0 {
		o.EstimateMargin = DefaultEstimateMargin
	}
	if o.SpeedShare <= 0 {
		o.SpeedShare = DefaultSpeedShare
	}
	return &Objective{margin: o.EstimateMargin, speedShare: o.SpeedShare, shares: newShares()}
}

// Add records that n tasks of the job, with the given work each, began to wait, or
// with a negative n that they no longer wait.
func (o *Objective) Add(now time.Time, j *Job, n int, taskWork float64) {
	o.advance(now)
	work := float64(n) * taskWork
	o.tight.add(j.Arrived.Add(j.Objective-o.withMargin(j.Expected)), work)
	o.late.add(j.Arrived.Add(j.Objective-j.Expected), work)
	if j.LastStart > 0 {
		o.worthless.add(j.Arrived.Add(j.LastStart), work)
	}
	if o.tasks += n; o.tasks == 0 {
		// Discards accumulated rounding errors.
		o.tight.clear()
		o.late.clear()
		o.worthless.clear()
	}
}

func (o *Objective) withMargin(d time.Duration) time.Duration { return scale(d, 1+o.margin) }

func (o *Objective) advance(now time.Time) {
	o.tight.advance(now)
	o.late.advance(now)
	o.worthless.advance(now)
}

// OnTimeWork returns the waiting work of jobs that can still be on time.
func (o *Objective) OnTimeWork() float64 { return max(o.tight.total()-o.late.passed, 0) }

// LateWork returns the waiting work of jobs that can only be late.
func (o *Objective) LateWork() float64 { return max(o.late.passed-o.worthless.passed, 0) }

// Decide accepts or refuses a job. The caller calls Accepted for a job that it
// accepts in the end, and Withdrawn for one that it refuses for another reason.
func (o *Objective) Decide(now time.Time, j *Job, s ObjectiveState) Decision {
	if j.Work <= 0 || j.Objective <= 0 {
		return Decision{Reason: ReasonInvalid}
	}
	speed := s.Capacity * s.Share * o.speedShare
	if speed <= 0 {
		return refuse(ReasonNoUpstream, MinRetryAfter)
	}
	o.advance(now)
	// The tasks of one job may run at all workers at a time.
	own := max(o.withMargin(j.Expected), durationOf(j.Work/s.Capacity))
	left := j.Objective - now.Sub(j.Arrived)
	if j.impossible = own > left; !j.impossible {
		o.shares.recordAsked(now, j, j.Work)
	}
	wait, excess := o.excess(now, j, s.NextEnd, speed, left-own)
	switch {
	// With nothing waiting, a job is always accepted. Otherwise a wrong estimate
	// could refuse every job of a kind and never be corrected.
	case s.Room, o.tasks == 0:
		return Decision{Accept: true, Wait: wait + own}
	}
	fair := !o.shares.exceeds(j)
	if fair && (excess <= 0 || s.PoolWait >= 0 && s.PoolWait+own <= left) {
		return Decision{Accept: true, Wait: wait + own}
	}
	// The floor counts on the whole speed, and not on the jobs behind.
	if scale(wait, o.speedShare) <= left-own && o.shares.belowFloor(now, j) {
		return Decision{Accept: true, Wait: wait + own}
	}
	if late, ok := o.lateWait(now, j, s.NextEnd, speed); ok && fair && late+own-j.Expected <= j.LastStart-now.Sub(j.Arrived) {
		return Decision{Accept: true, Wait: late + own}
	}
	after := max(excess, MinRetryAfter)
	after = min(after+scale(after, retrySpread*s.Spread), MaxRetryAfter)
	return Decision{Reason: ReasonDeadline, RetryAfter: after}
}

// excess returns the expected wait of the job in the order queue.Due, and by how
// much the job would miss its latest start, or make another job miss its own; not
// positive if there is no such job.
func (o *Objective) excess(now time.Time, j *Job, nextEnd, speed float64, slack time.Duration) (wait, excess time.Duration) {
	ahead := nextEnd + max(o.tight.passed-o.late.passed, 0)
	own := o.tight.intervalOf(now.Add(slack))
	ahead += o.tight.sumThrough(own)
	wait = durationOf(ahead / speed)
	excess = wait - slack
	// Jobs behind this one in the order wait for its work as well.
	through := ahead + j.Work
	o.tight.eachAfter(own, func(end time.Duration, work float64) {
		through += work
		excess = max(excess, durationOf(through/speed)-end)
	}, now)
	return wait, excess
}

// lateWait returns the expected wait of a job that can only be late: until all
// useful waiting work and the job's own is served beside the work that is accepted
// to be on time meanwhile. ok is false if that leaves no capacity.
func (o *Objective) lateWait(now time.Time, j *Job, nextEnd, speed float64) (wait time.Duration, ok bool) {
	spare := speed - o.onTimeRate(now)
	if spare <= 0 || j.LastStart <= 0 {
		return 0, false
	}
	ahead := nextEnd + o.OnTimeWork() + o.LateWork()
	return durationOf(ahead / spare), true
}

// onTimeRate returns the work per nanosecond that was accepted to be on time.
func (o *Objective) onTimeRate(now time.Time) float64 {
	return o.onTimeWork * math.Exp(-max(now.Sub(o.onTimeAt), 0).Seconds()/onTimeRateConstant.Seconds()) / float64(onTimeRateConstant)
}

// Withdrawn records that a job that Decide accepted was refused for a reason that more
// capacity would not change, such as a limit of its account.
func (o *Objective) Withdrawn(now time.Time, j *Job) {
	if !j.impossible {
		o.shares.recordAsked(now, j, -j.Work)
	}
}

// GivenUp records that an accepted job was given up before it started.
func (o *Objective) GivenUp(now time.Time, j *Job) {
	if !j.impossible {
		o.shares.recordServed(now, j, -j.Work*decayOver(now.Sub(j.acceptedAt)))
	}
}

// Accepted records that the job was accepted.
func (o *Objective) Accepted(now time.Time, j *Job, d Decision) {
	j.acceptedAt = now
	if !j.impossible {
		o.shares.recordServed(now, j, j.Work)
	}
	if d.Wait <= j.Objective {
		o.onTimeWork = o.onTimeRate(now)*float64(onTimeRateConstant) + j.Work
		o.onTimeAt = now
	}
}
