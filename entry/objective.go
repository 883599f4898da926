package entry

import (
	"math"
	"time"

	"chicorytray.example/chicorytray/config"
	"chicorytray.example/chicorytray/queue"
)

const (
	// estimateMargin is the fraction of the expected task duration that is added
	// before a job is given up, because estimates are off by 40 %.
	estimateMargin = 0.5
	// jobPoolShare is the fraction of its pool that a job is assumed to use at a
	// time when its response-time objective is calculated.
	jobPoolShare = 0.25
)

// Work describes the size of a job of leased tasks and of its pool.
type Work struct {
	Expected     time.Duration // of one task
	Tasks        int
	MilliCPU     int64 // of one task, in thousandths of a core
	PoolMilliCPU int64 // capacity of the pool; 0 if none of its agents is known
}

// waves returns the number of rounds in which the tasks run if the job uses
// jobPoolShare of the pool; at least 1.
func (w Work) waves() float64 {
	if w.PoolMilliCPU <= 0 {
		return 1
	}
	return max(1, math.Ceil(float64(w.Tasks)*float64(w.MilliCPU)/(jobPoolShare*float64(w.PoolMilliCPU))))
}

// objectiveNanos returns the response-time objective in nanoseconds. It is a
// float64 because large factors overflow a time.Duration.
func objectiveNanos(t *config.Template, w Work) float64 {
	return t.SlackFactor*float64(w.Expected)*w.waves() + float64(t.TargetMS)*float64(time.Millisecond)
}

// ResponseTimeObjective returns the response time within which a job has its full
// value, at most queue.MaxObjective.
func ResponseTimeObjective(t *config.Template, w Work) time.Duration {
	if o := objectiveNanos(t, w); o < float64(queue.MaxObjective) {
		return time.Duration(o)
	}
	return queue.MaxObjective
}

// StartTimeout returns the time after a job's arrival at which it is given up
// if none of its tasks has started. That is when its value has fallen to zero
// plus a margin for inexact estimates, and at most the deadline.
func StartTimeout(t *config.Template, deadline time.Duration, w Work) time.Duration {
	timeoutNanos := queue.ZeroValueFactor*objectiveNanos(t, w) + estimateMargin*float64(w.Expected)
	if timeoutNanos >= float64(deadline) {
		return deadline
	}
	return time.Duration(timeoutNanos)
}
