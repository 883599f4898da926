package entry

import (
	"crypto/sha256"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"chicorytray.example/chicorytray/admission"
	"chicorytray.example/chicorytray/config"
	"chicorytray.example/chicorytray/containment"
	"chicorytray.example/chicorytray/wire"
)

const (
	// maxIdentifierBytes limits the job identifier that a caller chooses.
	maxIdentifierBytes = 128
	// maxInterruptions limits how often the runs of one task may be interrupted
	// by the loss of a worker or a session. A task that is interrupted more
	// often probably causes these losses.
	maxInterruptions = 20
)

// leasedJob is the state that a job of leased tasks has in addition to job.
type leasedJob struct {
	identifier string // chosen by the caller
	workload   workload
	callers    []*caller // that wait for the answer; none of a durable job

	objective time.Duration // response-time objective, counted from the arrival
	// startDeadline is when the job is given up if none of its tasks has started.
	// A job that has started goes on to its deadline: the outcome "failed" would
	// not be true, and with any other outcome the caller submits the whole job
	// again.
	startDeadline time.Time
	admission     admission.Job
	// acceptedByObjective means that admission.Objective counts the job as accepted.
	acceptedByObjective bool
	exhausted           bool // a task has used up the attempts that the template allows

	failedRuns    []int32 // number of failed runs, by task; at most config.MaxAttemptsLimit
	interruptions []uint8 // number of interrupted runs, by task
	restarts      []uint8 // number of runs stopped as stalled or slow, by task
	confined      bool    // the template was confined when the job arrived; see loadOf
	// openRuns counts the tasks that are at agents, and those whose run may still
	// go on there.
	openRuns       int
	anyStarted     bool // at least one task has started
	countedPending bool // the job is counted in dispatcher.pendingByTemplate

	// predecessor is an earlier job under the same identifier that has open runs.
	// No task of this job starts before they have ended.
	predecessor *job
	successors  []*job      // jobs whose predecessor is this job
	durable     *durableJob // nil if the job is not durable

	cancelled      bool // cancelled on request, so a repetition must not run
	answerReusable bool // a repetition gets the same answer
	answerEvicted  bool // the answer was dropped from the retained answers
	answer         Answer
}

// workload identifies the work of a submission. Submissions under one identifier
// are repetitions of each other only if their workloads are equal.
type workload struct {
	account string
	durable bool
	count   int
	needs   config.Needs
	spec    [sha256.Size]byte // a hash of Spec, which would use too much memory while the answer is kept
}

func workloadOf(s *submission) workload {
	w := workload{account: s.account.Name, durable: s.request.Durable, count: s.request.Count, spec: sha256.Sum256([]byte(s.request.Spec))}
	if s.request.Durable {
		w.needs = taskNeeds(s) // as in the stored record, with which other entries compare
	} else if s.request.Needs != nil {
		w.needs = *s.request.Needs
	}
	return w
}

// taskNeeds returns the resources that each task of the submission needs.
func taskNeeds(s *submission) config.Needs {
	if s.kind == config.KindLeased && s.request.Needs != nil {
		return *s.request.Needs
	}
	return s.template.Needs
}

// checkLeasedFields refuses a submission with fields that its template's kind
// does not allow, or with invalid values in the fields of a leased job.
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
	case needs.Accelerators > math.MaxInt32 || max(needs.MemoryMB, needs.MilliCPU) > math.MaxInt32:
		// The sums over the tasks of all jobs would overflow. Templates have the
		// same limit.
		return invalid("needs exceed %d", math.MaxInt32)
	}
	if r.Durable {
		return checkDurableIdentifier(r)
	}
	return nil
}

// validIdentifier reports whether a caller may use the identifier: at most
// maxIdentifierBytes of printable ASCII without spaces. The empty identifier is
// valid, because the entry then makes one.
func validIdentifier(id string) bool {
	return len(id) <= maxIdentifierBytes && !strings.ContainsFunc(id, func(r rune) bool { return r <= ' ' || r >= 0x7f })
}

// buildLeasedTasks returns the wire form of the tasks of a leased job.
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

// submitLeased joins the submission to the job that has its identifier, if that
// is open or its answer can be reused, or else admits a new job.
func (d *dispatcher) submitLeased(s *submission, id string) error {
	identifier := s.request.Job
	if identifier == "" {
		identifier = id
	}
	if s.caller.left() {
		d.logGone(identifier)
		return errCallerLeft()
	}
	if f := d.forwards.byJob[identifier]; f != nil {
		return d.joinForward(s, f)
	}
	earlier := d.leasedJobs[identifier]
	if earlier != nil && (!earlier.answered || earlier.leased.answerReusable) {
		if earlier.leased.workload != s.workload {
			return notRun(http.StatusUnprocessableEntity, reasonJobReused, "the job's identifier is in use for other work; this submission was not run")
		}
		s.job = earlier
		earlier.leased.callers = append(earlier.leased.callers, s.caller)
		d.logJoined(earlier)
		return nil
	}
	if err := d.checkNotCancelled(identifier); err != nil {
		return err
	}
	if d.stopping {
		return d.refuseInStop()
	}
	if s.arrived.Before(d.suspendedAt) {
		return retryLater(refusalRetryAfter, reasonSuspended, "the machine of the entry was suspended") // see checkSuspension
	}
	if s.arrived = d.earliestArrival(s.arrived); !d.now.Before(s.arrived.Add(s.deadline)) {
		return retryLater(refusalRetryAfter, reasonSuspended, "the entry was paused for longer than the deadline of the request, which may have waited meanwhile")
	}
	if d.forwardWhileShort(s, id) {
		return nil
	}
	j := d.newLeasedJob(s, identifier)
	if err := d.checkStop(j.arrived.Add(j.leased.objective)); err != nil {
		return err
	}
	d.shares.RecordTasks(d.now, j.account, j.count)
	if err := d.checkLeasedRunnable(j); err != nil {
		return err
	}
	err := d.checkLeasedAdmission(s, j)
	d.countSubmission(j, err)
	if err != nil {
		d.recordRefusal(j, err)
		return err
	}
	d.addLeased(s, j, id)
	d.countAcceptedInStop()
	d.logRepeated(j, earlier)
	return nil
}

// addLeased registers an accepted job and schedules its tasks.
func (d *dispatcher) addLeased(s *submission, j *job, id string) {
	identifier := j.leased.identifier
	earlier := d.leasedJobs[identifier]
	j.id = id
	j.tasks = buildLeasedTasks(s, j)
	d.recallCrashes(j)
	s.job = j
	d.leasedJobs[identifier] = j
	if o := jobWithOpenRuns(earlier); o != nil {
		j.leased.predecessor = o
		o.leased.successors = append(o.leased.successors, j)
	}
	d.registerJob(j)
	d.scheduleTasks(j)
}

func (d *dispatcher) newLeasedJob(s *submission, identifier string) *job {
	j := d.newJob(s)
	j.leased = &leasedJob{
		identifier: identifier, workload: s.workload,
		failedRuns: make([]int32, j.count), interruptions: make([]uint8, j.count),
		restarts: make([]uint8, j.count),
		confined: d.confined.members[j.template.Name] != nil,
	}
	if s.caller != nil {
		j.leased.callers = []*caller{s.caller}
	}
	j.results = nil // leased tasks return no results
	if s.expected > 0 {
		j.expected = d.durations.Blended(j.template.Name, s.expected)
	}
	work := Work{
		Expected: j.expected, Tasks: j.count, MilliCPU: j.class.Needs.MilliCPU, PoolMilliCPU: d.table.KnownMilliCPU(j.class),
	}
	j.leased.objective = ResponseTimeObjective(j.template, work)
	j.leased.startDeadline = j.arrived.Add(StartTimeout(j.template, s.deadline, work))
	d.setAdmissionJob(j)
	return j
}

// jobWithOpenRuns returns the first of the job and its predecessors that has open
// runs; nil if there is none.
func jobWithOpenRuns(j *job) *job {
	for ; j != nil; j = j.leased.predecessor {
		if j.leased.openRuns > 0 {
			return j
		}
	}
	return nil
}

// cancelLeased cancels a job on request, unless it has ended or its end record is
// being written.
func (d *dispatcher) cancelLeased(j *job) {
	if u := durableOf(j); u != nil && u.endState != "" {
		return // the job is already ending
	}
	if !j.answered {
		j.leased.cancelled = true
		d.cancelJob(j, "the job was cancelled")
	}
}

// handleLeasedFailure handles a run that failed. It retries the task until its
// attempts are used up, and then fails the job.
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
// It retries the task up to maxInterruptions times, in a durable job without
// limit, unless the task probably crashes its workers.
func (d *dispatcher) handleLeasedInterruption(j *job, agent string, index int, r wire.Result) {
	l := j.leased
	if j.failure != nil {
		j.setFinalState(index, taskFailed)
		return
	}
	if l.interruptions[index] < math.MaxUint8 {
		l.interruptions[index]++
	}
	d.metrics.tasksInterrupted.Inc(1)
	d.log.Info().Str("job", j.id).Str("template", j.template.Name).Int("task", index).Str("agent", agent).Str("reason", string(r.Reason)).
		Uint8("interruptions", l.interruptions[index]).Msg("run was interrupted")
	if r.Crash != wire.CrashNone && d.recordCrash(j, index, agent, r.Crash) == containment.GiveUp {
		d.giveUpCrashingTask(j, index)
		return
	}
	if l.durable != nil || l.interruptions[index] <= maxInterruptions {
		d.retryTask(j, index, agent)
		return
	}
	j.setFinalState(index, taskFailed)
	d.failJob(j, jobFailure{reason: r.Reason, detail: "task " + strconv.Itoa(index) + " exceeded the limit of interruptions"})
}

// retryTask queues a task for another attempt, preferably at another agent than
// the given one.
func (d *dispatcher) retryTask(j *job, index int, agent string) {
	j.tasks[index].Attempt++
	j.avoidAgent(index, agent)
	d.requeue(j, index)
}

// handleRunsEnded handles the end of the last open run of a job: it queues the
// tasks of the successors and drops identifiers that are no longer needed.
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

// freeTaskState frees the per-task state of an answered job without open runs.
// Otherwise the retained answers of jobs with many tasks would use much memory.
func (j *job) freeTaskState() {
	if j.answered && j.leased.openRuns == 0 {
		j.states, j.locations, j.possiblyRan, j.avoidedAgents = nil, nil, nil, nil
		j.leased.failedRuns, j.leased.interruptions, j.leased.restarts, j.crashes = nil, nil, nil, nil
	}
}

// forgetIdentifier removes an answered job from leasedJobs if a new submission
// under its identifier neither reuses its answer nor has to wait for its runs.
func (d *dispatcher) forgetIdentifier(j *job) {
	j.freeTaskState()
	l := j.leased
	if j.answered && (!l.answerReusable || l.answerEvicted) && jobWithOpenRuns(j) == nil && d.leasedJobs[l.identifier] == j {
		delete(d.leasedJobs, l.identifier)
		d.formerJobs.add(formerOf(j, d.now))
	}
}

// updatePending updates pendingByTemplate, the number of jobs that are not
// durable and of which no task has started.
func (d *dispatcher) updatePending(j *job) {
	l := j.leased
	pending := !j.answered && !l.anyStarted && l.openRuns == 0 && l.durable == nil // durable jobs are counted by countPendingDurable
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

// finishLeased sets the answer of a job and whether later submissions under its
// identifier get the same answer.
func (d *dispatcher) finishLeased(j *job) {
	l := j.leased
	l.answer = Answer{Outcome: Outcome(j.finalOutcome)}
	if c := j.failure; c != nil {
		l.answer.Reason, l.answer.Detail, l.answer.RetryAfter = c.reason, c.detail, j.answer.retryAfter
	}
	failed := j.failure != nil && j.failure.reason != wire.ReasonCancelled && l.answer.Outcome == OutcomeFailed
	l.callers = nil
	l.answerReusable = j.failure == nil || l.cancelled || failed
	if !l.answerReusable {
		d.rememberCrashes(j)
	}
	d.updatePending(j)
	d.recordLeasedEnd(j)
	d.forgetIdentifier(j)
}

// leasedOutcome returns the outcome of a job that did not complete. It does not
// wait for open runs, so a task at an agent counts as started.
func (j *job) leasedOutcome() Outcome {
	switch {
	case j.leased.exhausted, j.failure.reason == wire.ReasonCancelled:
		return OutcomeFailed
	case j.mayHaveStarted():
		return OutcomeUnknown
	}
	return OutcomeNotRun
}

// mayHaveStarted reports whether any task of the job may have started.
func (j *job) mayHaveStarted() bool {
	for i := range j.states {
		if j.taskMayHaveStarted(i) {
			return true
		}
	}
	return false
}

func (j *job) taskMayHaveStarted(i int) bool {
	return j.possiblyRan[i] || j.states[i] != taskWaiting && j.states[i] != taskNotRun
}
