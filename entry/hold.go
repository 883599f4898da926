package entry

import (
	"time"

	"chicorytray.example/chicorytray/wire"
)

// held is a leased task whose run may go on although nothing more will be
// learnt about it. It ended for certain when the time has come, because its
// session is no longer renewed.
type held struct {
	job    *job
	index  int
	agent  string
	until  time.Time
	reason wire.Reason
	// Of a task of a durable job: when it came here, and the version of the
	// record that has to be stored before the task starts again without a
	// report of its agent; 0 for none.
	since   time.Time
	version uint64
}

// hold keeps a leased task of unknown outcome from being started again until
// Timing.Reconcile after its session came into doubt.
func (d *dispatcher) hold(a *agent, v verdict) {
	until := v.until
	if until.IsZero() {
		until = d.now.Add(d.timing.Reconcile.AsDuration())
	}
	h := held{job: v.task.job, index: v.task.index, agent: a.ref.ID, until: until, reason: v.result.Reason, since: d.now}
	if !d.mayRelease(&h) {
		d.held = append(d.held, h)
		return
	}
	d.release(h)
}

// release counts the run of a held task as interrupted.
func (d *dispatcher) release(h held) {
	j := h.job
	d.addRunning(j, -1)
	j.mayRan[h.index], j.leased.ran = true, true
	d.leasedInterrupted(j, h.agent, h.index, h.reason)
	d.afterVerdict(j)
}

// releaseHeld releases the tasks whose time has come.
func (d *dispatcher) releaseHeld() {
	var due []held
	kept := d.held[:0]
	for _, h := range d.held {
		if !d.mayRelease(&h) {
			kept = append(kept, h)
		} else {
			due = append(due, h)
		}
	}
	clear(d.held[len(kept):])
	d.held = kept
	for _, h := range due {
		d.release(h)
	}
}
