package queue

import "time"

// Urgency takes the next task from the most urgent job; among equally urgent
// ones from the client account with the least attained work, and within it from
// the job with the least remaining work, with aging. The package comment has the
// details.
type Urgency struct{}

// Name implements Policy.
func (Urgency) Name() string { return "urgency" }

func (Urgency) enter(j *job, o Options) {
	j.urgency, j.step = j.Urgency, o.AgingStep
	if !j.Deadline.IsZero() {
		half := max(j.Deadline.Sub(j.Arrived)/2, 0)
		j.step = min(j.step, half/time.Duration(max(j.Urgency, 1)))
	}
	j.changeAt = j.Arrived.Add(j.step)
}

// change promotes a job as many steps as its waiting time allows.
func (Urgency) change(j *job, now time.Time) {
	for j.urgency > 0 && !j.changeAt.After(now) {
		j.urgency--
		j.changeAt = j.changeAt.Add(j.step)
	}
}

func (Urgency) account(j *job) string { return j.Account }

// less compares arrival plus remaining work, so a waiting job gains on every
// later one at the same speed and the order of two jobs changes only when their
// work does.
func (Urgency) less(a, b *job) bool {
	ka, kb := a.arrived+min(a.remaining(), a.passed), b.arrived+min(b.remaining(), b.passed)
	if ka != kb {
		return ka < kb
	}
	return a.arrival < b.arrival
}
