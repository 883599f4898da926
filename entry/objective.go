package entry

import (
	"math"
	"time"

	"chicorytray.example/chicorytray/config"
)

const (
	// abandonAfter times its objective a job is worth nothing.
	abandonAfter = 3
	// estimateMargin of the expected duration is added before a job is given
	// up, because estimates are off by 40 %.
	estimateMargin = 0.5
	// poolShare is the part of its pool that the work of a job is measured on.
	poolShare = 0.25
)

// jobWork is the work of a job.
type jobWork struct {
	expected     time.Duration // of one task
	tasks        int
	milliCPU     int64 // of one task, in thousandths of a core
	poolMilliCPU int64 // of the pool; 0 when no agent of it is known
}

// waves returns how many times in turn the tasks take their share of the pool.
func (w jobWork) waves() float64 {
	if w.poolMilliCPU <= 0 {
		return 1
	}
	return max(1, math.Ceil(float64(w.tasks)*float64(w.milliCPU)/(poolShare*float64(w.poolMilliCPU))))
}

// objective of the response time, in nanoseconds.
func objective(t *config.Template, w jobWork) float64 {
	return t.SlackFactor*float64(w.expected)*w.waves() + float64(t.TargetMS)*float64(time.Millisecond)
}

// giveUpAfter returns the time from a job's arrival at which it is given up.
func giveUpAfter(t *config.Template, deadline time.Duration, w jobWork) time.Duration {
	worthless := abandonAfter*objective(t, w) + estimateMargin*float64(w.expected)
	if worthless >= float64(deadline) {
		return deadline
	}
	return time.Duration(worthless)
}
