package queue

import "time"

// Urgency takes the next task from the most urgent job. Among equally urgent
// jobs it takes it from the client account with the least attained work, and
// within that account from the job with the least remaining work, with aging.
// The package comment has the details.
type Urgency struct{}

// Name implements Policy.
func (Urgency) Name() string { return "urgency" }

func (Urgency) initialise(j *job, o Options) {
	j.urgency, j.agingStep = j.Urgency, o.AgingStep
	if !j.Deadline.IsZero() {
		half := max(j.Deadline.Sub(j.Arrived)/2, 0)
		j.agingStep = min(j.agingStep, half/time.Duration(max(j.Urgency, 1)))
	}
	j.changeAt = j.Arrived.Add(j.agingStep)
}

// update promotes a job by one urgency for each agingStep that it has waited.
func (Urgency) update(j *job, now time.Time) {
	for j.urgency > 0 && !j.changeAt.After(now) {
		j.urgency--
		j.changeAt = j.changeAt.Add(j.agingStep)
	}
}

func (Urgency) account(j *job) string { return j.Account }

// less compares arrival time plus remaining work, the latter limited to the
// bypass time. Every job ages at the same speed under this key, so the order of
// two jobs changes only when their remaining work changes.
func (Urgency) less(a, b *job) bool {
	keyA, keyB := a.arrivalOffset+min(a.remaining(), a.bypassTime), b.arrivalOffset+min(b.remaining(), b.bypassTime)
	if keyA != keyB {
		return keyA < keyB
	}
	return a.arrivalOrder < b.arrivalOrder
}
