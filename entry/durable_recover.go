package entry

import (
	"time"

	"chicorytray.example/chicorytray/durable"
	"chicorytray.example/chicorytray/wire"
)

// reportWithin is how long an agent may be out of reach, or without an adopted
// worker, before its runs are started again without its report. The ends there
// are voided later, which costs the worker a lease.
const reportWithin = 5 * time.Second

// recovery is the state of a job that was taken over.
type recovery struct {
	submission *submission
	known      bool      // the template is in the configuration
	at         time.Time // of the takeover
	ready      time.Time // when the runs of the old owner have ended
	ends       map[wire.RunTag]wire.EndedRun
	order      []wire.RunTag // of ends
	reported   bool          // the reports are complete and applied
	version    uint64        // to be stored before the job continues
}

// sawReport records when a heartbeat that listed every end was sent at the
// earliest: after the reply to the one before arrived.
func (a *agent) sawReport(now time.Time, req wire.HeartbeatRequest) {
	previous := a.beat
	if a.beatBy != req.Agent.Incarnation {
		previous = time.Time{}
	}
	a.beat, a.beatBy = now, req.Agent.Incarnation
	if !req.Adopted {
		return
	}
	a.adopted = now
	if !req.MoreUnclaimed {
		a.complete = previous
	}
}

// report is whether the ends of an agent are known.
type report int

const (
	reportMissing  report = iota
	reportComplete        // every end until the time in question
	reportGivenUp         // the agent was out of reach for too long
)

// reportOf returns the report of an agent about runs that ended before ready;
// since is when the wait for the agent began.
func (d *dispatcher) reportOf(a *agent, since, ready time.Time) report {
	switch {
	case a != nil && !a.complete.Before(ready):
		return reportComplete
	case a == nil && d.now.Sub(since) >= reportWithin, a != nil && d.now.Sub(latest(since, a.adopted)) >= reportWithin:
		return reportGivenUp
	}
	return reportMissing
}

// tickDurable continues recoveries and the hand-over of a planned stop.
func (d *dispatcher) tickDurable() {
	for _, j := range d.durable.open {
		if u := j.leased.durable; u.recovery != nil && j.closing == nil && u.end == "" {
			d.recoverJob(j)
		}
	}
	d.checkHandOver()
}

// recoverJob continues a job whose reports are complete.
func (d *dispatcher) recoverJob(j *job) {
	u := j.leased.durable
	r := u.recovery
	if !r.reported {
		if !d.findTemplate(j) || !d.reportsComplete(j) {
			return
		}
		for _, tag := range r.order {
			d.applyEnd(j, r.ends[tag])
		}
		if u.version > 0 {
			d.change(j, 0)
		}
		r.reported, r.version = true, u.version
	}
	if u.stored >= r.version || j.open == 0 {
		d.endRecovery(j)
	}
}

// reportsComplete reports whether every known agent of the job's pool has told
// of its ends, or marks the job if one was out of reach.
func (d *dispatcher) reportsComplete(j *job) bool {
	r := j.leased.durable.recovery
	if d.now.Before(r.ready) {
		return false
	}
	missed := false
	for _, a := range d.agents {
		if a.ref.Pool != j.class.Pool || j.class.Pool == "" {
			continue
		}
		switch d.reportOf(a, r.at, r.ready) {
		case reportMissing:
			return false
		case reportGivenUp:
			missed = true
		}
	}
	if missed && !j.leased.durable.record.Restarted {
		j.leased.durable.record.Restarted = true
		d.change(j, 0)
	}
	return true
}

// findTemplate completes a job that was taken over before its template was
// known here.
func (d *dispatcher) findTemplate(j *job) bool {
	r := j.leased.durable.recovery
	if r.known {
		return true
	}
	s, known := d.submissionOfRecord(j.leased.durable.record)
	if !known {
		return false
	}
	fresh := d.newDurableJob(s, j.leased.name)
	d.dropClass(j)
	j.template, j.class, j.queueClass, j.expected = fresh.template, fresh.class, fresh.queueClass, fresh.expected
	d.useClass(j)
	for i := range j.tasks {
		j.tasks[i].Urgency = j.template.Urgency
	}
	r.known, r.at, r.ready = true, d.now, latest(r.ready, d.now) // its pool's agents report from now on
	return true
}

// endRecovery queues the tasks that are left.
func (d *dispatcher) endRecovery(j *job) {
	for i, n := range j.leased.attempts {
		if j.states[i] == taskWaiting && int(n) >= j.template.MaxAttempts {
			d.exhaust(j, i) // while the job is recovering, because its tasks are not queued
			return
		}
	}
	j.leased.durable.recovery = nil
	if j.open == 0 {
		d.finishIfSettled(j)
		return
	}
	if j.inQueue() { // else runsEnded queues them
		d.queueTasks(j)
	}
}

// exhaust fails a job of which a task failed as often as it may.
func (d *dispatcher) exhaust(j *job, index int) {
	if j.inQueue() && j.states[index] == taskWaiting {
		d.addWaiting(j, -1)
	}
	j.settle(index, taskFailed)
	j.leased.exhausted = true
	d.fail(j, closing{reason: wire.ReasonUpstreamError, detail: "a task failed as often as its template allows"})
}

// applyEnd records an end that an agent reported outside of a session,
// unless the task is done.
func (d *dispatcher) applyEnd(j *job, end wire.EndedRun) {
	if end.Index < 0 || end.Index >= j.count || j.states[end.Index] == taskDone {
		return
	}
	queued := j.inQueue() && j.states[end.Index] == taskWaiting
	j.mayRan[end.Index], j.leased.ran = true, true
	d.recordEnd(j, durable.TaskRun{Index: end.Index, Tag: end.Tag}, end.Failed)
	if end.Done {
		if queued {
			d.addWaiting(j, -1) // pump passes over it
		}
		j.settle(end.Index, taskDone)
		return
	}
	j.leased.attempts[end.Index]++
	if j.leased.durable.recovery == nil && int(j.leased.attempts[end.Index]) >= j.template.MaxAttempts {
		d.exhaust(j, end.Index)
	}
}

// mayRelease reports whether the run of a held task has ended and nothing more
// will be learnt of it. A durable job's task needs its agent's report, too.
func (d *dispatcher) mayRelease(h *held) bool {
	u := durableOf(h.job)
	switch {
	case d.now.Before(h.until):
		return false
	case u == nil, u.closed, h.job.closing != nil, d.durable.handedOver != nil:
		return true
	case h.version > 0:
		return u.stored >= h.version
	}
	switch d.reportOf(d.agents[h.agent], h.since, h.until) {
	case reportComplete:
		return true
	case reportGivenUp:
		u.record.Restarted = true
		h.version = d.change(h.job, 0)
	}
	return false
}

// resolveHeld ends the wait for a held task whose end was reported.
func (d *dispatcher) resolveHeld(j *job, end wire.EndedRun) bool {
	for i, h := range d.held {
		if h.job != j || h.index != end.Index {
			continue
		}
		d.held = append(d.held[:i:i], d.held[i+1:]...)
		d.addRunning(j, -1)
		d.applyEnd(j, end)
		if !end.Done && j.closing == nil {
			d.again(j, end.Index, h.agent)
		}
		d.afterVerdict(j)
		return true
	}
	return false
}
