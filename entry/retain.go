package entry

import "time"

// maxRetainedBytes limits the answers kept for repetitions and for GET, so that
// large answers do not use up the memory of a small instance before their
// retention ends.
const maxRetainedBytes = 64 << 20

const (
	// leasedAnswerRetention is how long the answers to leased jobs are kept.
	// Callers submit a job again about a second after they lost its answer.
	leasedAnswerRetention = 10 * time.Second
	// maxLeasedAnswers limits the number of these answers, which use about 1 KB
	// each. Up to 1,000 jobs a second, all are kept for the full retention.
	maxLeasedAnswers = 10000
)

// outcomeDone is the outcome of a job whose answer has the results of all tasks.
const outcomeDone = "done"

// retainedJobs is a queue of answered jobs in the order of their answers.
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

// removeOldest removes and returns the job that was answered first. There must
// be one.
func (r *retainedJobs) removeOldest() *job {
	j := r.jobs[0].job
	r.bytes -= len(j.answer.body)
	r.jobs[0] = retainedJob{}
	r.jobs = r.jobs[1:]
	return j
}

// oldestExpired reports whether the oldest answer is older than the retention
// period.
func (r *retainedJobs) oldestExpired(now time.Time, retention time.Duration) bool {
	return len(r.jobs) > 0 && now.Sub(r.jobs[0].answeredAt) > retention
}

// retainAnswer counts a job as no longer open and keeps it until the retention of
// its answer ends. The answer to a submission with an idempotency key is kept as
// long as the claim, for repetitions.
func (d *dispatcher) retainAnswer(j *job) {
	d.jobClosed()
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

// jobClosed counts a job that is no longer open.
func (d *dispatcher) jobClosed() {
	d.openJobs--
	if d.openJobs == 0 && d.idle != nil {
		close(d.idle)
		d.idle = nil
	}
}

// evictAnswers removes answers whose retention has ended. Above
// maxRetainedBytes it removes the oldest answers, those without an idempotency
// key first.
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

// whenIdle returns a channel that is closed as soon as no job is open.
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
