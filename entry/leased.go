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
	// maxIdentifierBytes bounds the identifier that a caller gives to a job, in bytes.
	maxIdentifierBytes = 128
	// maxInterruptions of one task. Each is a lost worker or session; a task
	// that meets more of them probably causes them.
	maxInterruptions = 20
)

// leasedJob is what a job of leased tasks has beside other jobs.
type leasedJob struct {
	identifier     string // the caller's identifier
	workload       workload
	waitingCallers int // submissions that wait for the answer

	objective time.Duration // of the response time, from the arrival
	// startDeadline is when the job is given up if no task has started. One that
	// has started goes on to its deadline: "failed" would not be true of it,
	// and a caller that is told nothing else sends it again from the start.
	startDeadline time.Time
	exhausted     bool // a task failed as often as its template allows

	failedRuns    []uint8 // failed ones, by task
	interruptions []uint8 // by task
	restarts      []uint8 // of stalled or slow runs, by task
	// openRuns counts the tasks at agents, and those whose run may go on.
	openRuns       int
	anyStarted     bool // some task started
	countedPending bool // counted in dispatcher.pending

	// predecessor is an earlier job under the same identifier whose runs may go on.
	// Nothing of this job starts before they have ended.
	predecessor *job
	successors  []*job      // jobs of which this one is the earlier
	durable     *durableJob // nil unless the job is durable

	cancelled      bool // on request, so that a repetition must not run
	answerReusable bool // a repetition gets the same answer
	answerEvicted  bool // the answer is no longer kept
	answer         Answer
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
		w.needs = taskNeeds(s) // as its record has them, which other entries compare with
	} else if s.request.Needs != nil {
		w.needs = *s.request.Needs
	}
	return w
}

// taskNeeds returns what each task of the submission needs.
func taskNeeds(s *submission) config.Needs {
	if s.kind == config.KindLeased && s.request.Needs != nil {
		return *s.request.Needs
	}
	return s.template.Needs
}

// checkLeasedFields refuses a submission whose fields do not fit the template's kind.
func checkLeasedFields(s *submission) error {
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
	needs := taskNeeds(s)
	switch {
	case s.idempotencyKey != "":
		return invalid("%s is not accepted; the identifier of a leased job takes its place", headerIdempotencyKey)
	case len(r.Tasks) > 0:
		return invalid("tasks are not accepted for a template of kind %s; give count", config.KindLeased)
	case !validIdentifier(r.Job):
		return invalid("job is not 1 to %d printable characters without spaces", maxIdentifierBytes)
	case needs.Accelerators < 0 || needs.MemoryMB < 0:
		return invalid("needs are negative")
	case needs.MilliCPU <= 0:
		return invalid("needs.milli_cpu is missing or not positive")
	}
	if r.Durable {
		return checkDurableIdentifier(r)
	}
	return nil
}

// validIdentifier accepts none, too.
func validIdentifier(id string) bool {
	return len(id) <= maxIdentifierBytes && !strings.ContainsFunc(id, func(r rune) bool { return r <= ' ' || r >= 0x7f })
}

// buildLeasedTasks builds the tasks of a job.
func buildLeasedTasks(s *submission, j *job) []wire.Task {
	tasks := make([]wire.Task, j.count)
	work := &wire.LeasedTask{Job: j.leased.identifier, Spec: s.request.Spec, Durable: s.request.Durable}
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
	earlier := d.leasedJobs[name]
	if earlier != nil && (!earlier.answered || earlier.leased.answerReusable) {
		if earlier.leased.workload != s.workload {
			return notRun(http.StatusUnprocessableEntity, reasonJobReused, "the job's identifier is in use for other work; this was not run")
		}
		s.job = earlier
		earlier.leased.waitingCallers++
		return nil
	}
	if d.stopping {
		return retryLater(refusalRetryAfter, reasonStopping, "the entry is stopping")
	}
	j := d.newLeasedJob(s, name)
	d.shares.RecordTasks(d.now, j.account, j.count)
	if err := d.checkLeasedRunnable(j); err != nil {
		return err
	}
	if err := d.checkLeasedAdmission(s, j); err != nil {
		return err
	}
	d.addLeased(s, j, id)
	return nil
}

// addLeased takes over a job that was not refused.
func (d *dispatcher) addLeased(s *submission, j *job, id string) {
	name := j.leased.identifier
	earlier := d.leasedJobs[name]
	j.id = id
	j.tasks = buildLeasedTasks(s, j)
	s.job = j
	d.leasedJobs[name] = j
	if o := jobWithOpenRuns(earlier); o != nil {
		j.leased.predecessor = o
		o.leased.successors = append(o.leased.successors, j)
	}
	d.registerJob(j)
	d.scheduleTasks(j)
}

func (d *dispatcher) newLeasedJob(s *submission, name string) *job {
	j := d.newJob(s)
	j.leased = &leasedJob{
		identifier: name, workload: s.workload, waitingCallers: 1,
		failedRuns: make([]uint8, j.count), interruptions: make([]uint8, j.count),
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
	j.leased.startDeadline = j.arrived.Add(StartTimeout(j.template, s.deadline, work))
	return j
}

// jobWithOpenRuns returns the job, or the earlier one under its identifier, of which
// runs may go on; nil if there is none.
func jobWithOpenRuns(j *job) *job {
	for ; j != nil; j = j.leased.predecessor {
		if j.leased.openRuns > 0 {
			return j
		}
	}
	return nil
}

// callerLeft handles a caller that does not wait for the answer any more.
func (d *dispatcher) callerLeft(j *job) {
	if j.leased.waitingCallers--; j.leased.waitingCallers == 0 {
		d.cancelJob(j, "the caller disconnected")
	}
}

// cancelLeased ends a job on request.
func (d *dispatcher) cancelLeased(j *job) {
	if u := durableOf(j); u != nil && u.endState != "" {
		return // it ends already
	}
	if !j.answered {
		j.leased.cancelled = true
		d.cancelJob(j, "the job was cancelled")
	}
}

// handleLeasedFailure handles a run that ended by a fault of the task or the worker.
func (d *dispatcher) handleLeasedFailure(j *job, a *agent, v verdict) {
	l, index := j.leased, v.task.index
	l.failedRuns[index]++
	if j.failure == nil && int(l.failedRuns[index]) < j.template.MaxAttempts {
		d.retryTask(j, index, a.ref.ID)
		return
	}
	j.setFinalState(index, taskFailed)
	if j.failure == nil {
		l.exhausted = true
		d.failJob(j, jobFailure{reason: v.result.Reason, detail: taskDetail(index, a, v.result)})
	}
}

// handleLeasedInterruption handles a run that certainly ended without a result.
func (d *dispatcher) handleLeasedInterruption(j *job, agent string, index int, reason wire.Reason) {
	l := j.leased
	if j.failure != nil {
		j.setFinalState(index, taskFailed)
		return
	}
	if l.interruptions[index] < math.MaxUint8 {
		l.interruptions[index]++
	}
	d.metrics.tasksInterrupted.Inc(1)
	d.log.Info().Str("job", j.id).Int("task", index).Str("agent", agent).Str("reason", string(reason)).
		Msg("run was interrupted")
	if l.durable != nil || l.interruptions[index] <= maxInterruptions {
		d.retryTask(j, index, agent)
		return
	}
	j.setFinalState(index, taskFailed)
	d.failJob(j, jobFailure{reason: reason, detail: "task " + strconv.Itoa(index) + " was interrupted too often"})
}

// retryTask queues a task for another run, preferably at another agent.
func (d *dispatcher) retryTask(j *job, index int, agent string) {
	j.tasks[index].Attempt++
	j.avoidAgent(index, agent)
	d.requeue(j, index)
}

// handleRunsEnded does what waits for the end of all runs of a job.
func (d *dispatcher) handleRunsEnded(j *job) {
	successors := j.leased.successors
	j.leased.successors = nil
	for _, successor := range successors {
		successor.leased.predecessor = nil
		if successor.failure == nil && successor.inQueue() {
			d.addToQueue(successor)
		}
		d.forgetIdentifier(successor)
	}
	d.forgetIdentifier(j)
}

// freeTaskState frees what an answered job needs only while tasks are at agents. Answers
// of jobs of many tasks would take up the memory otherwise.
func (j *job) freeTaskState() {
	if j.answered && j.leased.openRuns == 0 {
		j.states, j.locations, j.possiblyRan, j.avoidedAgents = nil, nil, nil, nil
		j.leased.failedRuns, j.leased.interruptions, j.leased.restarts = nil, nil, nil
	}
}

// forgetIdentifier drops the identifier of a job that a submission under it need
// not know of.
func (d *dispatcher) forgetIdentifier(j *job) {
	j.freeTaskState()
	l := j.leased
	if j.answered && (!l.answerReusable || l.answerEvicted) && jobWithOpenRuns(j) == nil && d.leasedJobs[l.identifier] == j {
		delete(d.leasedJobs, l.identifier)
	}
}

// updatePending keeps the numbers of jobs of which no task has started.
func (d *dispatcher) updatePending(j *job) {
	l := j.leased
	pending := !j.answered && !l.anyStarted && l.openRuns == 0 && l.durable == nil // those are counted by pendingDurable
	if pending == l.countedPending {
		return
	}
	l.countedPending = pending
	if pending {
		d.pendingByTemplate[j.template.Name]++
		return
	}
	if d.pendingByTemplate[j.template.Name]--; d.pendingByTemplate[j.template.Name] == 0 {
		delete(d.pendingByTemplate, j.template.Name)
	}
}

// finishLeased decides what later submissions under the identifier get.
func (d *dispatcher) finishLeased(j *job) {
	l := j.leased
	l.answer = Answer{Outcome: Outcome(j.finalOutcome)}
	if c := j.failure; c != nil {
		l.answer.Reason, l.answer.Detail, l.answer.RetryAfter = c.reason, c.detail, j.answer.retryAfter
	}
	failed := j.failure != nil && j.failure.reason != wire.ReasonCancelled && l.answer.Outcome == OutcomeFailed
	l.answerReusable = j.failure == nil || l.cancelled || failed
	d.updatePending(j)
	d.forgetIdentifier(j)
}

// leasedOutcome of a job that did not complete. It is decided at once, so a task
// at an agent counts as started.
func (j *job) leasedOutcome() Outcome {
	switch {
	case j.leased.exhausted, j.failure.reason == wire.ReasonCancelled:
		return OutcomeFailed
	case j.mayHaveStarted():
		return OutcomeUnknown
	}
	return OutcomeNotRun
}

// mayHaveStarted reports whether a task may have started.
func (j *job) mayHaveStarted() bool {
	for i, s := range j.states {
		if j.possiblyRan[i] || s != taskWaiting && s != taskNotRun {
			return true
		}
	}
	return false
}
