package entry

import "time"

// maxRetainedBytes bounds the answers kept for repetitions and GET, so that
// large answers do not use up the memory of a small instance before their
// retention is over.
const maxRetainedBytes = 64 << 20

const (
	// leasedAnswerRetention of the answers to leased jobs. Callers send a job again
	// about a second after they lost its answer.
	leasedAnswerRetention = 10 * time.Second
	// maxLeasedAnswers bounds the memory of these answers, about 1 KB each. At
	// 1,000 jobs a second they last for the retention.
	maxLeasedAnswers = 10000
)

// outcomeDone is the outcome of a job whose answer is complete.
const outcomeDone = "done"

// retainedJobs are answered jobs in the order of their answers.
type retainedJobs struct {
	jobs  []retainedJob
	bytes int
}

type retainedJob struct {
	job        *job
	answeredAt time.Time
}

func (r *retainedJobs) add(j *job, now time.Time) {
	r.jobs = append(r.jobs, retainedJob{j, now})
	r.bytes += len(j.answer.body)
}

// removeOldest returns the job that was answered first.
func (r *retainedJobs) removeOldest() *job {
	j := r.jobs[0].job
	r.bytes -= len(j.answer.body)
	r.jobs[0] = retainedJob{}
	r.jobs = r.jobs[1:]
	return j
}

// oldestExpired reports whether the oldest answer was kept for the retention period.
func (r *retainedJobs) oldestExpired(now time.Time, retention time.Duration) bool {
	return len(r.jobs) > 0 && now.Sub(r.jobs[0].answeredAt) > retention
}

// retainAnswer stores an answered job until its retention is over. The answer of a
// submission with a key is kept as long as the claim, for its repetitions.
func (d *dispatcher) retainAnswer(j *job) {
	d.openJobs--
	if d.openJobs == 0 && d.idle != nil {
		close(d.idle)
		d.idle = nil
	}
	switch {
	case j.leased != nil:
		d.answeredLeased.add(j, d.now)
	case j.keyed:
		d.answeredKeyed.add(j, d.now)
	default:
		d.answeredUnkeyed.add(j, d.now)
	}
	d.evictAnswers()
}

// evictAnswers drops answers whose retention is over, and above the bound on
// memory the oldest ones, first those without a key.
func (d *dispatcher) evictAnswers() {
	for d.answeredUnkeyed.oldestExpired(d.now, d.limits.AnswerRetention.AsDuration()) {
		delete(d.jobs, d.answeredUnkeyed.removeOldest().id)
	}
	for d.answeredLeased.oldestExpired(d.now, leasedAnswerRetention) || len(d.answeredLeased.jobs) > maxLeasedAnswers {
		j := d.answeredLeased.removeOldest()
		delete(d.jobs, j.id)
		j.leased.answerEvicted = true
		d.forgetIdentifier(j)
	}
	for d.answeredKeyed.oldestExpired(d.now, d.limits.ClaimRetention.AsDuration()) {
		delete(d.jobs, d.answeredKeyed.removeOldest().id)
	}
	for d.answeredUnkeyed.bytes+d.answeredKeyed.bytes > maxRetainedBytes {
		oldest := &d.answeredKeyed
		if len(d.answeredUnkeyed.jobs) > 0 {
			oldest = &d.answeredUnkeyed
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
