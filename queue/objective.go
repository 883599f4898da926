package queue

// Objective takes the next task from the job with the earliest objective.
type Objective struct{ unranked }

// Name implements Policy.
func (Objective) Name() string { return "objective" }

func (Objective) less(a, b *job) bool {
	ends, endsB := a.arrived+a.objective, b.arrived+b.objective
	if a.urgency == levelFirst || ends == endsB {
		return arrivedBefore(a, b)
	}
	return ends < endsB
}
