package entry

import (
	"net/http"
	"strconv"

	"chicorytray.example/chicorytray/containment"
	"chicorytray.example/chicorytray/ejection"
	"chicorytray.example/chicorytray/queue"
	"chicorytray.example/chicorytray/wire"
)

// applyVerdicts updates the jobs according to what the agent's session determined
// about their tasks.
func (d *dispatcher) applyVerdicts(a *agent, verdicts []verdict) {
	for _, v := range verdicts {
		if v.kind == verdictAwait {
			d.awaitOrCancel(a, v.task)
			continue
		}
		j := v.task.job
		delete(d.restarts, v.task)
		if a.probation == v.task {
			a.probation = nil
		}
		d.table.RecordDone(a.ref.ID, j.class.Needs)
		j.locations[v.task.index] = location{}
		j.rackSpread.Done(a.ref.Rack)
		d.recordDurableVerdict(j, a, v)
		if j.leased != nil && v.kind == verdictUnknown {
			d.holdTask(a, v)
			continue
		}
		d.addRunning(j, -1)
		switch v.kind {
		case verdictNotRun:
			d.handleNotRun(j, a, v)
		case verdictUnknown:
			d.handleUnknown(j, a, v)
		default:
			d.handleResult(j, a, v)
		}
		d.afterTaskResolved(j)
	}
}

// afterTaskResolved finishes the job if it is complete and, once all its runs
// have ended, starts jobs that waited for that. It is called for each task that
// is no longer at an agent.
func (d *dispatcher) afterTaskResolved(j *job) {
	d.finishIfComplete(j)
	if j.leased != nil {
		d.updatePending(j)
		if j.leased.openRuns == 0 {
			d.handleRunsEnded(j)
		}
	}
}

// awaitOrCancel handles a task that the agent reported as still running when the
// session was opened. If the task was to be stopped, the Cancel message is sent
// again.
func (d *dispatcher) awaitOrCancel(a *agent, t *sentTask) {
	d.awaitResult(a, t)
	if _, stopping := d.restarts[t]; stopping || t.job.failure != nil {
		d.queueCancel(a, t)
	}
}

// handleNotRun handles a task that certainly did not start. It is queued again
// unless the job has failed, its deadline has passed or every agent would refuse
// the task.
func (d *dispatcher) handleNotRun(j *job, a *agent, v verdict) {
	d.countRefusal(v.result.Reason)
	index := v.task.index
	if j.failure != nil {
		j.setFinalState(index, taskNotRun)
		return
	}
	switch v.result.Reason {
	case wire.ReasonDeadline:
		if durableOf(j) != nil {
			break // a durable job has no deadline, so the task is sent again
		}
		j.setFinalState(index, taskNotRun)
		d.failJob(j, jobFailure{reason: wire.ReasonDeadline, detail: "the deadline passed before the task started", awaitSent: true})
		return
	case reasonTooLarge, wire.ReasonInvalid:
		// Every agent would refuse the task.
		if durableOf(j) != nil {
			j.leased.exhausted = true
		}
		j.setFinalState(index, taskNotRun)
		d.failJob(j, jobFailure{reason: v.result.Reason, detail: taskDetail(index, a, v.result), awaitSent: true})
		return
	case wire.ReasonAgentBusy, wire.ReasonWorkerRefused:
		if v.result.Reason == wire.ReasonWorkerRefused {
			j.avoidAgent(index, a.ref.ID)
		}
		a.busy = true
		d.updateUsable(a)
	case wire.ReasonSessionFenced:
		d.handleSessionInDoubt(a, v.task.key.Session, errFenced)
	case wire.ReasonProbation:
		a.noProbationUntil = d.now.Add(probationRetryDelay)
	case wire.ReasonCancelled, wire.ReasonAgentLost:
	default:
		// The agent refuses all tasks until its next heartbeat says otherwise.
		if v.result.Reason == wire.ReasonUpstreamUnreachable {
			d.observeOutcome(j, a, v, true)
		}
		a.refusing = true
		d.updateUsable(a)
	}
	d.logSentAgain(j, index, a.ref.ID, v.task.key.Session, v.proof, string(v.result.Reason))
	d.requeue(j, index)
}

// requeue returns a task to the queue.
func (d *dispatcher) requeue(j *job, index int) {
	j.states[index] = taskWaiting
	d.addWaiting(j, 1)
	ref := queue.TaskRef{Job: j.id, Index: index}
	if j.onProbation(index) {
		d.probation = append(d.probation, ref)
		return
	}
	d.queue.Requeue(ref)
}

// handleUnknown handles a task that may have run. It is retried only if its
// template is idempotent, the retry budget allows it, and it has not broken too many
// upstreams.
func (d *dispatcher) handleUnknown(j *job, a *agent, v verdict) {
	index := v.task.index
	d.observeOutcome(j, a, v, true)
	d.log.Warn().Str("job", j.id).Int("task", index).Str("agent", a.ref.ID).Str("reason", string(v.result.Reason)).
		Msg("task may have run")
	j.possiblyRan[index] = true
	d.metrics.tasksUnknown.Inc(1)
	// Nothing tells whether the upstream crashed because of this task, so it counts as
	// a bystander; see containment.History.
	crashing := v.result.Reason == wire.ReasonUpstreamError &&
		d.recordCrash(j, index, a.ref.ID, wire.CrashBystander) == containment.GiveUp
	if j.failure == nil && j.template.Idempotent && !crashing && d.retryBudget.Allow(d.now) {
		j.tasks[index].Attempt++
		j.avoidAgent(index, a.ref.ID)
		d.metrics.retries.Inc(1)
		d.requeue(j, index)
		return
	}
	timedOut := j.failure != nil && j.failure.reason == wire.ReasonDeadline
	if v.result.Reason == wire.ReasonCancelled && !timedOut {
		j.setFinalState(index, taskFailed) // the agent stopped it on request
		return
	}
	// At the deadline the agent's timer races with the entry's Cancel message. In
	// both cases the task may have run, so the outcome must be the same.
	j.setFinalState(index, taskUnknown)
	if j.failure == nil {
		d.failJob(j, jobFailure{reason: v.result.Reason, detail: taskDetail(index, a, v.result)})
	}
}

// handleResult handles a task of which the agent reported the result.
func (d *dispatcher) handleResult(j *job, a *agent, v verdict) {
	index := v.task.index
	failed := v.result.Outcome == wire.OutcomeFailed
	if j.leased != nil {
		j.possiblyRan[index], j.leased.anyStarted = true, true
		d.recordStarted(j)
		if v.task.crashRecorded {
			v.result.Crash = wire.CrashNone
		}
		if v.result.Outcome == wire.OutcomeInterrupted {
			if v.result.Reason == wire.ReasonWorkerLost {
				a.refusing = true // until its next heartbeat, which says whether it is leaving
				d.updateUsable(a)
			}
			d.logSentAgain(j, index, a.ref.ID, v.task.key.Session, proofReported, string(v.result.Reason))
			if v.result.Crash != wire.CrashNone {
				d.keepCountedCrash(a, v.task.key, j, index, v.result.Crash)
			}
			d.handleLeasedInterruption(j, a.ref.ID, index, v.result)
			return
		}
	}
	d.observeOutcome(j, a, v, failed)
	if failed && j.leased != nil {
		d.handleLeasedFailure(j, a, v)
		return
	}
	if failed {
		j.setFinalState(index, taskFailed)
		if j.failure == nil {
			d.failJob(j, jobFailure{reason: v.result.Reason, detail: taskDetail(index, a, v.result)})
		}
		return
	}
	j.setFinalState(index, taskDone)
	if j.failure != nil {
		return
	}
	d.durations.Observe(j.template.Name, d.durationAtMeanSpeed(j, a, v.result.Took))
	if j.leased != nil {
		return
	}
	j.results[index] = v.result
	j.resultBytes += int64(len(v.result.Response.Body))
	if j.resultBytes > d.limits.MaxAnswerBytes {
		d.failJob(j, jobFailure{reason: reasonAnswerTooLarge, detail: "the results exceed the size limit of an answer"})
	}
}

// taskDetail describes the failure of a task for the problem detail.
func taskDetail(index int, a *agent, r wire.Result) string {
	detail := "task " + strconv.Itoa(index) + " at agent " + a.ref.ID
	if r.Reason == reasonTooLarge {
		detail += ": the request exceeds the size limit of a message"
	}
	if r.Outcome == wire.OutcomeFailed && r.Response.Status != 0 {
		detail += ": upstream status " + strconv.Itoa(r.Response.Status) + " " + http.StatusText(r.Response.Status)
	}
	if r.Detail != "" {
		detail += ": " + r.Detail
	}
	return detail
}

// observeOutcome passes the outcome of a task to the detection of faulty
// upstreams. A task that was cancelled because another task of its job failed
// counts as a success. Otherwise, when one upstream fails fast and every job uses
// several upstreams, the others would have no outcomes to compare with, because
// their tasks are always cancelled.
func (d *dispatcher) observeOutcome(j *job, a *agent, v verdict, failed bool) {
	if v.result.Reason == wire.ReasonCancelled {
		if j.failure != nil && j.failure.reason != wire.ReasonCancelled {
			d.detector.Observe(d.now, a.ref.ID, ejection.Outcome{Job: j.id})
		}
		return
	}
	if !failed {
		d.observeSpeed(j, a, v.result.Took)
	}
	if failed {
		d.nextEvaluation = d.now // evaluate at the next tick, before further jobs fail
	}
	d.detector.Observe(d.now, a.ref.ID, ejection.Outcome{
		Failed: failed, Took: v.result.Took, Expected: j.expected, Job: j.id,
	})
}

// failJob makes the job fail with the cause c. Queued tasks are withdrawn, and
// tasks at agents are cancelled with one message for each agent. The job is
// answered at once, or after the outcome of the sent tasks if c.awaitSent is set.
func (d *dispatcher) failJob(j *job, c jobFailure) {
	if j.leased != nil {
		c.awaitSent = false // jobs of leased tasks are answered at once
	}
	j.failure = &c
	d.queue.Remove(j.id)
	d.withdrawProbation(j)
	inFlight := false
	for i, s := range j.states {
		switch s {
		case taskWaiting:
			if j.inQueue() {
				d.addWaiting(j, -1)
			}
			j.setFinalState(i, taskNotRun)
		case taskSent:
			inFlight = true
			if j.locations[i].agent != nil { // otherwise the task is held; see heldTask
				d.queueCancel(j.locations[i].agent, j.locations[i].task)
			}
		}
	}
	if inFlight && c.awaitSent {
		j.timer.Reset(d.timing.CallTimeout.AsDuration())
		return
	}
	d.finishJob(j)
}

// queueCancel adds a task to the next Cancel message to the agent.
func (d *dispatcher) queueCancel(a *agent, t *sentTask) {
	d.pendingCancels[a] = append(d.pendingCancels[a], t.key)
}

// handleJobTimer handles the expiry of the job's timer. The timer runs until the
// job is given up or, once the job has failed, until the wait for the outcome of
// its sent tasks ends.
func (d *dispatcher) handleJobTimer(j *job) {
	switch {
	case j.answered:
	case j.leased != nil && j.failure == nil && j.mayHaveStarted() && d.now.Before(j.deadline):
		j.timer.Reset(j.deadline.Sub(d.now))
	case j.failure == nil:
		d.failJob(j, jobFailure{reason: wire.ReasonDeadline, detail: "the deadline passed", awaitSent: true})
		d.finishIfComplete(j)
	default:
		d.finishJob(j)
	}
}

// finishIfComplete finishes the job if all its tasks have a final state, or if
// it has failed and none of its tasks is at an agent.
func (d *dispatcher) finishIfComplete(j *job) {
	if !j.answered && (j.openTasks == 0 || j.failure != nil && !j.inFlight()) {
		d.finishJob(j)
	}
}

// finishJob builds the answer and releases the caller. The answer does not change
// afterwards. A durable job is finished only once its end is stored.
func (d *dispatcher) finishJob(j *job) {
	if j.answered || durableOf(j) != nil && !d.ensureEndStored(j) {
		return
	}
	j.answered = true
	if j.timer != nil {
		j.timer.Stop()
	}
	if j.failure == nil {
		j.answer, j.finalOutcome = successAnswer(j), outcomeDone
	} else {
		j.finalOutcome = string(j.outcome())
		j.answer = failureAnswer(j)
	}
	d.logFinish(j)
	d.releaseClass(j)
	d.queue.Remove(j.id) // the queue also keeps jobs whose tasks have all been taken
	j.tasks, j.results = nil, nil
	d.retainAnswer(j)
	if j.leased != nil {
		d.finishLeased(j)
	}
	close(j.done)
}

func (d *dispatcher) logFinish(j *job) {
	e := d.log.Info().Str("job", j.id).Str("account", j.account).Str("request_id", j.requestID).
		Int("tasks", j.count).Int("status", j.answer.status).Dur("took_ms", d.clock.Since(j.arrived))
	if j.failure != nil {
		e = e.Str("reason", string(j.failure.reason))
	}
	e.Msg("job answered")
}
