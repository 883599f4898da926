package entry

import (
	"time"

	"chicorytray.example/chicorytray/durable"
	"chicorytray.example/chicorytray/wire"
)

// agentReportTimeout is how long an agent may be out of reach, or without an adopted
// worker, before its runs are started again without its report. The ends there
// are voided later, which costs the worker a lease.
const agentReportTimeout = 5 * time.Second

// recovery is the state of a job that was taken over.
type recovery struct {
	submission     *submission
	templateKnown  bool      // the template is in the configuration
	takenOverAt    time.Time // of the takeover
	oldRunsEndedAt time.Time // when the runs of the old owner have ended
	ends           map[wire.RunTag]wire.EndedRun
	endOrder       []wire.RunTag // of ends
	reportsApplied bool          // the reports are complete and applied
	version        uint64        // to be stored before the job continues
}

// recordHeartbeat records when a heartbeat that listed every end was sent at the
// earliest: after the reply to the one before arrived.
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

// reportStatus is whether the ends of an agent are known.
type reportStatus int

const (
	reportMissing  reportStatus = iota
	reportComplete              // every end until the time in question
	reportGivenUp               // the agent was out of reach for too long
)

// reportStatusOf returns the report of an agent about runs that ended before ready;
// since is when the wait for the agent began.
func (d *dispatcher) reportStatusOf(a *agent, since, ready time.Time) reportStatus {
	switch {
	case a != nil && !a.endsCompleteAt.Before(ready):
		return reportComplete
	case a == nil && d.now.Sub(since) >= agentReportTimeout, a != nil && d.now.Sub(latestOf(since, a.lastAdopted)) >= agentReportTimeout:
		return reportGivenUp
	}
	return reportMissing
}

// tickDurable continues recoveries and the hand-over of a planned stop.
func (d *dispatcher) tickDurable() {
	for _, j := range d.durable.open {
		if u := j.leased.durable; u.recovery != nil && j.failure == nil && u.endState == "" {
			d.recoverJob(j)
		}
	}
	d.checkHandOver()
}

// recoverJob continues a job whose reports are complete.
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

// allAgentsReported reports whether every known agent of the job's pool has told
// of its ends, or marks the job if one was out of reach.
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

// resolveTemplate completes a job that was taken over before its template was
// known here.
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
	d.acquireClass(j)
	for i := range j.tasks {
		j.tasks[i].Urgency = j.template.Urgency
	}
	r.templateKnown, r.takenOverAt, r.oldRunsEndedAt = true, d.now, latestOf(r.oldRunsEndedAt, d.now) // its pool's agents report from now on
	return true
}

// endRecovery queues the tasks that are left.
func (d *dispatcher) endRecovery(j *job) {
	for i, n := range j.leased.failedRuns {
		if j.states[i] == taskWaiting && int(n) >= j.template.MaxAttempts {
			d.failExhausted(j, i) // while the job is recovering, because its tasks are not queued
			return
		}
	}
	j.leased.durable.recovery = nil
	if j.openTasks == 0 {
		d.finishIfComplete(j)
		return
	}
	if j.inQueue() { // otherwise handleRunsEnded queues them
		d.addToQueue(j)
	}
}

// failExhausted fails a job of which a task failed as often as it may.
func (d *dispatcher) failExhausted(j *job, index int) {
	if j.inQueue() && j.states[index] == taskWaiting {
		d.addWaiting(j, -1)
	}
	j.setFinalState(index, taskFailed)
	j.leased.exhausted = true
	d.failJob(j, jobFailure{reason: wire.ReasonUpstreamError, detail: "a task failed as often as its template allows"})
}

// applyReportedEnd records an end that an agent reported outside of a session,
// unless the task is done.
func (d *dispatcher) applyReportedEnd(j *job, end wire.EndedRun) {
	if end.Index < 0 || end.Index >= j.count || j.states[end.Index] == taskDone {
		return
	}
	queued := j.inQueue() && j.states[end.Index] == taskWaiting
	j.possiblyRan[end.Index], j.leased.anyStarted = true, true
	d.recordEnd(j, durable.TaskRun{Index: end.Index, Tag: end.Tag}, end.Failed)
	if end.Done {
		if queued {
			d.addWaiting(j, -1) // placeWaitingTasks skips it
		}
		j.setFinalState(end.Index, taskDone)
		return
	}
	j.leased.failedRuns[end.Index]++
	if j.leased.durable.recovery == nil && int(j.leased.failedRuns[end.Index]) >= j.template.MaxAttempts {
		d.failExhausted(j, end.Index)
	}
}

// mayReleaseHeldTask reports whether the run of a held task has ended and nothing more
// will be learnt of it. A durable job's task needs its agent's report, too.
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

// resolveHeldTask ends the wait for a held task whose end was reported.
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
