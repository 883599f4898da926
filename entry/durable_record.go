package entry

import (
	"math"
	"slices"
	"time"

	"chicorytray.example/chicorytray/durable"
	"chicorytray.example/chicorytray/wire"
)

// reasonOwnership is given when an entry gave a durable job up. Another entry
// continues it.
const reasonOwnership wire.Reason = "ownership_lost"

// change makes a new version of the job's record that is written within that
// time, and returns its number.
func (d *dispatcher) change(j *job, within time.Duration) uint64 {
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
		if u.closed || u.end != "" {
			continue
		}
		r, version := u.record, u.version
		r.Started = r.Started || j.leasedRunning()
		u.record.Started = r.Started && j.leased.ran
		r.Done, r.Failed = slices.Clip(r.Done), slices.Clip(r.Failed)
		d.durable.keeper.Update(r, within, func() {
			d.durable.inbox.put(func(d *dispatcher) { d.recordStored(j, version) })
		})
	}
}

// leasedRunning reports whether a task of the job started or may be starting.
func (j *job) leasedRunning() bool { return j.leased.ran || j.leased.out > 0 }

// recordStored acknowledges the ends that the stored version has.
func (d *dispatcher) recordStored(j *job, version uint64) {
	u := j.leased.durable
	if version <= u.stored || u.lost {
		return
	}
	u.stored = version
	rest := u.unsettled[:0]
	for _, end := range u.unsettled {
		a := end.agent
		switch {
		case end.version > version:
			rest = append(rest, end)
		case d.agents[a.ref.ID] == a && a.session.agent == end.process:
			a.session.acked = append(a.session.acked, end.key)
		}
	}
	clear(u.unsettled[len(rest):])
	u.unsettled = rest
	if len(rest) == 0 && u.stored >= u.version {
		u.unstored = time.Time{}
	}
}

// durableStarted records that a task of a durable job is sent.
func (d *dispatcher) durableStarted(j *job, index int, a *agent) {
	u := durableOf(j)
	if u == nil {
		return
	}
	if u.runs == nil {
		u.runs, u.sent = map[int][]string{}, map[int]bool{}
	}
	u.sent[index] = true
	u.runs[index] = append(u.runs[index], a.ref.ID)
	if !u.record.Started {
		d.change(j, startedWithin)
	}
}

// durableVerdict records what became of a run of a durable job's task. Unknown
// outcomes leave the run open.
func (d *dispatcher) durableVerdict(j *job, a *agent, v verdict) {
	u, index := durableOf(j), v.task.index
	if u == nil || v.kind == verdictUnknown {
		return
	}
	runs := u.runs[index]
	if i := lastIndex(runs, a.ref.ID); i >= 0 {
		u.runs[index] = slices.Delete(runs, i, i+1)
	}
	failed := v.result.Outcome == wire.OutcomeFailed
	if v.kind != verdictResult || u.lost || !failed && v.result.Outcome != wire.OutcomeDone {
		return
	}
	if u.closed {
		a.session.acked = append(a.session.acked, v.task.key)
		return
	}
	if u.end == "" {
		d.recordEnd(j, durable.TaskRun{Index: index, Tag: v.result.Tag}, failed)
	}
	u.unsettled = append(u.unsettled, unsettledEnd{u.version, a, a.session.agent, v.task.key})
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
	if u.unstored.IsZero() {
		u.unstored = d.now
	}
	if u.versions == nil {
		u.versions = map[wire.RunTag]uint64{}
	}
	u.versions[run.Tag] = d.change(j, max(0, settleAfter-d.now.Sub(u.unstored)))
}

// endState returns the state that the job ends with; empty for a job that this
// entry only stops running.
func (j *job) endState() durable.State {
	switch {
	case j.leased.exhausted:
		return durable.Failed
	case j.leased.cancelled:
		return durable.Cancelled
	case j.closing == nil:
		return durable.Completed
	}
	return ""
}

// endDurable reports whether the job may be answered: its end is stored or it
// was given up. Otherwise the end is being written, and finish is called again.
func (d *dispatcher) endDurable(j *job) bool {
	u := j.leased.durable
	if u.closed || u.end != "" {
		return u.closed
	}
	u.end = j.endState()
	if u.end == "" {
		d.forgetDurable(j)
		return true
	}
	end := durable.EndRecord{
		Identifier: j.leased.name, Account: j.account, Template: j.template.Name, Workload: d.durable.keeper.Workload(&u.record),
		State: u.end, Ended: time.UnixMilli(d.now.UnixMilli()), Restarted: u.record.Restarted,
	}
	d.durable.keeper.Finish(end, func() { d.durable.inbox.put(func(d *dispatcher) { d.endStored(j) }) })
	return false
}

// endStored handles the stored end of a job.
func (d *dispatcher) endStored(j *job) {
	u := j.leased.durable
	if u.closed {
		return
	}
	d.recordStored(j, math.MaxUint64)
	u.closed = true
	delete(d.durable.open, j.leased.name)
	d.finish(j)
}

// forgetDurable gives a job up without a write.
func (d *dispatcher) forgetDurable(j *job) {
	u := j.leased.durable
	u.closed, u.lost, u.unsettled = true, true, nil
	delete(d.durable.open, j.leased.name)
	delete(d.durable.dirty, j)
	d.durable.keeper.GiveUp(j.leased.name)
}

// giveUpDurable stops the runs of a job that this entry must not continue.
func (d *dispatcher) giveUpDurable(j *job, why string) {
	if j.leased.durable.closed {
		return
	}
	d.log.Warn().Str("job", j.id).Str("identifier", j.leased.name).Str("detail", why).Msg("durable job given up")
	d.forgetDurable(j)
	j.leased.exhausted, j.leased.cancelled = false, false
	c := closing{reason: reasonOwnership, detail: why}
	if j.closing == nil {
		d.fail(j, c)
		return
	}
	j.closing = &c
	d.finish(j)
}

// durableState returns the state of a job that callers are told. Its end counts
// once it is stored.
func (j *job) durableState() durable.State {
	u := j.leased.durable
	switch {
	case u.closed && !u.lost:
		return u.end
	case u.record.Started || j.leasedRunning():
		return durable.InProgress
	}
	return durable.Queued
}
