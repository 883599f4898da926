package queue

// Remaining takes the next task from the job with the least remaining work.
type Remaining struct{ unranked }

// Name implements Policy.
func (Remaining) Name() string { return "remaining" }

func (Remaining) less(a, b *job) bool {
	work, workB := a.remaining(), b.remaining()
	if a.urgency == levelFirst || work == workB {
		return arrivedBefore(a, b)
	}
	return work < workB
}
