package lease

import "time"

// clockBound maintains a lower bound of a worker's clock, computed from the
// clock samples in the worker's replies.
type clockBound struct {
	sample    WorkerTime
	sampledAt time.Time // when the reply with the sample arrived; zero without a sample
}

// observe records the clock sample of a reply that arrived at the given time.
// The worker took the sample before it sent the reply, so the bound holds
// however long the reply was delayed. An older reply that arrives late does not
// lower the bound.
func (b *clockBound) observe(at time.Time, sample WorkerTime) {
	if sample > 0 && sample > b.min(at) {
		b.sample, b.sampledAt = sample, at
	}
}

// min returns a time that the worker's clock has certainly reached by now, or 0
// if there is no sample. It assumes that the worker's clock runs slow by
// ClockDrift since the sample.
func (b *clockBound) min(now time.Time) WorkerTime {
	if b.sampledAt.IsZero() {
		return 0
	}
	elapsed := max(0, now.Sub(b.sampledAt))
	return b.sample + elapsed - WorkerTime(float64(elapsed)*ClockDrift)
}
