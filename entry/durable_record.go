package entry

import (
	"math"
	"slices"
	"time"

	"chicorytray.example/chicorytray/durable"
	"chicorytray.example/chicorytray/wire"
)

// reasonOwnershipLost is given when an entry gave a durable job up. Another entry
// continues it.
const reasonOwnershipLost wire.Reason = "ownership_lost"

// scheduleWrite makes a new version of the job's record that is written within that
// time, and returns its number.
func (d *dispatcher) scheduleWrite(j *job, within time.Duration) uint64 {
	u := j.leased.durable
	u.version++
	if before, ok := d.durable.dirty[j]; !ok || within < before {
		d.durable.dirty[j] = within
	}
	return u.version
}

// flushRecords writes the records that changed. A job that ends meanwhile needs
// no write beside that of its end.
func (d *dispatcher) flushRecords() {
	for j, within := range d.durable.dirty {
		delete(d.durable.dirty, j)
		u := j.leased.durable
		if u.closed || u.endState != "" {
			continue
		}
		r, version := u.record, u.version
		r.Started = r.Started || j.startedOrStarting()
		u.record.Started = r.Started && j.leased.anyStarted
		r.Done, r.Failed = slices.Clip(r.Done), slices.Clip(r.Failed)
		d.durable.keeper.Update(r, within, func() {
			d.durable.inbox.put(func(d *dispatcher) { d.handleRecordStored(j, version) })
		})
	}
}

// startedOrStarting reports whether a task of the job started or may be starting.
func (j *job) startedOrStarting() bool { return j.leased.anyStarted || j.leased.openRuns > 0 }

// handleRecordStored acknowledges the ends that the stored version has.
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

// recordDurableStart records that a task of a durable job is sent.
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
	if !u.record.Started {
		d.scheduleWrite(j, startWriteDelay)
	}
}

// recordDurableVerdict records what became of a run of a durable job's task. Unknown
// outcomes leave the run open.
func (d *dispatcher) recordDurableVerdict(j *job, a *agent, v verdict) {
	u, index := durableOf(j), v.task.index
	if u == nil || v.kind == verdictUnknown {
		return
	}
	runs := u.runAgents[index]
	if i := lastIndex(runs, a.ref.ID); i >= 0 {
		u.runAgents[index] = slices.Delete(runs, i, i+1)
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

// endState returns the state that the job ends with; empty for a job that this
// entry only stops running.
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

// ensureEndStored reports whether the job may be answered: its end is stored or it
// was given up. Otherwise the end is being written, and finish is called again.
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
		Identifier: j.leased.identifier, Account: j.account, Template: j.template.Name, Workload: d.durable.keeper.Workload(&u.record),
		State: u.endState, Ended: time.UnixMilli(d.now.UnixMilli()), Restarted: u.record.Restarted,
	}
	d.durable.keeper.Finish(end, func() { d.durable.inbox.put(func(d *dispatcher) { d.handleEndStored(j) }) })
	return false
}

// handleEndStored handles the stored end of a job.
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

// dropDurable gives a job up without a write.
func (d *dispatcher) dropDurable(j *job) {
	u := j.leased.durable
	u.closed, u.givenUp, u.unackedEnds = true, true, nil
	delete(d.durable.open, j.leased.identifier)
	delete(d.durable.dirty, j)
	d.durable.keeper.GiveUp(j.leased.identifier)
}

// giveUpDurable stops the runs of a job that this entry must not continue.
func (d *dispatcher) giveUpDurable(j *job, why string) {
	if j.leased.durable.closed {
		return
	}
	d.log.Warn().Str("job", j.id).Str("identifier", j.leased.identifier).Str("detail", why).Msg("durable job given up")
	d.dropDurable(j)
	j.leased.exhausted, j.leased.cancelled = false, false
	c := jobFailure{reason: reasonOwnershipLost, detail: why}
	if j.failure == nil {
		d.failJob(j, c)
		return
	}
	j.failure = &c
	d.finishJob(j)
}

// durableState returns the state of a job that callers are told. Its end counts
// once it is stored.
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
