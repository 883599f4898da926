package entry

import (
	"time"

	"chicorytray.example/chicorytray/wire"
)

// heldTask is a leased task whose run may go on although nothing more will be
// learnt about it. It ended for certain when the time has come, because its
// session is no longer renewed.
type heldTask struct {
	job       *job
	index     int
	agent     string
	releaseAt time.Time
	reason    wire.Reason
	// Of a task of a durable job: when it came here, and the version of the
	// record that has to be stored before the task starts again without a
	// report of its agent; 0 for none.
	heldSince time.Time
	version   uint64
}

// holdTask keeps a leased task of unknown outcome from being started again until
// Timing.Reconcile after its session came into doubt.
func (d *dispatcher) holdTask(a *agent, v verdict) {
	until := v.reconcileBy
	if until.IsZero() {
		until = d.now.Add(d.timing.Reconcile.AsDuration())
	}
	h := heldTask{job: v.task.job, index: v.task.index, agent: a.ref.ID, releaseAt: until, reason: v.result.Reason, heldSince: d.now}
	if !d.mayReleaseHeldTask(&h) {
		d.held = append(d.held, h)
		return
	}
	d.releaseHeldTask(h)
}

// releaseHeldTask counts the run of a held task as interrupted.
func (d *dispatcher) releaseHeldTask(h heldTask) {
	j := h.job
	d.addRunning(j, -1)
	j.possiblyRan[h.index], j.leased.anyStarted = true, true
	d.handleLeasedInterruption(j, h.agent, h.index, h.reason)
	d.afterTaskResolved(j)
}

// releaseDueTasks releases the tasks whose time has come.
func (d *dispatcher) releaseDueTasks() {
	var due []heldTask
	kept := d.held[:0]
	for _, h := range d.held {
		if !d.mayReleaseHeldTask(&h) {
			kept = append(kept, h)
		} else {
			due = append(due, h)
		}
	}
	clear(d.held[len(kept):])
	d.held = kept
	for _, h := range due {
		d.releaseHeldTask(h)
	}
}
