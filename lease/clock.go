package lease

import "time"

// clockBound keeps a lower bound of a worker's clock from the samples that come
// with its answers.
type clockBound struct {
	sample    WorkerTime
	sampledAt time.Time // when the answer with the sample arrived; zero: none did
}

// observe takes the sample of an answer that arrived at the given time. The
// sample is at least as old as the answer, so the bound holds whatever the
// answer's delay. An older answer that arrives late does not lower the bound.
func (b *clockBound) observe(at time.Time, sample WorkerTime) {
	if sample > 0 && sample > b.min(at) {
		b.sample, b.sampledAt = sample, at
	}
}

// min returns a time that the worker's clock has certainly passed; 0 when no
// sample is known.
func (b *clockBound) min(now time.Time) WorkerTime {
	if b.sampledAt.IsZero() {
		return 0
	}
	elapsed := max(0, now.Sub(b.sampledAt))
	return b.sample + elapsed - WorkerTime(float64(elapsed)*ClockDrift)
}
