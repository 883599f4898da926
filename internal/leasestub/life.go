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

// life is one life of a machine. The machine's lock covers it.
type life struct {
	machine  *Machine
	id       lease.Life
	booted   time.Time
	token    uint64
	sequence uint64 // of ends
	highest  map[lease.Task]uint64
	runs     map[lease.Run]*run
	ended    []lease.RunEnd
	ends     map[uint64]endOf // of ended, by sequence
	lease    lease.WorkerTime // the latest end of the lease that was ordered
	lapsed   lease.WorkerTime // the latest moment at which the lease is known to have ended
	over     bool
	changed  chan struct{} // closed and replaced when a run ends
}

// run is one run that has not ended.
type run struct {
	needs    wire.Resources
	took     time.Duration
	start    *Start
	done     time.Duration // work done until since, of took
	since    time.Time
	speed    float64 // work done in a unit of time
	lease    lease.WorkerTime
	expiry   *time.Timer
	work     *time.Timer
	stopping bool
}

// progress is the work done so far.
func (r *run) progress() time.Duration {
	return min(r.took, r.done+time.Duration(float64(time.Since(r.since))*r.speed))
}

// setSpeed changes how fast the run works, and when it will be done.
func (r *run) setSpeed(speed float64) {
	r.done, r.since, r.speed = r.progress(), time.Now(), speed
	if r.stopping {
		return
	}
	r.work.Stop()
	if speed > 0 {
		r.work.Reset(time.Duration(math.Ceil(float64(r.took-r.done) / speed)))
	}
}

// setSpeed changes how fast all runs work.
func (l *life) setSpeed(speed float64) {
	for _, r := range l.runs {
		r.setSpeed(speed)
	}
}

// endOf is a run that has ended, and when on the worker's clock.
type endOf struct {
	start *Start
	at    lease.WorkerTime
}

// clock is the worker's clock now.
func (l *life) clock() lease.WorkerTime {
	elapsed := time.Since(l.booted)
	return bootClock + elapsed - time.Duration(float64(elapsed)*l.machine.options.Slow)
}

// until is the time left until the worker's clock shows c.
func (l *life) until(c lease.WorkerTime) time.Duration {
	return time.Duration(float64(c-l.clock())/(1-l.machine.options.Slow)) + 1
}

// admit checks an order's fencing token.
func (l *life) admit(token uint64) lease.Refusal {
	if token < l.token {
		return lease.RefusedTokenTooLow
	}
	l.token = token
	return ""
}

func (l *life) used() wire.Resources {
	var sum wire.Resources
	for _, r := range l.runs {
		sum = sum.Plus(r.needs)
	}
	return sum
}

// start carries out a start order.
func (l *life) start(o lease.StartOrder) lease.Refusal {
	if refusal := l.admit(o.Token); refusal != "" {
		return refusal
	}
	var spec Spec
	switch {
	case json.Unmarshal([]byte(o.Spec), &spec) != nil:
		return lease.RefusedInvalid
	case o.Run.Number <= l.highest[o.Run.Task]:
		return lease.RefusedRunTooOld
	case l.clock() > o.ValidUntil:
		return lease.RefusedOrderExpired
	}
	m := l.machine
	used := l.used().Plus(spec.Needs)
	if m.options.Enforce && !used.Fits(m.options.Capacity) {
		return lease.RefusedNoRoom
	}
	if m.faults.Unhealthy {
		return lease.RefusedUnhealthy
	}
	l.highest[o.Run.Task] = o.Run.Number
	l.extend(o.ValidUntil)
	r := &run{needs: spec.Needs, took: spec.took(), since: time.Now(), speed: 1, lease: o.ValidUntil}
	l.runs[o.Run] = r
	r.start = m.evidence.begin(Start{Run: o.Run, Worker: m.options.ID, At: time.Now()}, used, m.options.Capacity)
	how := lease.Done
	if spec.Fail || m.faults.FailAll {
		how = lease.Failed
	}
	r.work = time.AfterFunc(r.took, func() { l.finish(o.Run, how) })
	r.setSpeed(m.faults.speed())
	r.expiry = time.AfterFunc(l.until(r.lease), func() { l.lapse(o.Run) })
	return ""
}

// stop carries out a stop order.
func (l *life) stop(o lease.StopOrder) lease.Refusal {
	if refusal := l.admit(o.Token); refusal != "" {
		return refusal
	}
	l.highest[o.Run.Task] = max(l.highest[o.Run.Task], o.Run.Number)
	l.halt(o.Run, lease.Stopped)
	return ""
}

// halt begins to end a run; its capacity is used until it has ended.
func (l *life) halt(id lease.Run, how lease.EndReason) {
	r := l.runs[id]
	if r == nil || r.stopping {
		return
	}
	r.stopping = true
	r.work.Stop()
	r.work = time.AfterFunc(l.machine.options.StopTime, func() { l.finish(id, how) })
}

// lapse ends a run whose lease has ended.
func (l *life) lapse(id lease.Run) {
	l.machine.mu.Lock()
	defer l.machine.mu.Unlock()
	r := l.runs[id]
	if r == nil || l.over {
		return
	}
	if left := l.until(r.lease); l.clock() <= r.lease {
		r.expiry.Reset(left) // it was renewed meanwhile
		return
	}
	l.halt(id, lease.LeaseExpired)
}

// finish records the end of a run.
func (l *life) finish(id lease.Run, how lease.EndReason) {
	l.machine.mu.Lock()
	defer l.machine.mu.Unlock()
	r := l.runs[id]
	if r == nil || l.over {
		return
	}
	r.expiry.Stop()
	delete(l.runs, id)
	l.machine.evidence.end(r.start, how)
	l.sequence++
	l.ended = append(l.ended, lease.RunEnd{Sequence: l.sequence, Run: id, Reason: how})
	l.ends[l.sequence] = endOf{r.start, l.clock()}
	close(l.changed)
	l.changed = make(chan struct{})
}

// renew carries out a renewal, without its wait.
func (l *life) renew(o lease.RenewOrder) lease.Refusal {
	if refusal := l.admit(o.Token); refusal != "" {
		return refusal
	}
	l.acknowledge(o.Acked)
	l.extend(o.LeaseEnd)
	for _, r := range l.runs {
		if o.LeaseEnd > r.lease && l.clock() <= r.lease {
			r.lease = o.LeaseEnd
			r.expiry.Reset(l.until(r.lease))
		}
	}
	return ""
}

// extend moves the end of the worker's lease, and notes first whether it had
// ended.
func (l *life) extend(until lease.WorkerTime) {
	if now := l.clock(); now > l.lease {
		l.lapsed = now
	}
	l.lease = max(l.lease, until)
}

// acknowledge drops the ends up to the sequence. Those since which the lease has
// not ended count as evidence.
func (l *life) acknowledge(sequence uint64) {
	l.ended = slices.DeleteFunc(l.ended, func(e lease.RunEnd) bool {
		if e.Sequence > sequence {
			return false
		}
		end := l.ends[e.Sequence]
		delete(l.ends, e.Sequence)
		l.machine.evidence.acknowledge(end.start, l.clock() > l.lease || l.lapsed >= end.at)
		return true
	})
}

// list returns what runs, ordered, and the oldest ends.
func (l *life) list() lease.RenewReply {
	out := lease.RenewReply{Clock: l.clock(), Ended: slices.Clone(l.ended[:min(len(l.ended), lease.MaxEnds)])}
	for id, r := range l.runs {
		out.Active = append(out.Active, lease.ActiveRun{Run: id, Percent: int(100 * r.progress() / max(r.took, 1))})
	}
	slices.SortFunc(out.Active, func(a, b lease.ActiveRun) int {
		x, y := a.Run, b.Run
		return cmp.Or(cmp.Compare(x.Task.Job, y.Task.Job), cmp.Compare(x.Task.Step, y.Task.Step),
			cmp.Compare(x.Task.Index, y.Task.Index), cmp.Compare(x.Number, y.Number))
	})
	return out
}

// end ends the life with all its runs.
func (l *life) end() {
	l.over = true
	for _, r := range l.runs {
		r.work.Stop()
		r.expiry.Stop()
		l.machine.evidence.end(r.start, "")
	}
	l.runs = nil
	close(l.changed)
	l.changed = make(chan struct{})
}
