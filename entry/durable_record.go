package entry

import (
	"math"
	"slices"
	"time"

	"chicorytray.example/chicorytray/durable"
	"chicorytray.example/chicorytray/wire"
)

// reasonOwnershipLost is the reason when an entry no longer owns a durable job,
// or may not own one. Another entry continues a job that was given up.
const reasonOwnershipLost wire.Reason = "ownership_lost"

// scheduleWrite marks the job's record as changed, to be written within the given
// time, and returns the new version number.
func (d *dispatcher) scheduleWrite(j *job, within time.Duration) uint64 {
	u := j.leased.durable
	u.version++
	if before, ok := d.durable.dirty[j]; !ok || within < before {
		d.durable.dirty[j] = within
	}
	return u.version
}

// flushRecords passes the changed records to the recordManager. A job whose end
// record is being written needs no further write.
func (d *dispatcher) flushRecords() {
	for j, within := range d.durable.dirty {
		delete(d.durable.dirty, j)
		u := j.leased.durable
		if u.closed || u.endState != "" {
			continue
		}
		r, version := u.record, u.version
		r.Started = !u.isPending()
		r.Done, r.Failed, r.Crashes = slices.Clip(r.Done), slices.Clip(r.Failed), slices.Clip(r.Crashes)
		d.durable.manager.Update(r, within, func() {
			d.durable.inbox.put(func(d *dispatcher) { d.handleRecordStored(j, version) })
		})
	}
}

// startedOrStarting reports whether a task of the job has started or may be about
// to start at an agent.
func (j *job) startedOrStarting() bool { return j.leased.anyStarted || j.leased.openRuns > 0 }

// handleRecordStored handles a stored version of the record: it queues the
// acknowledgements of the ends that this version contains.
func (d *dispatcher) handleRecordStored(j *job, version uint64) {
	u := j.leased.durable
	if version <= u.stored || u.givenUp {
		return
	}
	u.stored = version
	rest := u.unackedEnds[:0]
	for _, end := range u.unackedEnds {
		a := end.agent
		switch {
		case end.version > version:
			rest = append(rest, end)
		case d.agents[a.ref.ID] == a && a.session.agent == end.process:
			a.session.pendingAcks = append(a.session.pendingAcks, end.key)
		}
	}
	clear(u.unackedEnds[len(rest):])
	u.unackedEnds = rest
	if len(rest) == 0 && u.stored >= u.version {
		u.firstUnstored = time.Time{}
	}
}

// recordDurableStart records that a task is sent to an agent; it does nothing if
// the job is not durable.
func (d *dispatcher) recordDurableStart(j *job, index int, a *agent) {
	u := durableOf(j)
	if u == nil {
		return
	}
	if u.runAgents == nil {
		u.runAgents, u.sentHere = map[int][]string{}, map[int]bool{}
	}
	u.sentHere[index] = true
	u.runAgents[index] = append(u.runAgents[index], a.ref.ID)
	delete(u.leftQueue, index)
}

// isPending reports whether no task of the job is known to have started. A task
// that waits in the queue of an agent has not.
func (u *durableJob) isPending() bool { return !u.record.Started && len(u.leftQueue) == 0 }

// recordLeftQueue records that a task has left the queue of its agent, which starts
// it now or refuses it. It does nothing if the job is not durable.
func (d *dispatcher) recordLeftQueue(j *job, index int) {
	u := durableOf(j)
	if u == nil || u.record.Started || u.leftQueue[index] {
		return
	}
	pending := u.isPending()
	if u.leftQueue == nil {
		u.leftQueue = map[int]bool{}
	}
	u.leftQueue[index] = true
	if pending {
		d.scheduleWrite(j, startWriteDelay)
	}
}

// recordStarted records that a task of the job has certainly started. It does
// nothing if the job is not durable.
func (d *dispatcher) recordStarted(j *job) {
	if u := durableOf(j); u != nil && !u.record.Started {
		if u.isPending() {
			d.scheduleWrite(j, startWriteDelay)
		}
		u.record.Started, u.leftQueue = true, nil
	}
}

// recordDurableVerdict records the verdict on a run of a durable job's task. It
// does nothing for other jobs and for unknown outcomes, after which the run may
// go on.
func (d *dispatcher) recordDurableVerdict(j *job, a *agent, v verdict) {
	u, index := durableOf(j), v.task.index
	if u == nil || v.kind == verdictUnknown {
		return
	}
	runs := u.runAgents[index]
	if i := lastIndex(runs, a.ref.ID); i >= 0 {
		u.runAgents[index] = slices.Delete(runs, i, i+1)
	}
	if u.leftQueue[index] && v.kind == verdictNotRun {
		delete(u.leftQueue, index)
		d.scheduleWrite(j, startWriteDelay) // the record may say started
	}
	failed := v.result.Outcome == wire.OutcomeFailed
	if v.kind != verdictResult || u.givenUp || !failed && v.result.Outcome != wire.OutcomeDone {
		return
	}
	if u.closed {
		a.session.pendingAcks = append(a.session.pendingAcks, v.task.key)
		return
	}
	if u.endState == "" {
		d.recordEnd(j, durable.TaskRun{Index: index, Tag: v.result.Tag}, failed)
	}
	u.unackedEnds = append(u.unackedEnds, unackedEnd{u.version, a, a.session.agent, v.task.key})
}

func lastIndex(list []string, s string) int {
	for i, v := range slices.Backward(list) {
		if v == s {
			return i
		}
	}
	return -1
}

// recordEnd adds the end of a run to the record.
func (d *dispatcher) recordEnd(j *job, run durable.TaskRun, failed bool) {
	u := j.leased.durable
	if failed {
		u.record.Failed = append(u.record.Failed, run)
	} else {
		u.record.Done = append(u.record.Done, run)
	}
	if u.firstUnstored.IsZero() {
		u.firstUnstored = d.now
	}
	if u.endVersions == nil {
		u.endVersions = map[wire.RunTag]uint64{}
	}
	u.endVersions[run.Tag] = d.scheduleWrite(j, max(0, endWriteDelay-d.now.Sub(u.firstUnstored)))
}

// endState returns the final state of the job; empty if the job does not end but
// this entry stops running it.
func (j *job) endState() durable.State {
	switch {
	case j.leased.exhausted:
		return durable.Failed
	case j.leased.cancelled:
		return durable.Cancelled
	case j.failure == nil:
		return durable.Completed
	}
	return ""
}

// ensureEndStored reports whether the job may be answered: its end record is
// stored or it was given up. Otherwise it begins to write the end record,
// unless that has begun; finishJob is called again when it is stored.
func (d *dispatcher) ensureEndStored(j *job) bool {
	u := j.leased.durable
	if u.closed || u.endState != "" {
		return u.closed
	}
	u.endState = j.endState()
	if u.endState == "" {
		d.dropDurable(j)
		return true
	}
	end := durable.EndRecord{
		Identifier: j.leased.identifier, Account: j.account, Template: j.template.Name, Workload: d.durable.manager.Workload(&u.record),
		State: u.endState, Ended: time.UnixMilli(d.now.UnixMilli()), Restarted: u.record.Restarted,
	}
	d.durable.manager.Finish(end, func() { d.durable.inbox.put(func(d *dispatcher) { d.handleEndStored(j) }) })
	return false
}

// handleEndStored closes and finishes a job whose end record has been stored.
func (d *dispatcher) handleEndStored(j *job) {
	u := j.leased.durable
	if u.closed {
		return
	}
	d.handleRecordStored(j, math.MaxUint64)
	u.closed = true
	delete(d.durable.open, j.leased.identifier)
	d.finishJob(j)
}

// dropDurable gives up a job without a further write of its record.
func (d *dispatcher) dropDurable(j *job) {
	u := j.leased.durable
	u.closed, u.givenUp, u.unackedEnds = true, true, nil
	delete(d.durable.open, j.leased.identifier)
	delete(d.durable.dirty, j)
	d.durable.manager.GiveUp(j.leased.identifier)
}

// giveUpDurable gives up a job that this entry must not continue and stops its
// runs.
func (d *dispatcher) giveUpDurable(j *job, why string) {
	if j.leased.durable.closed {
		return
	}
	d.log.Warn().Str("job", j.id).Str("identifier", j.leased.identifier).Str("detail", why).Msg("durable job given up")
	if j.leased.durable.isPending() {
		d.durable.pending.recordGivenUp(j.leased.identifier, j.template.Name)
	}
	d.dropDurable(j)
	// The next owner continues the job, so it has neither failed nor been cancelled.
	j.leased.exhausted, j.leased.cancelled = false, false
	c := jobFailure{reason: reasonOwnershipLost, detail: why}
	if j.failure == nil {
		d.failJob(j, c)
		return
	}
	j.failure = &c
	d.finishJob(j)
}

// durableState returns the state of the job as reported to callers. A final state
// is reported only once the end record is stored.
func (j *job) durableState() durable.State {
	u := j.leased.durable
	switch {
	case u.closed && !u.givenUp:
		return u.endState
	case u.record.Started || j.startedOrStarting():
		return durable.InProgress
	}
	return durable.Queued
}
