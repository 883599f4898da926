package entry

import (
	"time"

	"chicorytray.example/chicorytray/containment"
	"chicorytray.example/chicorytray/durable"
	"chicorytray.example/chicorytray/wire"
)

// agentReportTimeout is how long an agent may be unreachable, or run without
// having adopted its worker, before tasks are started again without its report.
// Ends that it reports later are voided, and no run can be started at its worker
// until the worker's lease has ended.
const agentReportTimeout = 5 * time.Second

// recovery is the state of a job that was taken over and waits until the runs of
// the old owner have ended and the agents have reported the ends.
type recovery struct {
	submission     *submission
	templateKnown  bool      // the template is in the configuration
	takenOverAt    time.Time // when the wait for the agents' reports began
	oldRunsEndedAt time.Time // when the runs of the old owner have certainly ended
	ends           map[wire.RunTag]wire.EndedRun
	endOrder       []wire.RunTag // keys of ends in order of arrival
	reportsApplied bool          // all reports have arrived and were applied to the record
	version        uint64        // version of the record that must be stored before the job continues
}

// recordHeartbeat records the arrival of a heartbeat. A heartbeat that lists
// all unclaimed ends sets endsCompleteAt to the arrival of the previous
// heartbeat of the same agent process: the agent sent this one later than that.
func (a *agent) recordHeartbeat(now time.Time, req wire.HeartbeatRequest) {
	previous := a.lastHeartbeat
	if a.lastHeartbeatFrom != req.Agent.Incarnation {
		previous = time.Time{}
	}
	a.lastHeartbeat, a.lastHeartbeatFrom = now, req.Agent.Incarnation
	if !req.Adopted {
		return
	}
	a.lastAdopted = now
	if !req.MoreUnclaimed {
		a.endsCompleteAt = previous
	}
}

// reportStatus says whether the ends of the runs at an agent are known.
type reportStatus int

const (
	reportMissing  reportStatus = iota
	reportComplete              // every end up to the time in question was reported
	reportGivenUp               // the agent did not report within agentReportTimeout
)

// reportStatusOf returns whether the agent has reported all ends before ready.
// The agent is nil if it is not known. since is when the wait for its report
// began.
func (d *dispatcher) reportStatusOf(a *agent, since, ready time.Time) reportStatus {
	switch {
	case a != nil && !a.endsCompleteAt.Before(ready):
		return reportComplete
	case a == nil && d.now.Sub(since) >= agentReportTimeout, a != nil && d.now.Sub(latestOf(since, a.lastAdopted)) >= agentReportTimeout:
		return reportGivenUp
	}
	return reportMissing
}

// tickDurable continues the recoveries and the hand-over of a planned stop.
func (d *dispatcher) tickDurable() {
	for _, j := range d.durable.open {
		if u := j.leased.durable; u.recovery != nil && j.failure == nil && u.endState == "" {
			d.recoverJob(j)
		}
	}
	d.checkHandOver()
}

// recoverJob applies the agents' reports to a recovering job once they are
// complete, and ends its recovery once the resulting record is stored.
func (d *dispatcher) recoverJob(j *job) {
	u := j.leased.durable
	r := u.recovery
	if !r.reportsApplied {
		if !d.resolveTemplate(j) || !d.allAgentsReported(j) {
			return
		}
		for _, tag := range r.endOrder {
			d.applyReportedEnd(j, r.ends[tag])
		}
		if u.version > 0 {
			d.scheduleWrite(j, 0)
		}
		r.reportsApplied, r.version = true, u.version
	}
	if u.stored >= r.version || j.openTasks == 0 {
		d.endRecovery(j)
	}
}

// allAgentsReported reports whether no report of a known agent of the job's
// pool is still awaited. If one was given up, it marks the job as restarted,
// because tasks that ended at that agent may be started again.
func (d *dispatcher) allAgentsReported(j *job) bool {
	r := j.leased.durable.recovery
	if d.now.Before(r.oldRunsEndedAt) {
		return false
	}
	missed := false
	for _, a := range d.agents {
		if a.ref.Pool != j.class.Pool || j.class.Pool == "" {
			continue
		}
		switch d.reportStatusOf(a, r.takenOverAt, r.oldRunsEndedAt) {
		case reportMissing:
			return false
		case reportGivenUp:
			missed = true
		}
	}
	if missed && !j.leased.durable.record.Restarted {
		j.leased.durable.record.Restarted = true
		d.scheduleWrite(j, 0)
	}
	return true
}

// resolveTemplate fills in what depends on the template for a job that was taken
// over before the template was in the configuration. It reports whether the
// template is known.
func (d *dispatcher) resolveTemplate(j *job) bool {
	r := j.leased.durable.recovery
	if r.templateKnown {
		return true
	}
	s, known := d.submissionFromRecord(j.leased.durable.record)
	if !known {
		return false
	}
	fresh := d.newDurableJob(s, j.leased.identifier)
	d.releaseClass(j)
	j.template, j.class, j.queueClass, j.expected = fresh.template, fresh.class, fresh.queueClass, fresh.expected
	j.leased.objective, j.leased.admission = fresh.leased.objective, fresh.leased.admission
	d.acquireClass(j)
	for i := range j.tasks {
		j.tasks[i].Urgency = j.template.Urgency
	}
	// The pool is known only now, so the wait for its agents' reports begins now.
	r.templateKnown, r.takenOverAt, r.oldRunsEndedAt = true, d.now, latestOf(r.oldRunsEndedAt, d.now)
	return true
}

// endRecovery ends the recovery of a job and queues its open tasks. It fails the
// job if a task has used up its attempts.
func (d *dispatcher) endRecovery(j *job) {
	for i, n := range j.leased.failedRuns {
		if j.states[i] != taskWaiting {
			continue
		}
		// Both before recovery is reset, while the tasks are not in the queue.
		switch {
		case int(n) >= j.template.MaxAttempts:
			d.failExhausted(j, i)
			return
		case j.crashes[i].Verdict() == containment.GiveUp:
			d.giveUpCrashingTask(j, i)
			return
		}
	}
	j.leased.durable.recovery = nil
	if j.openTasks == 0 {
		d.finishIfComplete(j)
		return
	}
	if j.inQueue() { // otherwise handleRunsEnded queues them later
		d.addToQueue(j)
	}
}

// failExhausted fails a job because the given task has used up the attempts that
// the template allows.
func (d *dispatcher) failExhausted(j *job, index int) {
	if j.inQueue() && j.states[index] == taskWaiting {
		d.addWaiting(j, -1)
	}
	j.setFinalState(index, taskFailed)
	j.leased.exhausted = true
	d.failJob(j, jobFailure{reason: wire.ReasonUpstreamError, detail: "a task has used up the attempts that its template allows"})
}

// applyReportedEnd records an end that an agent reported as unclaimed, unless
// the task is already done. A last failed attempt fails the job, except during
// recovery.
func (d *dispatcher) applyReportedEnd(j *job, end wire.EndedRun) {
	if end.Index < 0 || end.Index >= j.count || j.states[end.Index] == taskDone {
		return
	}
	queued := j.inQueue() && j.states[end.Index] == taskWaiting
	j.possiblyRan[end.Index], j.leased.anyStarted = true, true
	d.recordStarted(j)
	d.recordEnd(j, durable.TaskRun{Index: end.Index, Tag: end.Tag}, end.Failed)
	if end.Done {
		if queued {
			d.addWaiting(j, -1) // placeWaitingTasks skips the queued task
		}
		j.setFinalState(end.Index, taskDone)
		return
	}
	j.leased.failedRuns[end.Index]++
	if j.leased.durable.recovery == nil && int(j.leased.failedRuns[end.Index]) >= j.template.MaxAttempts {
		d.failExhausted(j, end.Index)
	}
}

// mayReleaseHeldTask reports whether the run of a held task has certainly ended
// and no result of it can arrive. A durable job's task also waits for the
// agent's report. If that is given up, mayReleaseHeldTask marks the job as
// restarted, and the task waits until the record that says so is stored.
func (d *dispatcher) mayReleaseHeldTask(h *heldTask) bool {
	u := durableOf(h.job)
	switch {
	case d.now.Before(h.releaseAt):
		return false
	case u == nil, u.closed, h.job.failure != nil, d.durable.handOverDone != nil:
		return true
	case h.version > 0:
		return u.stored >= h.version
	}
	switch d.reportStatusOf(d.agents[h.agent], h.heldSince, h.releaseAt) {
	case reportComplete:
		return true
	case reportGivenUp:
		u.record.Restarted = true
		h.version = d.scheduleWrite(h.job, 0)
	}
	return false
}

// resolveHeldTask applies a reported end to the held task that it belongs to and
// releases the task. It reports false if the task is not held.
func (d *dispatcher) resolveHeldTask(j *job, end wire.EndedRun) bool {
	for i, h := range d.held {
		if h.job != j || h.index != end.Index {
			continue
		}
		d.held = append(d.held[:i:i], d.held[i+1:]...)
		d.addRunning(j, -1)
		d.applyReportedEnd(j, end)
		if !end.Done && j.failure == nil {
			d.retryTask(j, end.Index, h.agent)
		}
		d.afterTaskResolved(j)
		return true
	}
	return false
}
