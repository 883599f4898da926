package queue

import (
	"slices"
	"time"
)

// level holds the waiting jobs of one urgency. Policies that ignore urgency
// have the levels levelFirst and levelRest.
type level struct {
	urgency int
	classes map[string]*class
	list    []*class // the same classes; Next goes through them
}

// class holds the waiting jobs of one urgency and class, by account.
type class struct {
	room   *room
	shares heap[*share]
	index  int // in level.list
}

// room is the answer to whether a class has room, for all levels.
type room struct {
	name  string
	uses  int    // levels in which the class has waiting jobs
	asked uint64 // number of the call of Next that asked
	has   bool
}

// share holds the waiting jobs of one account in one class of a level.
type share struct {
	account *account
	jobs    heap[*job]
	index   int // in class.shares
	class   *class
}

// account is kept while it has waiting jobs, and afterwards while its attained
// work is ahead of the account served last.
type account struct {
	name     string
	attained float64  // seconds of work; int64 nanoseconds would overflow within weeks at 8,000 slots
	shares   []*share // in every level and class where it waits
}

// job is a Job with the state of its tasks.
type job struct {
	Job
	urgency  int       // level in which the job waits; 0 is served first
	changeAt time.Time // next change of the position that depends on time alone
	// passed is the time after its arrival until which later jobs may pass
	// the job: half of the time to its deadline, or Options.MaxPassed if that
	// is shorter.
	passed    time.Duration
	step      time.Duration // waiting time that promotes by one urgency; Urgency only
	objective time.Duration // after the arrival
	worth     float64       // of its completion if it started now; Value only
	arrived   time.Duration // since the queue's first job
	arrival   uint64        // order of arrival
	waiting   map[int]bool  // true: in front or back; false: given out
	front     []int         // returned tasks, the next one last
	back      []int
	next      int // first unread position of back

	share                               *share // nil while detached
	shareIndex, agingIndex, expiryIndex int
	expired                             bool
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
		Job:       j,
		passed:    q.options.MaxBypassTime,
		objective: min(j.Objective, MaxObjective),
		arrived:   j.Arrived.Sub(q.epoch), arrival: q.arrivals,
		waiting: make(map[int]bool),
	}
	if !j.Deadline.IsZero() {
		n.passed = min(n.passed, max(j.Deadline.Sub(j.Arrived)/2, 0))
	}
	if n.objective <= 0 {
		n.objective = n.passed
	}
	q.options.Policy.enter(n, q.options)
	return n
}

func (j *job) queued() int { return len(j.front) + len(j.back) - j.next }

// pop takes out the job's next task.
func (j *job) pop() int {
	if last := len(j.front) - 1; last >= 0 {
		index := j.front[last]
		j.front = j.front[:last]
		return index
	}
	index := j.back[j.next]
	j.next++
	if j.next == len(j.back) {
		j.back, j.next = j.back[:0], 0
	}
	return index
}

func shareLess(a, b *share) bool {
	if a.account.attained != b.account.attained {
		return a.account.attained < b.account.attained
	}
	return a.account.name < b.account.name
}

// ask asks once in each call of Next.
func (r *room) ask(call uint64, feasible func(class string) bool) bool {
	if feasible == nil {
		return true
	}
	if r.asked != call {
		r.asked, r.has = call, feasible(r.name)
	}
	return r.has
}

// best returns the share to serve, or nil if no class of the level has room.
// Classes that could not come first are not asked for.
func (l *level) best(call uint64, feasible func(class string) bool, less func(a, b *job) bool) *share {
	var best *share
	for _, c := range l.list {
		s := c.shares.top()
		if best != nil && !before(s, best, less) {
			continue
		}
		if c.room.ask(call, feasible) {
			best = s
		}
	}
	return best
}

// before orders the first shares of two classes.
func before(a, b *share, less func(a, b *job) bool) bool {
	if a.account != b.account {
		return shareLess(a, b)
	}
	return less(a.jobs.top(), b.jobs.top())
}

// attach puts a job with waiting tasks where its urgency, class and account
// say, or moves it there after its work changed.
func (q *Queue) attach(j *job) {
	if j.queued() == 0 || j.expired {
		return
	}
	if j.share != nil {
		j.share.jobs.fix(j.shareIndex)
		return
	}
	s := q.shareOf(j)
	s.jobs.push(j)
	j.share = s
	if j.urgency > 0 {
		q.aging.push(j)
	}
	if !j.Deadline.IsZero() {
		q.expiry.push(j)
	}
}

// detach takes a job out of the order.
func (q *Queue) detach(j *job) {
	s := j.share
	if s == nil {
		return
	}
	if j.urgency > 0 {
		q.aging.remove(j.agingIndex)
	}
	if !j.Deadline.IsZero() {
		q.expiry.remove(j.expiryIndex)
	}
	s.jobs.remove(j.shareIndex)
	j.share = nil
	if s.jobs.len() == 0 {
		q.dropShare(s, j.urgency)
	}
}

func (q *Queue) shareOf(j *job) *share {
	c := q.classOf(j)
	a := q.accountOf(q.options.Policy.account(j))
	for _, s := range a.shares {
		if s.class == c {
			return s
		}
	}
	s := &share{account: a, class: c, jobs: heap[*job]{
		less:     q.jobLess,
		position: func(j *job) *int { return &j.shareIndex },
	}}
	a.shares = append(a.shares, s)
	c.shares.push(s)
	return s
}

func (q *Queue) classOf(j *job) *class {
	i, found := q.findLevel(j.urgency)
	if !found {
		q.levels = slices.Insert(q.levels, i, &level{urgency: j.urgency, classes: make(map[string]*class)})
	}
	l := q.levels[i]
	c, ok := l.classes[j.Class]
	if !ok {
		c = &class{room: q.roomOf(j.Class), index: len(l.list), shares: heap[*share]{
			less:     shareLess,
			position: func(s *share) *int { return &s.index },
		}}
		l.classes[j.Class] = c
		l.list = append(l.list, c)
	}
	return c
}

func (q *Queue) roomOf(class string) *room {
	r, ok := q.rooms[class]
	if !ok {
		r = &room{name: class}
		q.rooms[class] = r
	}
	r.uses++
	return r
}

func (q *Queue) findLevel(urgency int) (int, bool) {
	return slices.BinarySearchFunc(q.levels, urgency, func(l *level, u int) int { return l.urgency - u })
}

// accountOf returns the account. One that had nothing waiting starts level
// with the account served last, so that it neither waits for past work of
// others nor takes all slots for its idle time.
func (q *Queue) accountOf(name string) *account {
	a, ok := q.accounts[name]
	if !ok {
		q.sweep()
		a = &account{name: name}
		q.accounts[name] = a
	}
	if len(a.shares) == 0 {
		a.attained = max(a.attained, q.virtual)
	}
	return a
}

// sweep forgets accounts without waiting jobs that would start at the same
// attained work if they came back. It runs when the number of accounts
// doubled, so its cost for each new account is constant.
func (q *Queue) sweep() {
	if len(q.accounts) < q.sweepAt {
		return
	}
	for name, a := range q.accounts {
		if len(a.shares) == 0 && a.attained <= q.virtual {
			delete(q.accounts, name)
		}
	}
	q.sweepAt = max(2*len(q.accounts), minSweep)
}

func (q *Queue) dropShare(s *share, urgency int) {
	s.class.shares.remove(s.index)
	a := s.account
	a.shares = slices.DeleteFunc(a.shares, func(o *share) bool { return o == s })
	if s.class.shares.len() > 0 {
		return
	}
	i, _ := q.findLevel(urgency)
	q.levels[i].drop(s.class)
	if len(q.levels[i].list) == 0 {
		q.levels = slices.Delete(q.levels, i, i+1)
	}
	if s.class.room.uses--; s.class.room.uses == 0 {
		delete(q.rooms, s.class.room.name)
	}
}

func (l *level) drop(c *class) {
	delete(l.classes, c.room.name)
	last := len(l.list) - 1
	l.list[c.index] = l.list[last]
	l.list[c.index].index = c.index
	l.list[last] = nil
	l.list = l.list[:last]
}

// raise lifts an account's attained work to at least the given one.
func (q *Queue) raise(a *account, least float64) {
	if a.attained < least {
		a.attained = least
		a.reorder()
	}
}

func (a *account) reorder() {
	for _, s := range a.shares {
		s.class.shares.fix(s.index)
	}
}

// advance applies the changes of the order that are due and takes out the jobs
// whose deadline passed.
func (q *Queue) advance(now time.Time) {
	for q.expiry.len() > 0 && !q.expiry.top().Deadline.After(now) {
		j := q.expiry.top()
		q.detach(j)
		j.expired = true
		q.expired[j.ID] = true
	}
	for q.aging.len() > 0 && !q.aging.top().changeAt.After(now) {
		j := q.aging.top()
		q.detach(j)
		q.options.Policy.change(j, now)
		q.attach(j)
	}
}
