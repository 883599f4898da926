package queue

// Objective takes the next task from the job whose response-time objective ends
// earliest.
type Objective struct{ boundedBypass }

// Name implements Policy.
func (Objective) Name() string { return "objective" }

func (Objective) less(a, b *job) bool {
	endA, endB := a.arrivalOffset+a.objective, b.arrivalOffset+b.objective
	if a.urgency == levelFIFO || endA == endB {
		return arrivedBefore(a, b)
	}
	return endA < endB
}
