// Package queue holds waiting tasks and decides which one is dispatched next.
//
// The order is set by a Policy. Urgency, the default, orders by
//
//  1. urgency: 0 before 1. A waiting job is promoted by one step each
//     Options.AgingStep, and sooner if needed to reach urgency 0 by half of
//     its time to the deadline;
//  2. fairness between client accounts: the account with the least attained
//     work, which is the expected work of its started tasks, is served first.
//     An account that had nothing waiting starts with the attained work of the
//     account served last, so it gains no credit for idle time;
//  3. within an account, the job with the least remaining work, where every
//     second that a job has waited counts as one second of work less. Jobs that
//     arrived later may be served before a job (bypass it) for at most half of
//     its time to the deadline, or Options.MaxBypassTime if that is shorter.
//
// Objective, Remaining and Value ignore urgency and accounts. Under each of
// them, later jobs bypass a job for at most the time given in 3.
//
// Due takes first the jobs that can still complete within their objective, in
// the order of their latest starts (arrival + objective - expected duration);
// among latest starts in the same interval of 50 ms the more urgent job is first.
// Next come the jobs that can only complete late, by value per core-second. Each
// of the two is shared between accounts as in 2. A job that can no longer earn
// anything is reported by Expired if none of its tasks was dispatched, and is
// otherwise served after all others. Jobs without a deadline or an objective
// never become worthless; those without a deadline are served first once later
// jobs have bypassed them for Options.MaxBypassTime.
//
// Tasks of one class have the same placement constraints. Next checks once for
// each class that could come next whether a task of it can be placed, and skips
// all jobs of an infeasible class at once. Its cost grows with the number of
// waiting classes and with the logarithm of the number of jobs, not with the
// number of tasks.
//
// # Use
//
// The caller runs one loop: it adds the tasks of each accepted job, and whenever
// capacity may have become free it calls Next until that returns false. For
// every task it calls RecordStarted with the expected work, sends the task, and
// calls Requeue if the task is proved not to have started. It calls Remove when
// a job is answered, fails or is cancelled. A caller that keeps no timers for the
// jobs' deadlines calls Expired from a timer. If a task cannot be placed although
// feasible returned true, the caller requeues it and waits for the next change
// instead of calling Next again at once.
//
// A job is kept until Remove, even when all its tasks have been dispatched,
// because Requeue can return a task to it. Queue reads no clock and takes no
// lock; the caller serialises its calls.
package queue

import (
	"maps"
	"slices"
	"time"
)

// Defaults of Options.
const (
	// DefaultAgingStep is about twice the duration of the longest common task,
	// so a job waits for several rounds of more urgent work before it is promoted.
	DefaultAgingStep = 2 * time.Second
	// DefaultMaxBypassTime is the longest deadline, so that for jobs with a
	// deadline half of the deadline is the limit. With 10 s, jobs of more than
	// 10 s of work were served in order of arrival, which at 110 % load raised
	// the 99th percentile of small jobs' response time relative to the ideal
	// one from 18 to 134.
	DefaultMaxBypassTime = 60 * time.Second
	// DefaultMaxCredit limits how much work an account that could not run for
	// lack of capacity may receive ahead of other accounts afterwards.
	DefaultMaxCredit = 10 * time.Second
	// minSweepAccounts is the number of accounts below which idle ones are not
	// searched for.
	minSweepAccounts = 256
)

// Options configures a Queue. A zero field takes its default.
type Options struct {
	Policy        Policy        // order of the tasks; nil is Urgency
	AgingStep     time.Duration // waiting time that promotes a job by one urgency
	MaxBypassTime time.Duration // longest time for which later jobs bypass a job; under Urgency, jobs of the same account
	MaxCredit     time.Duration // work that an account can save up while it lacks capacity
}

// TaskRef identifies one task by its job and its index in the job.
type TaskRef struct {
	Job   string
	Index int
}

// Job describes a job whose tasks are added to the queue.
type Job struct {
	ID      string
	Account string
	Class   string // tasks of one class have the same placement constraints
	Urgency int    // 0 is most urgent; negative values count as 0
	Arrived time.Time
	// Deadline is the time from which the job's tasks are no longer
	// dispatched; zero means none.
	Deadline time.Time
	Expected time.Duration // expected duration of one task
	// Objective is the response time, from the arrival, within which the job
	// should complete. 0 takes half of the time to the deadline, at most
	// MaxBypassTime. Values above MaxObjective are reduced to it.
	Objective time.Duration
	MilliCPU  int64   // of one task, in thousandths of a core; 0 counts as one core
	Value     float64 // of the job's completion, relative to other jobs; 0 counts as 1
}

// Queue holds the waiting tasks of all jobs.
type Queue struct {
	options       Options
	jobs          map[string]*job
	accounts      map[string]*account
	levels        []*level // those with waiting jobs, in order of urgency
	aging         heap[*job]
	expiry        heap[*job]
	expired       map[string]bool // expired jobs that Expired has not returned yet
	tasks         int
	work          time.Duration
	virtualTime   float64 // attained work of the account served last, in seconds
	arrivals      uint64
	epoch         time.Time // arrival of the first job
	feasibilities map[string]*feasibility
	calls         uint64 // number of calls of Next
	sweepAt       int    // number of accounts at which idle ones are deleted
	jobLess       func(a, b *job) bool
}

// New returns an empty queue.
func New(o Options) *Queue {
	if o.Policy == nil {
		o.Policy = Urgency{}
	}
	if o.AgingStep <= 0 {
		o.AgingStep = DefaultAgingStep
	}
	if o.MaxBypassTime <= 0 {
		o.MaxBypassTime = DefaultMaxBypassTime
	}
	if o.MaxCredit <= 0 {
		o.MaxCredit = DefaultMaxCredit
	}
	return &Queue{
		options:       o,
		jobs:          make(map[string]*job),
		accounts:      make(map[string]*account),
		expired:       make(map[string]bool),
		feasibilities: make(map[string]*feasibility),
		sweepAt:       minSweepAccounts,
		jobLess:       o.Policy.less,
		aging: heap[*job]{
			less:     func(a, b *job) bool { return a.changeAt.Before(b.changeAt) },
			position: func(j *job) *int { return &j.agingIndex },
		},
		expiry: heap[*job]{
			less:     func(a, b *job) bool { return a.Deadline.Before(b.Deadline) },
			position: func(j *job) *int { return &j.expiryIndex },
		},
	}
}

// Add adds tasks of a job to the queue. Tasks of a known job are added after its
// other tasks, and the description from the first call is kept. Indexes that are
// already waiting are ignored; an index that was dispatched is queued again.
func (q *Queue) Add(now time.Time, j Job, indexes []int) {
	known, ok := q.jobs[j.ID]
	if !ok {
		known = q.newJob(j, now)
		q.jobs[j.ID] = known
	}
	for _, i := range indexes {
		if known.waiting[i] {
			continue
		}
		known.waiting[i] = true
		known.pending = append(known.pending, i)
		q.adjustTotals(known, 1)
	}
	q.attach(known)
}

// Requeue returns a task that was proved not to have started to the front of its
// job. A task of a removed job, or one that was not dispatched, is ignored.
func (q *Queue) Requeue(ref TaskRef) {
	j, ok := q.jobs[ref.Job]
	if !ok {
		return
	}
	if waiting, dispatched := j.waiting[ref.Index]; waiting || !dispatched {
		return
	}
	j.waiting[ref.Index] = true
	j.returned = append(j.returned, ref.Index)
	q.adjustTotals(j, 1)
	q.attach(j)
}

// PutBack is Requeue for a task that the caller did not dispatch after Next returned it,
// so that its job does not count as begun because of that.
func (q *Queue) PutBack(ref TaskRef) {
	if j, ok := q.jobs[ref.Job]; ok {
		if waiting, dispatched := j.waiting[ref.Index]; dispatched && !waiting {
			j.dispatches--
		}
	}
	q.Requeue(ref)
}

// Next removes the task to dispatch next and returns it. feasible reports whether
// a task of the class can be placed now; nil means that all classes can. The
// caller must call RecordStarted for the task before it calls Next again.
func (q *Queue) Next(now time.Time, feasible func(class string) bool) (TaskRef, bool) {
	q.advance(now)
	q.calls++
	for _, l := range q.levels {
		if s := l.nextAccount(q.calls, feasible, q.jobLess); s != nil {
			return q.popTask(s), true
		}
	}
	return TaskRef{}, false
}

func (q *Queue) popTask(s *accountQueue) TaskRef {
	a := s.account
	q.virtualTime = max(q.virtualTime, a.attained)
	// An account that lacked capacity catches up by at most MaxCredit.
	q.raiseAttained(a, q.virtualTime-q.options.MaxCredit.Seconds())
	j := s.jobs.top()
	index := j.pop()
	j.waiting[index] = false
	j.dispatches++
	q.adjustTotals(j, -1)
	// Under every policy the job stays the first of its account when its
	// remaining work decreases, so its heap position need not be fixed.
	if j.queued() == 0 {
		q.detach(j)
	}
	return TaskRef{Job: j.ID, Index: index}
}

// RecordStarted adds the expected work of a dispatched task to the account's
// attained work. A negative value corrects an earlier call, for example when the
// task was requeued.
func (q *Queue) RecordStarted(account string, work time.Duration) {
	a, ok := q.accounts[account]
	if !ok {
		return
	}
	a.attained = max(a.attained+work.Seconds(), 0)
	a.reorder()
}

// RecordBegun records that a task of the job was started that is not in the queue. Under
// Due its other tasks then wait until the job ends, as after Next.
func (q *Queue) RecordBegun(id string) {
	if j, ok := q.jobs[id]; ok {
		j.dispatches++
	}
}

// Remove deletes a job and returns the indexes of its waiting tasks in ascending
// order. It must be called for every job when the job ends.
func (q *Queue) Remove(id string) []int {
	j, ok := q.jobs[id]
	if !ok {
		return nil
	}
	delete(q.jobs, id)
	delete(q.expired, id)
	withdrawn := make([]int, 0, j.queued())
	for j.queued() > 0 {
		withdrawn = append(withdrawn, j.pop())
	}
	slices.Sort(withdrawn)
	q.tasks -= len(withdrawn)
	q.work -= time.Duration(len(withdrawn)) * j.Expected
	q.detach(j)
	return withdrawn
}

// Expired returns the identifiers, in ascending order, of jobs whose deadline
// passed while tasks were waiting and, under Due, of jobs that can no longer earn
// anything and of which no task was dispatched, nor started otherwise (RecordBegun). Each
// job is returned once. Its tasks are no longer dispatched and are kept until Remove.
func (q *Queue) Expired(now time.Time) []string {
	q.advance(now)
	expired := slices.Sorted(maps.Keys(q.expired))
	clear(q.expired)
	return expired
}

// Len returns the number of waiting tasks.
func (q *Queue) Len() int { return q.tasks }

// Work returns the sum of the expected durations of all waiting tasks.
func (q *Queue) Work() time.Duration { return q.work }

// MostUrgent returns the urgency of the most urgent waiting job, after promotion
// by aging; ok is false if no job waits. Under policies that ignore urgency the
// result is 0 if the bypass time of a waiting job is over, and 1 otherwise. Under
// Due it is 1 if a waiting job can still be on time, 2 if the jobs can only be
// late and 3 if they cannot earn anything; 0 only concerns jobs without deadline.
func (q *Queue) MostUrgent() (urgency int, ok bool) {
	if len(q.levels) == 0 {
		return 0, false
	}
	return q.levels[0].urgency, true
}

func (q *Queue) adjustTotals(j *job, tasks int) {
	q.tasks += tasks
	q.work += time.Duration(tasks) * j.Expected
}
