package queue

import (
	"slices"
	"time"
)

// level holds the waiting jobs of one urgency. Policies that ignore urgency and
// accounts have the levels levelFIFO and levelPolicy, and Due those of its own.
type level struct {
	urgency   int
	classes   map[string]*classQueue
	classList []*classQueue // the values of classes, for iteration by Next
}

// classQueue holds the waiting jobs of one urgency and class, by account.
type classQueue struct {
	feasibility *feasibility
	accounts    heap[*accountQueue]
	index       int // in level.classList
}

// feasibility caches, for all levels, whether a task of a class can be placed
// now. The cached value is valid during one call of Next.
type feasibility struct {
	name     string
	refs     int    // number of levels in which the class has waiting jobs
	call     uint64 // number of the call of Next that computed feasible
	feasible bool
}

// accountQueue holds the waiting jobs of one account in one class of a level.
type accountQueue struct {
	account    *account
	jobs       heap[*job]
	index      int // in classQueue.accounts
	classQueue *classQueue
}

// account is the fair-queueing state of a client account. It is kept while the
// account has waiting jobs, and afterwards while its attained work is ahead of
// the account served last.
type account struct {
	name     string
	attained float64         // seconds of work; int64 nanoseconds would overflow within weeks at 8,000 slots
	queues   []*accountQueue // one for each level and class in which the account has waiting jobs
}

// job is a Job with the state of its tasks.
type job struct {
	Job
	urgency  int       // level in which the job waits; 0 is served first
	changeAt time.Time // when the position next changes by the passage of time alone
	// bypassTime is the time after the job's arrival during which jobs that
	// arrived later may be served before it: half of the time to its deadline,
	// or Options.MaxBypassTime if that is shorter.
	bypassTime    time.Duration
	agingStep     time.Duration // waiting time that promotes by one urgency; Urgency only
	objective     time.Duration // after the arrival
	currentValue  float64       // that the job earns if its tasks start now; Value only
	latestStart   time.Duration // for the objective, from the arrival of the queue's first job; Due only
	hasObjective  bool          // the caller gave an objective; Due only
	dispatches    int           // tasks dispatched so far and not put back
	arrivalOffset time.Duration // from the arrival of the queue's first job
	arrivalOrder  uint64        // sequence number of the arrival
	waiting       map[int]bool  // true: in returned or pending; false: dispatched
	returned      []int         // requeued tasks, served first; a stack
	pending       []int
	pendingHead   int // index of the next task in pending

	accountQueue                          *accountQueue // nil while detached
	accountIndex, agingIndex, expiryIndex int
	expired                               bool
}

func (q *Queue) newJob(j Job, now time.Time) *job {
	if j.Arrived.IsZero() {
		j.Arrived = now
	}
	if q.epoch.IsZero() {
		q.epoch = j.Arrived
	}
	q.arrivals++
	j.Urgency = max(j.Urgency, 0)
	j.Expected = max(j.Expected, 0)
	n := &job{
		Job:           j,
		bypassTime:    q.options.MaxBypassTime,
		objective:     min(j.Objective, MaxObjective),
		arrivalOffset: j.Arrived.Sub(q.epoch), arrivalOrder: q.arrivals,
		waiting: make(map[int]bool),
	}
	if !j.Deadline.IsZero() {
		n.bypassTime = min(n.bypassTime, max(j.Deadline.Sub(j.Arrived)/2, 0))
	}
	if n.objective <= 0 {
		n.objective = n.bypassTime
	}
	q.options.Policy.initialise(n, q.options)
	return n
}

func (j *job) queued() int { return len(j.returned) + len(j.pending) - j.pendingHead }

// pop removes the job's next task and returns its index.
func (j *job) pop() int {
	if last := len(j.returned) - 1; last >= 0 {
		index := j.returned[last]
		j.returned = j.returned[:last]
		return index
	}
	index := j.pending[j.pendingHead]
	j.pendingHead++
	if j.pendingHead == len(j.pending) {
		j.pending, j.pendingHead = j.pending[:0], 0
	}
	return index
}

func lessAttained(a, b *accountQueue) bool {
	if a.account.attained != b.account.attained {
		return a.account.attained < b.account.attained
	}
	return a.account.name < b.account.name
}

// check returns whether the class is feasible. It calls the function feasible at
// most once during each call of Next.
func (r *feasibility) check(call uint64, feasible func(class string) bool) bool {
	if feasible == nil {
		return true
	}
	if r.call != call {
		r.call, r.feasible = call, feasible(r.name)
	}
	return r.feasible
}

// nextAccount returns the account queue to serve, or nil if no class of the
// level is feasible. Feasibility is not checked for classes whose first account
// comes after the best one found so far.
func (l *level) nextAccount(call uint64, feasible func(class string) bool, less func(a, b *job) bool) *accountQueue {
	var best *accountQueue
	for _, c := range l.classList {
		s := c.accounts.top()
		if best != nil && !lessAcrossClasses(s, best, less) {
			continue
		}
		if c.feasibility.check(call, feasible) {
			best = s
		}
	}
	return best
}

// lessAcrossClasses orders the first account queues of two classes.
func lessAcrossClasses(a, b *accountQueue, less func(a, b *job) bool) bool {
	if a.account != b.account {
		return lessAttained(a, b)
	}
	return less(a.jobs.top(), b.jobs.top())
}

// attach inserts a job with waiting tasks at the position given by its urgency,
// class and account. A job that is already attached is moved to its new position
// after its remaining work changed.
func (q *Queue) attach(j *job) {
	if j.queued() == 0 || j.expired {
		return
	}
	if j.accountQueue != nil {
		j.accountQueue.jobs.fix(j.accountIndex)
		return
	}
	s := q.accountQueueOf(j)
	s.jobs.push(j)
	j.accountQueue = s
	if j.urgency > 0 {
		q.aging.push(j)
	}
	if !j.Deadline.IsZero() {
		q.expiry.push(j)
	}
}

// detach removes a job from all heaps.
func (q *Queue) detach(j *job) {
	s := j.accountQueue
	if s == nil {
		return
	}
	if j.urgency > 0 {
		q.aging.remove(j.agingIndex)
	}
	if !j.Deadline.IsZero() {
		q.expiry.remove(j.expiryIndex)
	}
	s.jobs.remove(j.accountIndex)
	j.accountQueue = nil
	if s.jobs.len() == 0 {
		q.removeAccountQueue(s, j.urgency)
	}
}

func (q *Queue) accountQueueOf(j *job) *accountQueue {
	c := q.classQueueOf(j)
	a := q.accountOf(q.options.Policy.account(j))
	for _, s := range a.queues {
		if s.classQueue == c {
			return s
		}
	}
	s := &accountQueue{account: a, classQueue: c, jobs: heap[*job]{
		less:     q.jobLess,
		position: func(j *job) *int { return &j.accountIndex },
	}}
	a.queues = append(a.queues, s)
	c.accounts.push(s)
	return s
}

func (q *Queue) classQueueOf(j *job) *classQueue {
	i, found := q.findLevel(j.urgency)
	if !found {
		q.levels = slices.Insert(q.levels, i, &level{urgency: j.urgency, classes: make(map[string]*classQueue)})
	}
	l := q.levels[i]
	c, ok := l.classes[j.Class]
	if !ok {
		c = &classQueue{feasibility: q.feasibilityOf(j.Class), index: len(l.classList), accounts: heap[*accountQueue]{
			less:     lessAttained,
			position: func(s *accountQueue) *int { return &s.index },
		}}
		l.classes[j.Class] = c
		l.classList = append(l.classList, c)
	}
	return c
}

func (q *Queue) feasibilityOf(class string) *feasibility {
	r, ok := q.feasibilities[class]
	if !ok {
		r = &feasibility{name: class}
		q.feasibilities[class] = r
	}
	r.refs++
	return r
}

func (q *Queue) findLevel(urgency int) (int, bool) {
	return slices.BinarySearchFunc(q.levels, urgency, func(l *level, u int) int { return l.urgency - u })
}

// accountOf returns the account of that name, creating it if necessary. The
// attained work of an account without waiting jobs is raised to that of the
// account served last. Otherwise the account would take all slots to make up for
// the time in which it was idle.
func (q *Queue) accountOf(name string) *account {
	a, ok := q.accounts[name]
	if !ok {
		q.sweepIdleAccounts()
		a = &account{name: name}
		q.accounts[name] = a
	}
	if len(a.queues) == 0 {
		a.attained = max(a.attained, q.virtualTime)
	}
	return a
}

// sweepIdleAccounts deletes accounts without waiting jobs whose attained work
// would be raised to the same value if they were created again. It runs when the
// number of accounts has doubled, so its amortised cost for each new account is
// constant.
func (q *Queue) sweepIdleAccounts() {
	if len(q.accounts) < q.sweepAt {
		return
	}
	for name, a := range q.accounts {
		if len(a.queues) == 0 && a.attained <= q.virtualTime {
			delete(q.accounts, name)
		}
	}
	q.sweepAt = max(2*len(q.accounts), minSweepAccounts)
}

func (q *Queue) removeAccountQueue(s *accountQueue, urgency int) {
	s.classQueue.accounts.remove(s.index)
	a := s.account
	a.queues = slices.DeleteFunc(a.queues, func(o *accountQueue) bool { return o == s })
	if s.classQueue.accounts.len() > 0 {
		return
	}
	i, _ := q.findLevel(urgency)
	q.levels[i].remove(s.classQueue)
	if len(q.levels[i].classList) == 0 {
		q.levels = slices.Delete(q.levels, i, i+1)
	}
	if s.classQueue.feasibility.refs--; s.classQueue.feasibility.refs == 0 {
		delete(q.feasibilities, s.classQueue.feasibility.name)
	}
}

func (l *level) remove(c *classQueue) {
	delete(l.classes, c.feasibility.name)
	last := len(l.classList) - 1
	l.classList[c.index] = l.classList[last]
	l.classList[c.index].index = c.index
	l.classList[last] = nil
	l.classList = l.classList[:last]
}

// raiseAttained raises an account's attained work to least, if it is lower.
func (q *Queue) raiseAttained(a *account, least float64) {
	if a.attained < least {
		a.attained = least
		a.reorder()
	}
}

func (a *account) reorder() {
	for _, s := range a.queues {
		s.classQueue.accounts.fix(s.index)
	}
}

// advance detaches the jobs whose deadline has passed and applies the changes of
// position that are due.
func (q *Queue) advance(now time.Time) {
	for q.expiry.len() > 0 && !q.expiry.top().Deadline.After(now) {
		q.expire(q.expiry.top())
	}
	for q.aging.len() > 0 && !q.aging.top().changeAt.After(now) {
		j := q.aging.top()
		q.detach(j)
		q.options.Policy.update(j, now)
		if j.worthless() {
			q.expire(j)
		}
		q.attach(j)
	}
}

func (q *Queue) expire(j *job) {
	q.detach(j)
	j.expired = true
	q.expired[j.ID] = true
}
