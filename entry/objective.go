package entry

import (
	"math"
	"time"

	"chicorytray.example/chicorytray/config"
	"chicorytray.example/chicorytray/queue"
)

const (
	// estimateMargin of the expected duration is added before a job is given
	// up, because estimates are off by 40 %.
	estimateMargin = 0.5
	// jobPoolShare is the part of its pool that the work of a job is measured on.
	jobPoolShare = 0.25
)

// Work is the work of a job of leased tasks.
type Work struct {
	Expected     time.Duration // of one task
	Tasks        int
	MilliCPU     int64 // of one task, in thousandths of a core
	PoolMilliCPU int64 // of the pool; 0 when no agent of it is known
}

// waves returns how many times in turn the tasks take their share of the pool.
func (w Work) waves() float64 {
	if w.PoolMilliCPU <= 0 {
		return 1
	}
	return max(1, math.Ceil(float64(w.Tasks)*float64(w.MilliCPU)/(jobPoolShare*float64(w.PoolMilliCPU))))
}

// objectiveNanos of the response time, in nanoseconds.
func objectiveNanos(t *config.Template, w Work) float64 {
	return t.SlackFactor*float64(w.Expected)*w.waves() + float64(t.TargetMS)*float64(time.Millisecond)
}

// ResponseTimeObjective returns the response time within which a job earns its full value,
// at most queue.MaxObjective.
func ResponseTimeObjective(t *config.Template, w Work) time.Duration {
	if o := objectiveNanos(t, w); o < float64(queue.MaxObjective) {
		return time.Duration(o)
	}
	return queue.MaxObjective
}

// StartTimeout returns the time from a job's arrival at which it is given up if
// none of its tasks has started.
func StartTimeout(t *config.Template, deadline time.Duration, w Work) time.Duration {
	timeoutNanos := queue.ZeroValueFactor*objectiveNanos(t, w) + estimateMargin*float64(w.Expected)
	if timeoutNanos >= float64(deadline) {
		return deadline
	}
	return time.Duration(timeoutNanos)
}
