package speed

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// WorkerState is a snapshot of what is known of a worker, for a process's state dump.
type WorkerState struct {
	ID    string  `json:"id"`
	Speed float64 `json:"speed"` // relative to the mean of the pool
	// Deviation is the standard deviation of the speed's natural logarithm.
	Deviation float64       `json:"deviation"`
	Runs      int           `json:"runs"` // since the estimate began
	Slow      bool          `json:"slow"`
	Since     time.Time     `json:"since"`   // when the class began; zero if it never changed
	Hold      time.Duration `json:"hold_ns"` // least time as slow, when it was last classed so
}

// State returns the known workers, ordered by identifier.
func (l *Learner) State() []WorkerState {
	states := make([]WorkerState, 0, len(l.workers))
	for _, w := range l.workers {
		states = append(states, WorkerState{
			ID: w.id, Speed: l.Speed(w.id), Deviation: math.Sqrt(w.variance), Runs: w.runs, Slow: w.slow, Since: w.since, Hold: w.hold,
		})
	}
	slices.SortFunc(states, func(a, b WorkerState) int { return cmp.Compare(a.ID, b.ID) })
	return states
}
