package lease

import "time"

// observe records an answer of the worker with its clock.
func (r *RunTable) observe(now time.Time, clock WorkerTime) {
	r.clock.observe(now, clock)
	r.answeredAt = now
}

// survived returns the time from the answer that showed that the run began to the
// worker's newest answer. It is 0 for a run that is not known to have begun: its
// start order, or the answer to it, may have been lost with the worker.
func (e *entry) survived(answeredAt time.Time) time.Duration {
	if !e.began {
		return 0
	}
	return answeredAt.Sub(e.beganAt)
}
