package queue

// Remaining takes the next task from the job with the least expected work left
// in its waiting tasks.
type Remaining struct{ boundedBypass }

// Name implements Policy.
func (Remaining) Name() string { return "remaining" }

func (Remaining) less(a, b *job) bool {
	workA, workB := a.remaining(), b.remaining()
	if a.urgency == levelFIFO || workA == workB {
		return arrivedBefore(a, b)
	}
	return workA < workB
}
