package leasestub

import (
	"cmp"
	"encoding/json"
	"math"
	"slices"
	"time"

	"chicorytray.example/chicorytray/lease"
	"chicorytray.example/chicorytray/wire"
)

// life is one life of a machine, from a boot to the next crash. The machine's lock
// guards it.
type life struct {
	machine        *Machine
	id             lease.Life
	booted         time.Time
	token          uint64                // highest fencing token received
	sequence       uint64                // of the newest end
	highestRun     map[lease.Task]uint64 // highest run number stopped or ended
	runs           map[lease.Run]*run
	unacked        []lease.RunEnd       // ends that are not acknowledged yet, oldest first
	unackedRecords map[uint64]endRecord // of unacked, by sequence
	leaseEnd       lease.WorkerTime     // end of the lease of all runs
	leaseTimer     *time.Timer
	lastLapse      lease.WorkerTime // latest moment at which the lease was found to have ended
	terminated     bool
	runEnded       chan struct{} // closed and replaced when a run ends
}

// run is a run that has not ended.
type run struct {
	needs      wire.Resources
	duration   time.Duration
	record     *Start        // in the evidence
	doneBefore time.Duration // work done until speedSince, out of duration
	speedSince time.Time     // when speed came into force
	speed      float64       // work done per unit of time; 1 is normal
	workTimer  *time.Timer
	stopping   bool
}

// progress returns the work done so far, at most the duration of the run.
func (r *run) progress() time.Duration {
	return min(r.duration, r.doneBefore+time.Duration(float64(time.Since(r.speedSince))*r.speed))
}

// setSpeed changes the speed of the run and with it the time of its end.
func (r *run) setSpeed(speed float64) {
	r.doneBefore, r.speedSince, r.speed = r.progress(), time.Now(), speed
	if r.stopping {
		return
	}
	r.workTimer.Stop()
	if speed > 0 {
		r.workTimer.Reset(time.Duration(math.Ceil(float64(r.duration-r.doneBefore) / speed)))
	}
}

// setSpeed changes the speed of all runs.
func (l *life) setSpeed(speed float64) {
	for _, r := range l.runs {
		r.setSpeed(speed)
	}
}

// endRecord is the evidence of a run that has ended, and the worker's time of the
// end.
type endRecord struct {
	record  *Start
	endedAt lease.WorkerTime
}

// clock returns the current time of the worker's clock.
func (l *life) clock() lease.WorkerTime {
	elapsed := time.Since(l.booted)
	return bootClock + elapsed - time.Duration(float64(elapsed)*l.machine.options.Slow)
}

// timeUntil returns the real time until the worker's clock has passed c, at least 1 ns:
// the race detector can crash where a timer in virtual time is reset to a past moment.
func (l *life) timeUntil(c lease.WorkerTime) time.Duration {
	return time.Duration(float64(max(0, c-l.clock()))/(1-l.machine.options.Slow)) + 1
}

// checkToken refuses an order whose fencing token is lower than one received
// before, and records the token otherwise.
func (l *life) checkToken(token uint64) lease.Refusal {
	if token < l.token {
		return lease.RefusedTokenTooLow
	}
	l.token = token
	return ""
}

// usedCapacity returns the needs of all runs, those being stopped included.
func (l *life) usedCapacity() wire.Resources {
	var sum wire.Resources
	for _, r := range l.runs {
		sum = sum.Plus(r.needs)
	}
	return sum
}

// start executes a start order. It returns the reason of a refusal, or "". A start of
// a run that is there already does nothing.
func (l *life) start(o lease.StartOrder) lease.Refusal {
	if refusal := l.checkToken(o.Token); refusal != "" {
		return refusal
	}
	var spec Spec
	switch {
	case json.Unmarshal([]byte(o.Spec), &spec) != nil:
		return lease.RefusedInvalid
	case l.runs[o.Run] != nil:
		return ""
	case o.Run.Number <= l.highestRun[o.Run.Task]:
		l.extendLease(o.ValidUntil)
		return lease.RefusedRunTooOld
	case l.clock() > o.ValidUntil:
		return lease.RefusedOrderExpired
	}
	m := l.machine
	used := l.usedCapacity().Plus(spec.Needs)
	if m.options.Enforce && !used.Fits(m.options.Capacity) {
		l.extendLease(o.ValidUntil)
		return lease.RefusedNoRoom
	}
	if m.faults.Unhealthy {
		return lease.RefusedUnhealthy
	}
	l.extendLease(o.ValidUntil)
	r := &run{needs: spec.Needs, duration: spec.duration(), speedSince: time.Now(), speed: 1}
	l.runs[o.Run] = r
	r.record = m.evidence.recordStart(Start{Run: o.Run, Worker: m.options.ID, At: time.Now()}, used, m.countedCapacity())
	how := lease.Done
	if spec.Fail || m.faults.FailAll {
		how = lease.Failed
	}
	r.workTimer = time.AfterFunc(r.duration, func() { l.finish(o.Run, how) })
	r.setSpeed(m.faults.speed())
	if spec.Crash && o.Run.Task.Index == 0 {
		time.AfterFunc(time.Duration(spec.CrashMS*float64(time.Millisecond)), func() { m.crashBy(l, o.Run) })
	}
	return ""
}

// stop executes a stop order. It returns the reason of a refusal, or "".
func (l *life) stop(o lease.StopOrder) lease.Refusal {
	if refusal := l.checkToken(o.Token); refusal != "" {
		return refusal
	}
	l.highestRun[o.Run.Task] = max(l.highestRun[o.Run.Task], o.Run.Number)
	l.beginStop(o.Run, lease.Stopped)
	return ""
}

// beginStop begins to stop a run. The run uses its capacity until StopTime has
// passed.
func (l *life) beginStop(id lease.Run, how lease.EndReason) {
	r := l.runs[id]
	if r == nil || r.stopping {
		return
	}
	r.stopping = true
	r.workTimer.Stop()
	r.workTimer = time.AfterFunc(l.machine.options.StopTime, func() { l.finish(id, how) })
}

// checkLease begins to stop all runs if the lease has ended.
func (l *life) checkLease() {
	l.machine.mu.Lock()
	defer l.machine.mu.Unlock()
	if l.terminated {
		return
	}
	if l.clock() <= l.leaseEnd {
		l.leaseTimer.Reset(l.timeUntil(l.leaseEnd)) // the lease was renewed meanwhile
		return
	}
	l.expireLease()
}

func (l *life) expireLease() {
	for id := range l.runs {
		l.beginStop(id, lease.LeaseExpired)
	}
}

// finish ends a run, and puts its end into the list.
func (l *life) finish(id lease.Run, how lease.EndReason) {
	l.machine.mu.Lock()
	defer l.machine.mu.Unlock()
	r := l.runs[id]
	if r == nil || l.terminated {
		return
	}
	delete(l.runs, id)
	l.highestRun[id.Task] = max(l.highestRun[id.Task], id.Number)
	l.machine.evidence.recordEnd(r.record, how)
	l.sequence++
	l.unacked = append(l.unacked, lease.RunEnd{Sequence: l.sequence, Run: id, Reason: how})
	l.unackedRecords[l.sequence] = endRecord{r.record, l.clock()}
	l.wakeRenewals()
}

// renew executes a renewal, except for the wait and the list.
func (l *life) renew(o lease.RenewOrder) lease.Refusal {
	if refusal := l.checkToken(o.Token); refusal != "" {
		return refusal
	}
	l.acknowledge(o.Acked)
	l.extendLease(o.LeaseEnd)
	return ""
}

// extendLease extends the lease of all runs to the given time, but at most by
// Options.MaxLease from now. If the lease has ended before, it first records that and
// begins to stop the runs.
func (l *life) extendLease(until lease.WorkerTime) {
	now := l.clock()
	if now > l.leaseEnd {
		l.lastLapse = now
		l.expireLease()
	}
	l.leaseEnd = max(l.leaseEnd, min(until, now+l.machine.options.MaxLease))
	if l.leaseTimer == nil {
		l.leaseTimer = time.AfterFunc(l.timeUntil(l.leaseEnd), l.checkLease)
		return
	}
	l.leaseTimer.Reset(l.timeUntil(l.leaseEnd))
}

// acknowledge removes the ends up to the sequence from the list. It records for
// each of them whether the lease has expired since the run ended.
func (l *life) acknowledge(sequence uint64) {
	l.unacked = slices.DeleteFunc(l.unacked, func(e lease.RunEnd) bool {
		if e.Sequence > sequence {
			return false
		}
		end := l.unackedRecords[e.Sequence]
		delete(l.unackedRecords, e.Sequence)
		l.machine.evidence.recordAck(end.record, l.clock() > l.leaseEnd || l.lastLapse >= end.endedAt)
		return true
	})
}

// list returns the active runs, ordered by task and number, and the oldest ends, at
// most lease.MaxEnds.
func (l *life) list() lease.RenewReply {
	out := lease.RenewReply{Born: l.id.Born, Clock: l.clock(), Ended: slices.Clone(l.unacked[:min(len(l.unacked), lease.MaxEnds)])}
	for id, r := range l.runs {
		out.Active = append(out.Active, lease.ActiveRun{Run: id, Percent: int(100 * r.progress() / max(r.duration, 1))})
	}
	slices.SortFunc(out.Active, func(a, b lease.ActiveRun) int {
		x, y := a.Run, b.Run
		return cmp.Or(cmp.Compare(x.Task.Job, y.Task.Job), cmp.Compare(x.Task.Step, y.Task.Step),
			cmp.Compare(x.Task.Index, y.Task.Index), cmp.Compare(x.Number, y.Number))
	})
	return out
}

// wakeRenewals ends the wait of renewals.
func (l *life) wakeRenewals() {
	close(l.runEnded)
	l.runEnded = make(chan struct{})
}

// terminate ends the life and all its runs.
func (l *life) terminate() {
	l.terminated = true
	if l.leaseTimer != nil {
		l.leaseTimer.Stop()
	}
	for _, r := range l.runs {
		r.workTimer.Stop()
		l.machine.evidence.recordEnd(r.record, "")
	}
	l.runs = nil
	l.wakeRenewals()
}
