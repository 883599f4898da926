package entry

import (
	"net/http"
	"strconv"
	"time"

	"chicorytray.example/chicorytray/ejection"
	"chicorytray.example/chicorytray/queue"
	"chicorytray.example/chicorytray/wire"
)

// apply acts on what a session learnt about its tasks.
func (d *dispatcher) apply(a *agent, verdicts []verdict) {
	for _, v := range verdicts {
		if v.kind == verdictAwait {
			d.awaitOrCancel(a, v.task)
			continue
		}
		j := v.task.job
		delete(d.restarts, v.task)
		d.table.RecordDone(a.ref.ID, j.class.Needs)
		j.at[v.task.index] = location{}
		j.racks.Done(a.ref.Rack)
		d.durableVerdict(j, a, v)
		if j.leased != nil && v.kind == verdictUnknown {
			d.hold(a, v)
			continue
		}
		d.addRunning(j, -1)
		switch v.kind {
		case verdictNotRun:
			d.taskNotRun(j, a, v)
		case verdictUnknown:
			d.taskUnknown(j, a, v)
		default:
			d.taskResult(j, a, v)
		}
		d.afterVerdict(j)
	}
}

// afterVerdict does what the end of a task at an agent may have made possible.
func (d *dispatcher) afterVerdict(j *job) {
	d.finishIfSettled(j)
	if j.leased != nil {
		d.countPending(j)
		if j.leased.out == 0 {
			d.runsEnded(j)
		}
	}
}

// awaitOrCancel handles a task that still runs after reconciliation.
func (d *dispatcher) awaitOrCancel(a *agent, t *sent) {
	d.await(a, t)
	if _, restarts := d.restarts[t]; restarts || t.job.closing != nil {
		d.cancelSent(a, t)
	}
}

// taskNotRun handles a task proved not started.
func (d *dispatcher) taskNotRun(j *job, a *agent, v verdict) {
	d.countRefusal(v.result.Reason)
	index := v.task.index
	if j.closing != nil {
		j.settle(index, taskNotRun)
		return
	}
	switch v.result.Reason {
	case wire.ReasonDeadline:
		if durableOf(j) != nil {
			break // it has none; the task is sent again
		}
		j.settle(index, taskNotRun)
		d.fail(j, closing{reason: wire.ReasonDeadline, detail: "the deadline passed before the task started", settle: true})
		return
	case reasonTooLarge, wire.ReasonInvalid:
		// Every agent would refuse it.
		if durableOf(j) != nil {
			j.leased.exhausted = true
		}
		j.settle(index, taskNotRun)
		d.fail(j, closing{reason: v.result.Reason, detail: taskDetail(index, a, v.result), settle: true})
		return
	case wire.ReasonAgentBusy, wire.ReasonWorkerRefused:
		if v.result.Reason == wire.ReasonWorkerRefused {
			j.avoid(index, a.ref.ID)
		}
		a.busy = true
		d.refresh(a)
	case wire.ReasonSessionFenced:
		d.doubt(a, v.task.key.Session, errFenced)
	case wire.ReasonCancelled, wire.ReasonAgentLost:
	default:
		// The agent refuses further tasks too. Its next heartbeat says
		// whether it still does.
		if v.result.Reason == wire.ReasonUpstreamUnreachable {
			d.observeOutcome(j, a, v, true)
		}
		a.refusing = true
		d.refresh(a)
	}
	d.requeue(j, index)
}

// requeue puts a task back into the queue.
func (d *dispatcher) requeue(j *job, index int) {
	j.states[index] = taskWaiting
	d.addWaiting(j, 1)
	d.queue.Requeue(queue.TaskRef{Job: j.id, Index: index})
}

// taskUnknown handles a task that may have run.
func (d *dispatcher) taskUnknown(j *job, a *agent, v verdict) {
	index := v.task.index
	d.observeOutcome(j, a, v, true)
	d.log.Warn().Str("job", j.id).Int("task", index).Str("agent", a.ref.ID).Str("reason", string(v.result.Reason)).
		Msg("task may have run")
	j.mayRan[index] = true
	d.metrics.tasksUnknown.Inc(1)
	if j.closing == nil && j.template.Idempotent && d.budget.Allow(d.now) {
		j.tasks[index].Attempt++
		j.avoid(index, a.ref.ID)
		d.metrics.retries.Inc(1)
		d.requeue(j, index)
		return
	}
	timedOut := j.closing != nil && j.closing.reason == wire.ReasonDeadline
	if v.result.Reason == wire.ReasonCancelled && !timedOut {
		j.settle(index, taskFailed) // started, then stopped on request
		return
	}
	// At the deadline the agent's own timer and the entry's Cancel race. Both
	// mean that the task may have run, so the answer does not depend on which
	// comes first.
	j.settle(index, taskUnknown)
	if j.closing == nil {
		d.fail(j, closing{reason: v.result.Reason, detail: taskDetail(index, a, v.result)})
	}
}

// taskResult handles a task that ran.
func (d *dispatcher) taskResult(j *job, a *agent, v verdict) {
	index := v.task.index
	failed := v.result.Outcome == wire.OutcomeFailed
	if j.leased != nil {
		j.mayRan[index], j.leased.ran = true, true
		if v.result.Outcome == wire.OutcomeInterrupted {
			if v.result.Reason == wire.ReasonWorkerLost {
				a.refusing = true // its next heartbeat says whether it leaves
				d.refresh(a)
			}
			d.leasedInterrupted(j, a.ref.ID, index, v.result.Reason)
			return
		}
	}
	d.observeOutcome(j, a, v, failed)
	if failed && j.leased != nil {
		d.leasedFailed(j, a, v)
		return
	}
	if failed {
		j.settle(index, taskFailed)
		if j.closing == nil {
			d.fail(j, closing{reason: v.result.Reason, detail: taskDetail(index, a, v.result)})
		}
		return
	}
	j.settle(index, taskDone)
	if j.closing != nil {
		return
	}
	d.durations.Observe(j.template.Name, v.result.Took)
	if j.leased != nil {
		return
	}
	j.results[index] = v.result
	j.bytes += int64(len(v.result.Response.Body))
	if j.bytes > d.limits.MaxAnswerBytes {
		d.fail(j, closing{reason: reasonAnswerTooLarge, detail: "the results exceed the limit of an answer"})
	}
}

func taskDetail(index int, a *agent, r wire.Result) string {
	detail := "task " + strconv.Itoa(index) + " at agent " + a.ref.ID
	if r.Reason == reasonTooLarge {
		detail += ": the request exceeds the size of a message"
	}
	if r.Outcome == wire.OutcomeFailed && r.Response.Status != 0 {
		detail += ": upstream status " + strconv.Itoa(r.Response.Status) + " " + http.StatusText(r.Response.Status)
	}
	if r.Detail != "" {
		detail += ": " + r.Detail
	}
	return detail
}

// observeOutcome feeds the detection of faulty upstreams. A task that ran
// until another task's failure ended it counts as not failed: when one upstream
// fails fast and every job uses several, the others are always cancelled and
// would have no outcomes to compare with.
func (d *dispatcher) observeOutcome(j *job, a *agent, v verdict, failed bool) {
	if v.result.Reason == wire.ReasonCancelled {
		if j.closing != nil && j.closing.reason != wire.ReasonCancelled {
			d.detector.Observe(d.now, a.ref.ID, ejection.Outcome{Job: j.id})
		}
		return
	}
	if failed {
		d.nextEvaluation = d.now // at the next tick: every further job may fail too
	}
	d.detector.Observe(d.now, a.ref.ID, ejection.Outcome{
		Failed: failed, Took: v.result.Took, Expected: j.expected, Job: j.id,
	})
}

// fail decides that the job fails: queued tasks are withdrawn, and tasks at
// agents are cancelled with one message for each agent. The answer is sent at
// once unless the outcome of sent tasks decides what it says.
func (d *dispatcher) fail(j *job, c closing) {
	if j.leased != nil {
		c.settle = false // an abandoned job is answered at once
	}
	j.closing = &c
	d.queue.Remove(j.id)
	inFlight := false
	for i, s := range j.states {
		switch s {
		case taskWaiting:
			if j.inQueue() {
				d.addWaiting(j, -1)
			}
			j.settle(i, taskNotRun)
		case taskSent:
			inFlight = true
			if j.at[i].agent != nil { // else it is held
				d.cancelSent(j.at[i].agent, j.at[i].task)
			}
		}
	}
	if inFlight && c.settle {
		j.timer.Reset(d.timing.CallTimeout.AsDuration())
		return
	}
	d.finish(j)
}

// cancelSent adds a task to the agent's next Cancel message.
func (d *dispatcher) cancelSent(a *agent, t *sent) {
	d.cancels[a] = append(d.cancels[a], t.key)
}

// timeUp handles the job's timer: its deadline, or the end of the wait for
// sent tasks after it was cancelled.
func (d *dispatcher) timeUp(j *job) {
	switch {
	case j.answered:
	case j.leased != nil && j.closing == nil && j.leasedStarted() && d.now.Before(j.deadline):
		j.timer.Reset(j.deadline.Sub(d.now))
	case j.closing == nil:
		d.fail(j, closing{reason: wire.ReasonDeadline, detail: "the deadline passed", settle: true})
		d.finishIfSettled(j)
	default:
		d.finish(j)
	}
}

// finishIfSettled answers a job when nothing about it is open any more.
func (d *dispatcher) finishIfSettled(j *job) {
	if !j.answered && (j.open == 0 || j.closing != nil && !j.inFlight()) {
		d.finish(j)
	}
}

// finish builds the answer and releases the caller. Nothing changes the
// answer afterwards.
func (d *dispatcher) finish(j *job) {
	if j.answered || durableOf(j) != nil && !d.endDurable(j) {
		return
	}
	j.answered = true
	if j.timer != nil {
		j.timer.Stop()
	}
	if j.closing == nil {
		j.answer, j.final = successAnswer(j), outcomeDone
	} else {
		j.final = string(j.outcome())
		j.answer = failureAnswer(j)
	}
	d.logFinish(j)
	d.dropClass(j)
	d.queue.Remove(j.id) // also frees a job of which every task was given out
	j.tasks, j.results = nil, nil
	d.keep(j)
	if j.leased != nil {
		d.finishLeased(j)
	}
	close(j.done)
}

func (d *dispatcher) logFinish(j *job) {
	e := d.log.Info().Str("job", j.id).Str("account", j.account).Str("request_id", j.requestID).
		Int("tasks", j.count).Int("status", j.answer.status).Dur("took_ms", time.Since(j.arrived))
	if j.closing != nil {
		e = e.Str("reason", string(j.closing.reason))
	}
	e.Msg("job answered")
}
