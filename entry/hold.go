package entry

import (
	"time"

	"chicorytray.example/chicorytray/wire"
)

// heldTask is a leased task with an unknown outcome whose run may still go on. Its
// session is not renewed, so the run has certainly ended at releaseAt; until then
// the task must not be started again.
type heldTask struct {
	job       *job
	index     int
	agent     string // identifier of the run's agent
	releaseAt time.Time
	reason    wire.Reason // why the outcome is unknown
	session   uint64
	proof     endProof
	heldSince time.Time
	// version is the version of a durable job's record that must be stored before
	// the task starts again although its agent did not report; 0 if there is none.
	version uint64
}

// holdTask prevents a leased task with an unknown outcome from being started again
// until Timing.Reconcile after its session came into doubt.
func (d *dispatcher) holdTask(a *agent, v verdict) {
	until := v.reconcileBy
	if until.IsZero() {
		until = d.now.Add(d.timing.Reconcile.AsDuration())
	}
	h := heldTask{job: v.task.job, index: v.task.index, agent: a.ref.ID, releaseAt: until, reason: v.result.Reason, session: v.task.key.Session, proof: v.proof, heldSince: d.now}
	if !d.mayReleaseHeldTask(&h) {
		d.held = append(d.held, h)
		return
	}
	d.releaseHeldTask(h)
}

// releaseHeldTask treats the run of a held task as interrupted, so that the task
// may be started again.
func (d *dispatcher) releaseHeldTask(h heldTask) {
	j := h.job
	d.addRunning(j, -1)
	j.possiblyRan[h.index], j.leased.anyStarted = true, true
	d.logSentAgain(j, h.index, h.agent, h.session, h.proof, string(h.reason))
	d.handleLeasedInterruption(j, h.agent, h.index, wire.Result{Reason: h.reason})
	d.afterTaskResolved(j)
}

// releaseDueTasks releases the held tasks that mayReleaseHeldTask allows.
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
