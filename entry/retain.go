package entry

import "time"

// maxRetainedBytes bounds the answers kept for repetitions and GET, so that
// large answers do not use up the memory of a small instance before their
// retention is over.
const maxRetainedBytes = 64 << 20

const (
	// leasedRetention of the answers to leased jobs. Callers send a job again
	// about a second after they lost its answer.
	leasedRetention = 10 * time.Second
	// maxLeasedAnswers bounds the memory of these answers, about 1 KB each. At
	// 1,000 jobs a second they last for the retention.
	maxLeasedAnswers = 10000
)

// outcomeDone is the outcome of a job whose answer is complete.
const outcomeDone = "done"

// retained are answered jobs in the order of their answers.
type retained struct {
	jobs  []kept
	bytes int
}

type kept struct {
	job *job
	at  time.Time
}

func (r *retained) add(j *job, now time.Time) {
	r.jobs = append(r.jobs, kept{j, now})
	r.bytes += len(j.answer.body)
}

// removeOldest returns the job that was answered first.
func (r *retained) removeOldest() *job {
	j := r.jobs[0].job
	r.bytes -= len(j.answer.body)
	r.jobs[0] = kept{}
	r.jobs = r.jobs[1:]
	return j
}

// expired reports whether the oldest answer was kept for the retention period.
func (r *retained) expired(now time.Time, retention time.Duration) bool {
	return len(r.jobs) > 0 && now.Sub(r.jobs[0].at) > retention
}

// keep stores an answered job until its retention is over. The answer of a
// submission with a key is kept as long as the claim, for its repetitions.
func (d *dispatcher) keep(j *job) {
	d.openJobs--
	if d.openJobs == 0 && d.idle != nil {
		close(d.idle)
		d.idle = nil
	}
	switch {
	case j.leased != nil:
		d.answered.add(j, d.now)
	case j.keyed:
		d.keyed.add(j, d.now)
	default:
		d.kept.add(j, d.now)
	}
	d.forgetAnswers()
}

// forgetAnswers drops answers whose retention is over, and above the bound on
// memory the oldest ones, first those without a key.
func (d *dispatcher) forgetAnswers() {
	for d.kept.expired(d.now, d.limits.AnswerRetention.AsDuration()) {
		delete(d.jobs, d.kept.removeOldest().id)
	}
	for d.answered.expired(d.now, leasedRetention) || len(d.answered.jobs) > maxLeasedAnswers {
		j := d.answered.removeOldest()
		delete(d.jobs, j.id)
		j.leased.forgotten = true
		d.forgetLeased(j)
	}
	for d.keyed.expired(d.now, d.limits.ClaimRetention.AsDuration()) {
		delete(d.jobs, d.keyed.removeOldest().id)
	}
	for d.kept.bytes+d.keyed.bytes > maxRetainedBytes {
		oldest := &d.keyed
		if len(d.kept.jobs) > 0 {
			oldest = &d.kept
		}
		delete(d.jobs, oldest.removeOldest().id)
	}
}

// whenIdle returns a channel that is closed when no job is open.
func (d *dispatcher) whenIdle() <-chan struct{} {
	if d.idle == nil {
		d.idle = make(chan struct{})
	}
	c := d.idle
	if d.openJobs == 0 {
		close(c)
		d.idle = nil
	}
	return c
}
