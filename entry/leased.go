package entry

import (
	"crypto/sha256"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"chicorytray.example/chicorytray/config"
	"chicorytray.example/chicorytray/wire"
)

const (
	// maxIdentifier bounds the identifier that a caller gives to a job, in bytes.
	maxIdentifier = 128
	// maxInterruptions of one task. Each is a lost worker or session; a task
	// that meets more of them probably causes them.
	maxInterruptions = 20
)

// leasedJob is what a job of leased tasks has beside other jobs.
type leasedJob struct {
	name    string // the caller's identifier
	asked   workload
	callers int // submissions that wait for the answer

	objective time.Duration // of the response time, from the arrival
	// worthless is when the job is given up if no task has started. One that
	// has started goes on to its deadline: "failed" would not be true of it,
	// and a caller that is told nothing else sends it again from the start.
	worthless time.Time
	exhausted bool // a task failed as often as its template allows

	attempts      []uint8 // failed ones, by task
	interruptions []uint8 // by task
	restarts      []uint8 // of stalled or slow runs, by task
	// out counts the tasks at agents, and those whose run may go on.
	out     int
	ran     bool // some task started
	pending bool // counted in dispatcher.pending

	// after is an earlier job under the same identifier whose runs may go on.
	// Nothing of this job starts before they have ended.
	after     *job
	followers []*job      // jobs of which this one is the earlier
	durable   *durableJob // nil unless the job is durable

	cancelled  bool // on request, so that a repetition must not run
	repeatable bool // a repetition gets the same answer
	forgotten  bool // the answer is no longer kept
	answer     Answer
}

// workload is what must agree in submissions under one identifier.
type workload struct {
	account string
	durable bool
	count   int
	needs   config.Needs
	spec    [sha256.Size]byte // a hash, because it is kept with the answer
}

func workloadOf(s *submission) workload {
	w := workload{account: s.account.Name, durable: s.request.Durable, count: s.request.Count, spec: sha256.Sum256([]byte(s.request.Spec))}
	if s.request.Durable {
		w.needs = needsOf(s) // as its record has them, which other entries compare with
	} else if s.request.Needs != nil {
		w.needs = *s.request.Needs
	}
	return w
}

// needsOf returns what each task of the submission needs.
func needsOf(s *submission) config.Needs {
	if s.kind == config.KindLeased && s.request.Needs != nil {
		return *s.request.Needs
	}
	return s.template.Needs
}

// checkLeased refuses a submission whose fields do not fit the template's kind.
func checkLeased(s *submission) error {
	r := &s.request
	invalid := func(format string, args ...any) error {
		return notRun(http.StatusBadRequest, reasonInvalid, format, args...)
	}
	if s.kind != config.KindLeased {
		if r.Job != "" || r.Count != 0 || r.Needs != nil || r.Spec != "" || r.Durable {
			return invalid("job, count, needs, spec and durable are accepted only for templates of kind %s", config.KindLeased)
		}
		return nil
	}
	needs := needsOf(s)
	switch {
	case s.key != "":
		return invalid("%s is not accepted; the identifier of a leased job takes its place", headerKey)
	case len(r.Tasks) > 0:
		return invalid("tasks are not accepted for a template of kind %s; give count", config.KindLeased)
	case !validIdentifier(r.Job):
		return invalid("job is not 1 to %d printable characters without spaces", maxIdentifier)
	case needs.Accelerators < 0 || needs.MemoryMB < 0:
		return invalid("needs are negative")
	case needs.MilliCPU <= 0:
		return invalid("needs.milli_cpu is missing or not positive")
	}
	if r.Durable {
		return checkDurable(r)
	}
	return nil
}

// validIdentifier accepts none, too.
func validIdentifier(id string) bool {
	return len(id) <= maxIdentifier && !strings.ContainsFunc(id, func(r rune) bool { return r <= ' ' || r >= 0x7f })
}

// leasedTasks builds the tasks of a job.
func leasedTasks(s *submission, j *job) []wire.Task {
	tasks := make([]wire.Task, j.count)
	work := &wire.LeasedTask{Job: j.leased.name, Spec: s.request.Spec, Durable: s.request.Durable}
	for i := range tasks {
		tasks[i] = wire.Task{
			Job: j.id, Index: i, Template: j.template.Name, Account: j.account, Urgency: j.template.Urgency,
			Needs: j.class.Needs, Leased: work, Expected: j.expected,
		}
	}
	return tasks
}

// submitLeased joins the submission to the job that the entry has under its
// identifier, or admits a new job.
func (d *dispatcher) submitLeased(s *submission, id string) error {
	name := s.request.Job
	if name == "" {
		name = id
	}
	earlier := d.leased[name]
	if earlier != nil && (!earlier.answered || earlier.leased.repeatable) {
		if earlier.leased.asked != s.workload {
			return notRun(http.StatusUnprocessableEntity, reasonJobMismatch, "the job's identifier is in use for other work; this was not run")
		}
		s.job = earlier
		earlier.leased.callers++
		return nil
	}
	if d.stopping {
		return retryLater(retryRefused, reasonStopping, "the entry is stopping")
	}
	j := d.newLeasedJob(s, name)
	d.shares.RecordTasks(d.now, j.account, j.count)
	if err := d.checkLeasedRunnable(j); err != nil {
		return err
	}
	if err := d.decideLeased(s, j); err != nil {
		return err
	}
	d.addLeased(s, j, id)
	return nil
}

// addLeased takes over a job that was not refused.
func (d *dispatcher) addLeased(s *submission, j *job, id string) {
	name := j.leased.name
	earlier := d.leased[name]
	j.id = id
	j.tasks = leasedTasks(s, j)
	s.job = j
	d.leased[name] = j
	if o := runsOf(earlier); o != nil {
		j.leased.after = o
		o.leased.followers = append(o.leased.followers, j)
	}
	d.accept(j)
	d.enqueueTasks(j)
}

func (d *dispatcher) newLeasedJob(s *submission, name string) *job {
	j := d.newJob(s)
	j.leased = &leasedJob{
		name: name, asked: s.workload, callers: 1,
		attempts: make([]uint8, j.count), interruptions: make([]uint8, j.count),
		restarts: make([]uint8, j.count),
	}
	j.results = nil // leased tasks have none
	if s.expected > 0 {
		j.expected = d.durations.Blended(j.template.Name, s.expected)
	}
	work := Work{
		Expected: j.expected, Tasks: j.count, MilliCPU: j.class.Needs.MilliCPU, PoolMilliCPU: d.table.KnownMilliCPU(j.class),
	}
	j.leased.objective = ResponseTimeObjective(j.template, work)
	j.leased.worthless = j.arrived.Add(StartTimeout(j.template, s.deadline, work))
	return j
}

// runsOf returns the job, or the earlier one under its identifier, of which
// runs may go on; nil if there is none.
func runsOf(j *job) *job {
	for ; j != nil; j = j.leased.after {
		if j.leased.out > 0 {
			return j
		}
	}
	return nil
}

// leave handles a caller that does not wait for the answer any more.
func (d *dispatcher) leave(j *job) {
	if j.leased.callers--; j.leased.callers == 0 {
		d.cancel(j, "the caller disconnected")
	}
}

// cancelLeased ends a job on request.
func (d *dispatcher) cancelLeased(j *job) {
	if u := durableOf(j); u != nil && u.end != "" {
		return // it ends already
	}
	if !j.answered {
		j.leased.cancelled = true
		d.cancel(j, "the job was cancelled")
	}
}

// leasedFailed handles a run that ended by a fault of the task or the worker.
func (d *dispatcher) leasedFailed(j *job, a *agent, v verdict) {
	l, index := j.leased, v.task.index
	l.attempts[index]++
	if j.closing == nil && int(l.attempts[index]) < j.template.MaxAttempts {
		d.again(j, index, a.ref.ID)
		return
	}
	j.settle(index, taskFailed)
	if j.closing == nil {
		l.exhausted = true
		d.fail(j, closing{reason: v.result.Reason, detail: taskDetail(index, a, v.result)})
	}
}

// leasedInterrupted handles a run that certainly ended without a result.
func (d *dispatcher) leasedInterrupted(j *job, agent string, index int, reason wire.Reason) {
	l := j.leased
	if j.closing != nil {
		j.settle(index, taskFailed)
		return
	}
	if l.interruptions[index] < math.MaxUint8 {
		l.interruptions[index]++
	}
	d.metrics.tasksInterrupted.Inc(1)
	d.log.Info().Str("job", j.id).Int("task", index).Str("agent", agent).Str("reason", string(reason)).
		Msg("run was interrupted")
	if l.durable != nil || l.interruptions[index] <= maxInterruptions {
		d.again(j, index, agent)
		return
	}
	j.settle(index, taskFailed)
	d.fail(j, closing{reason: reason, detail: "task " + strconv.Itoa(index) + " was interrupted too often"})
}

// again queues a task for another run, preferably at another agent.
func (d *dispatcher) again(j *job, index int, agent string) {
	j.tasks[index].Attempt++
	j.avoid(index, agent)
	d.requeue(j, index)
}

// runsEnded does what waits for the end of all runs of a job.
func (d *dispatcher) runsEnded(j *job) {
	followers := j.leased.followers
	j.leased.followers = nil
	for _, f := range followers {
		f.leased.after = nil
		if f.closing == nil && f.inQueue() {
			d.queueTasks(f)
		}
		d.forgetLeased(f)
	}
	d.forgetLeased(j)
}

// trim frees what an answered job needs only while tasks are at agents. Answers
// of jobs of many tasks would take up the memory otherwise.
func (j *job) trim() {
	if j.answered && j.leased.out == 0 {
		j.states, j.at, j.mayRan, j.tried = nil, nil, nil, nil
		j.leased.attempts, j.leased.interruptions, j.leased.restarts = nil, nil, nil
	}
}

// forgetLeased drops the identifier of a job that a submission under it need
// not know of.
func (d *dispatcher) forgetLeased(j *job) {
	j.trim()
	l := j.leased
	if j.answered && (!l.repeatable || l.forgotten) && runsOf(j) == nil && d.leased[l.name] == j {
		delete(d.leased, l.name)
	}
}

// countPending keeps the numbers of jobs of which no task has started.
func (d *dispatcher) countPending(j *job) {
	l := j.leased
	pending := !j.answered && !l.ran && l.out == 0 && l.durable == nil // those are counted by pendingDurable
	if pending == l.pending {
		return
	}
	l.pending = pending
	if pending {
		d.pending[j.template.Name]++
		return
	}
	if d.pending[j.template.Name]--; d.pending[j.template.Name] == 0 {
		delete(d.pending, j.template.Name)
	}
}

// finishLeased decides what later submissions under the identifier get.
func (d *dispatcher) finishLeased(j *job) {
	l := j.leased
	l.answer = Answer{Outcome: Outcome(j.final)}
	if c := j.closing; c != nil {
		l.answer.Reason, l.answer.Detail, l.answer.RetryAfter = c.reason, c.detail, j.answer.retryAfter
	}
	failed := j.closing != nil && j.closing.reason != wire.ReasonCancelled && l.answer.Outcome == OutcomeFailed
	l.repeatable = j.closing == nil || l.cancelled || failed
	d.countPending(j)
	d.forgetLeased(j)
}

// leasedOutcome of a job that did not complete. It is decided at once, so a task
// at an agent counts as started.
func (j *job) leasedOutcome() Outcome {
	switch {
	case j.leased.exhausted, j.closing.reason == wire.ReasonCancelled:
		return OutcomeFailed
	case j.leasedStarted():
		return OutcomeUnknown
	}
	return OutcomeNotRun
}

// leasedStarted reports whether a task may have started.
func (j *job) leasedStarted() bool {
	for i, s := range j.states {
		if j.mayRan[i] || s != taskWaiting && s != taskNotRun {
			return true
		}
	}
	return false
}
